//! Measurements that the repository's tests also run for a shorter time.

pub mod load;
pub mod mesh;
pub mod soak;
pub mod store_soak;
