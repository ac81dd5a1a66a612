//! Harness that starts real `savorykeel` processes together with stand-ins.
//!
//! A test starts a [`fleet::Fleet`] (or single [`process::NodeProcess`]es), calls
//! it with [`savorykeel_standins::caller`] and waits with [`wait::eventually`].
//! Everything that a test starts is stopped when its handle is dropped.
//!
//! Each node listens on 127.0.Z.N, where Z is the number of its availability
//! zone, so that a proxy can derive the zone of a connection from its source address.

// Not every helper is used by a test.
#![allow(dead_code)]

pub mod command;
pub mod deployment;
pub mod fleet;
pub mod invariants;
pub mod journal;
pub mod pipeline;
pub mod process;
pub mod publish;
pub mod settings;
pub mod standin;
pub mod transcript;
pub mod wait;
