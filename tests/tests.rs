//! Integration tests over real processes.

mod feature;
