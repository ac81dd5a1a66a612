//! A TCP proxy that injects faults between clients and a target.
//!
//! Faults apply to all connections or to those from one availability zone, which
//! is derived from a source address of the form 127.0.Z.N. For manual use, the same
//! faults can be set over HTTP on a control address.

mod control;
mod faults;
mod forward;
mod handle;
mod settings;

pub use self::{
    control::EstablishedAction,
    faults::{Faults, Zone},
    handle::{Counts, Handle, start},
    settings::Settings,
};
