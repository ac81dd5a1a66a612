//! Stand-in of a backend server.
//!
//! It announces itself to the node on its instance, runs requests within its
//! slots, fails on demand and keeps a ledger of what it ran. Paths below
//! `/standin/` are its switches; `/health` and `/load` are the hints that may
//! mislead; each other path is a request.

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
