//! The call path: from a caller to the backend server and back.

pub(crate) mod announce;
pub(crate) mod entry;
pub(crate) mod serve;
