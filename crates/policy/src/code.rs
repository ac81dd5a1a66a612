//! Numbered result codes that are returned to callers and operators.
//!
//! `docs/CODES.md` explains each code and how to react to it; a test checks that
//! the two agree. The number of a removed code is never reused.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Retry delay after a refusal for load: slots of a backend server become free
/// once a run ends, which takes a few hundred milliseconds.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Retry delay after a refusal by a node that lacks a configuration or a backend server.
const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time from the start of a node until it usually serves, if the store answers.
const USUAL_START: Duration = Duration::from_millis(900);

/// Time over which the callers that a starting node refused return.
const START_SPREAD: Duration = Duration::from_millis(300);

/// Returns the retry delay after a refusal by a node that has run for `uptime` and has no
/// configuration yet; `spread` lies between 0 and 1.
///
/// Load: all nodes restart at once, and every caller is refused by its node. Those that return
/// before it serves have wasted a retry, and those that return together queue behind each other.
pub fn startup_retry_after(uptime: Duration, spread: f64) -> Duration {
    let serves_at = USUAL_START + START_SPREAD.mul_f64(spread.clamp(0.0, 1.0));
    match serves_at.saturating_sub(uptime) {
        Duration::ZERO => STARTUP_RETRY_AFTER,
        left => left.max(REROUTE_RETRY_AFTER),
    }
}

/// Retry delay after a refusal that another node, or the same node a moment later,
/// may not repeat.
const REROUTE_RETRY_AFTER: Duration = Duration::from_millis(100);

/// What a caller may conclude about its request.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The backend server answered; the response is its complete answer.
    Answered,
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// A numbered result code.
///
/// Codes from 100 mean "not run", codes from 200 mean "unknown" and codes from
/// 300 belong to the operators' side.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::FromRepr,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
#[repr(u16)]
pub enum Code {
    /// The node has not applied any configuration yet.
    NoConfiguration = 100,
    /// No route matches the request.
    NoRoute = 101,
    /// No live backend server of the service is known.
    NoBackendServer = 102,
    /// The node or its backend server is leaving.
    Leaving = 103,
    /// The backend server's queue is full or too slow for the deadline.
    Overloaded = 104,
    /// The deadline passed before the request was started.
    DeadlineBeforeStart = 105,
    /// The request could not be parsed.
    BadRequest = 106,
    /// The request's body is larger than the route allows.
    BodyTooLarge = 107,
    /// The request's headers are larger than the node allows.
    HeadersTooLarge = 108,
    /// No connection to a backend server could be opened.
    Unreachable = 109,
    /// The request is suspected of crashing backend servers.
    Quarantined = 110,
    /// The idempotency key was used with a different request.
    KeyMismatch = 111,
    /// The chosen node never received the request and is fenced against it.
    Fenced = 112,
    /// The retry budget is used up.
    RetryBudgetExhausted = 114,
    /// The caller cancelled before the request was started.
    Cancelled = 115,
    /// The chain of nested calls is too deep.
    TooDeep = 116,
    /// The backend server reported that it did not run the request.
    BackendRefused = 117,
    /// All backend servers of the service are in evacuated availability zones.
    Evacuated = 118,
    /// The request needs the key of an account and has none that is known.
    UnknownKey = 119,
    /// The account has used up its quota.
    QuotaExceeded = 120,
    /// The link of the backend server's instance has no room for a large answer in time.
    LinkOverloaded = 121,
    /// The caller sent its request too slowly.
    TooSlowCaller = 122,
    /// The connection to the backend server ended after the request was sent.
    BackendConnectionLost = 200,
    /// The deadline passed while the request was running.
    DeadlineWhileRunning = 201,
    /// The other node could not be asked for the outcome of the request.
    SettleFailed = 202,
    /// The stored answer was evicted by its time limit or by the storage budget.
    AnswerExpired = 203,
    /// No ledger node can determine whether the key was used before.
    LedgerUncertain = 204,
    /// The backend server's answer can't be parsed or is too large.
    BadBackendAnswer = 205,
    /// A request with the same idempotency key is still running.
    KeyBusy = 206,
    /// The caller cancelled while the request was running.
    CancelledWhileRunning = 207,
    /// The node that the caller asked stopped before the answer came.
    NodeStopped = 208,
    /// The publish was derived from a version that is no longer in force.
    PublishConflict = 300,
    /// The configuration breaks a rule.
    PublishRefused = 301,
    /// The log service can't be reached.
    LogUnavailable = 302,
    /// The bearer token is missing or wrong.
    Unauthorized = 303,
    /// The publish has not been received yet.
    PublishPending = 304,
    /// The record has a format that this node does not support.
    UnknownFormat = 305,
    /// No such path or move.
    NotFound = 306,
}

impl Code {
    /// Returns the number that is reported to callers.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Returns what a caller may conclude about its request from the code.
    pub fn outcome(self) -> Outcome {
        match self.number() {
            200..=299 => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    /// Returns the delay after which a refused caller may retry, or `None` where a
    /// retry doesn't help or isn't safe.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Code::Overloaded
            | Code::RetryBudgetExhausted
            | Code::BackendRefused
            | Code::LinkOverloaded => Some(OVERLOAD_RETRY_AFTER),
            Code::NoConfiguration | Code::NoBackendServer => Some(STARTUP_RETRY_AFTER),
            // The entry node replaces it by the time until the account has room again.
            Code::QuotaExceeded => Some(OVERLOAD_RETRY_AFTER),
            Code::Leaving | Code::Unreachable | Code::Fenced | Code::DeadlineBeforeStart => {
                Some(REROUTE_RETRY_AFTER)
            }
            _ => None,
        }
    }

    /// Returns the HTTP status with which the code is sent.
    pub fn http_status(self) -> u16 {
        match self {
            Code::NoRoute | Code::NotFound => 404,
            Code::BadRequest => 400,
            Code::BodyTooLarge => 413,
            Code::HeadersTooLarge => 431,
            Code::TooSlowCaller => 408,
            Code::KeyMismatch => 422,
            Code::KeyBusy | Code::PublishConflict => 409,
            Code::TooDeep => 508,
            Code::PublishRefused => 422,
            Code::Unauthorized | Code::UnknownKey => 401,
            Code::QuotaExceeded => 429,
            Code::PublishPending => 202,
            Code::DeadlineBeforeStart | Code::DeadlineWhileRunning => 504,
            Code::BackendConnectionLost | Code::BadBackendAnswer => 502,
            Code::SettleFailed | Code::AnswerExpired | Code::LedgerUncertain => 502,
            Code::CancelledWhileRunning | Code::NodeStopped => 502,
            _ => 503,
        }
    }
}
