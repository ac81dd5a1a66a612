//! The call path: from a caller to the backend server and back.
//!
//! [`entry`] reads the request, [`dispatch`] chooses backend servers, [`attempt`]
//! makes one attempt and [`serve`] runs it beside the backend server. Keyed
//! requests pass through [`keyed`] and the replicas in [`ledger`].

pub(crate) mod announce;
mod attempt;
pub(crate) mod crashes;
mod dispatch;
pub(crate) mod entry;
pub(crate) mod group;
pub(crate) mod heartbeat;
pub(crate) mod journey;
mod kept_answer;
mod keyed;
pub(crate) mod ledger;
mod ledger_client;
pub(crate) mod ledger_loop;
pub(crate) mod local_backend;
pub(crate) mod serve;
mod slots;
pub(crate) mod state;
mod trail;
