//! Which nodes exist and what each of them says of itself.

pub mod entry;
