//! Stand-in of a caller: it sends requests, checks that it gets the complete
//! answer to its own request, and reports how each call ended.

mod client;
mod load;
mod message;
mod tally;

pub use self::{
    client::{Client, Pending},
    load::{Load, Plan, Template},
    message::{CallError, Header, Reply, Request},
    tally::{CallOutcome, Observation, Tally},
};
