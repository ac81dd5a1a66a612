//! Stand-in of a backend server.
//!
//! It announces itself to the node on its instance, runs requests within its
//! slots, fails on demand and keeps a ledger of the requests that it ran. Paths
//! below `/standin/` control it. `/health` and `/load` return hints, which can be
//! set to be wrong. Every other path is a request to run.

mod announce;
mod behaviour;
mod handle;
mod ledger;
mod run;
mod server;
mod settings;

pub use self::{
    behaviour::{Behaviour, HintMode, LoadFailures, RouteBehaviour},
    handle::{Handle, start},
    ledger::{Counts, Run},
    run::Answer,
    settings::{CrashMode, Settings},
};
