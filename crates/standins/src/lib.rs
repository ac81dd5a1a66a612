//! Stand-ins of the systems around savorykeel: the platform's log service, a
//! backend server, a TCP proxy that injects faults, and a caller that checks the
//! answers it gets.
//!
//! Each runs on its own thread with its own runtime, so that a test can start
//! many in one process. All are small on purpose: they implement the protocol and
//! fail on demand, and do nothing else. `docs/design/0010-stand-ins.md` describes
//! what each fault setting does and why it exists.

pub mod backend;
pub mod caller;
pub mod http;
pub mod log;
pub mod proxy;
pub mod thread;
