//! Integration tests over real processes.

mod feature;
mod harness;
mod regression;
