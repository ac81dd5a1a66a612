//! Stand-ins of the systems around savorykeel: the platform's log service, a
//! backend server, a TCP proxy that injects faults and a caller that checks its
//! answers.
//!
//! Each runs on a thread of its own with its own runtime, so that a test can
//! start many in one process. All of them are small on purpose: they answer the
//! protocol and fail on demand, and nothing else. What each switch does and why
//! it is there is told in `docs/design/0010-stand-ins.md`.

pub mod backend;
pub mod caller;
mod http;
pub mod log;
pub mod proxy;
mod thread;
