//! Stand-in of the platform's append-only log service.
//!
//! It answers `POST` and `GET` on `/v1/streams/{name}/records`, takes its
//! switches by `PUT /v1/faults` and tells its counts by `GET /v1/counts`.

mod faults;
mod handle;
mod server;
mod settings;
mod store;

pub use self::{
    faults::{Faults, Outage},
    handle::{Handle, start},
    settings::Settings,
    store::StreamCounts,
};
