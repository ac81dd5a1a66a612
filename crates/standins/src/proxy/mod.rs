//! A TCP proxy that injects faults between two ends.
//!
//! Faults apply to every connection or to those from one availability zone,
//! told by a source address of the form 127.0.Z.N. When run by hand, a control
//! address takes the same switches over HTTP.

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
