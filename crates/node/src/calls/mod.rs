//! The call path, from a caller to the backend server and back.
//!
//! [`entry`] reads the request, [`dispatch`] chooses backend servers, [`attempt`]
//! sends one attempt to a node and [`serve`] runs it at that node's own backend
//! server. Requests with an idempotency key also pass through [`keyed`] and the
//! replicas in [`ledger`].

mod account;
pub(crate) mod announce;
mod answer_parts;
mod attempt;
mod attempt_log;
mod chosen_backend;
pub(crate) mod context;
pub(crate) mod crashes;
mod dispatch;
pub(crate) mod entry;
mod evacuation;
pub(crate) mod group;
pub(crate) mod heartbeat;
mod keyed;
pub(crate) mod ledger;
mod ledger_client;
pub(crate) mod ledger_loop;
pub(crate) mod link;
mod link_room;
mod load_report;
pub(crate) mod local_backend;
pub(crate) mod outgoing;
pub(crate) mod serve;
pub(crate) mod serve_peer;
mod slots;
pub(crate) mod state;
mod stored_answer;
mod streamed_answer;
pub(crate) mod warm_up;
