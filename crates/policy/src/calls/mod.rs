//! Decisions about single calls: what ran, what may run, where and when.
//!
//! The modules hold state and take time and randomness as arguments. The node
//! crate drives them; the reasons are in `docs/design/0004-settle.md`,
//! `docs/design/0005-ledger.md` and `docs/design/0006-load.md`.

pub mod admission;
pub mod balance;
pub mod deadline;
pub mod ledger;
pub mod ledger_message;
pub mod ledger_quorum;
pub mod ledger_sync;
pub mod ledger_view;
pub mod quarantine;
pub mod retry;
pub mod settle;
