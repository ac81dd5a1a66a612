//! Stand-in of the platform's append-only log service.
//!
//! It serves `POST` and `GET` on `/v1/streams/{name}/records`. `PUT /v1/faults`
//! sets the injected faults and `GET /v1/counts` returns the counts per stream.

mod faults;
mod handle;
mod server;
mod settings;
mod store;

pub use self::{
    faults::{Faults, Outage},
    handle::{Handle, start},
    settings::Settings,
    store::{Copy, StreamCounts},
};
