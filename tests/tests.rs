//! Integration tests that run the binary as real processes.

mod feature;
mod harness;
mod regression;
