//! Measurements that the tests run in a short form too.

pub mod load;
pub mod mesh;
pub mod soak;
