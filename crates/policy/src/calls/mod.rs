//! Decisions about single calls: whether, where and when they run, and whether they ran.
//!
//! The modules hold state; time and randomness are passed in as arguments. The node
//! crate drives them. The design is described in `docs/design/0004-settle.md`,
//! `docs/design/0005-ledger.md` and `docs/design/0006-load.md`.

pub mod admission;
pub mod balance;
pub mod caller_progress;
pub mod crash_notice;
pub mod deadline;
pub mod ledger;
pub mod ledger_message;
pub mod ledger_quorum;
pub mod ledger_sync;
pub mod ledger_view;
pub mod link_admission;
pub mod link_opening;
pub mod link_room;
pub mod link_schedule;
pub mod quarantine;
pub mod retry;
pub mod retry_after;
pub mod settle;
