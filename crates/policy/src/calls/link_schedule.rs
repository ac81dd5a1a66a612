//! Order and pace in which an instance sends the parts of large answers over its link.
//!
//! Load: answers of 540 kB on a link of 10 Mbit/s, and more of them than it carries. Sent as
//! soon as they are ready, they fill the kernel's socket buffers, and small answers, nested
//! calls and heartbeats wait behind them for seconds. Large answers are therefore sent in parts,
//! at no more than the stated rate for all connections together, so that the buffers hold a few
//! parts at most. Small messages never wait here; they are only counted. See
//! `docs/design/0024-links.md`.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::time::Tick;

/// Maximum size of a part in bytes, and the largest body that is sent whole.
pub const PART_BYTES: usize = 16 << 10;

/// Share of the link that parts and counted messages may use. The rest carries what isn't
/// counted: the headers of packets, acknowledgements, heartbeats and membership.
const USED_SHARE: f64 = 0.9;

/// Time over which unused capacity adds up. A longer burst would queue in the kernel's buffers.
const BURST_TIME: Duration = Duration::from_millis(10);

/// Longest time that small messages may hold back parts, so that they don't stop them for good
/// where they exceed the link by themselves.
const MAX_DEBT_TIME: Duration = Duration::from_millis(500);

/// Objectives that are less than this apart count as equal, so that accounts share the link
/// fairly in place of the order in which their requests came.
const OBJECTIVE_STEP_MILLIS: u64 = 64;

/// Time over which the rate of messages that don't wait is averaged.
const OTHER_TRAFFIC_TIME: Duration = Duration::from_secs(1);

/// Time after which the bytes that accounts were granted are halved.
const SHARE_PERIOD: Duration = Duration::from_secs(1);

/// Capacity of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkRate {
    bytes_per_second: u64,
}

/// Error for a number that is no capacity of a link.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
#[error("{0} is not a link capacity: use a finite number above 0, in Mbit/s")]
pub struct InvalidLinkRate(f64);

impl LinkRate {
    /// Returns the capacity of a link of so many megabits a second.
    pub fn from_mbps(mbps: f64) -> Result<Self, InvalidLinkRate> {
        match mbps.is_finite() && mbps > 0.0 {
            true => Ok(Self { bytes_per_second: ((mbps * 125_000.0) as u64).max(1) }),
            false => Err(InvalidLinkRate(mbps)),
        }
    }

    /// Returns the bytes a second that parts and counted messages may use.
    fn usable(self) -> f64 {
        self.bytes_per_second as f64 * USED_SHARE
    }

    /// Returns the time that the link takes for so many bytes of large answers.
    pub fn time_for(self, bytes: u64) -> Duration {
        Duration::from_secs_f64((bytes as f64 / self.usable()).min(86_400.0))
    }
}

/// A part of a large answer that waits for the link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkPart {
    /// Size of the part in bytes.
    pub bytes: usize,
    /// Bytes of the answer that aren't sent yet, with those of this part.
    pub unsent: u64,
    /// Moment until which the whole answer counts as fast.
    pub objective_at: Tick,
    /// Account by which parts are served fairly; empty if there is none.
    pub account: Arc<str>,
}

/// Identifies a part in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartTicket(u64);

#[derive(Debug)]
struct Queued {
    ticket: PartTicket,
    part: LinkPart,
}

/// Queue of the parts that wait for one link, and the token bucket that paces them.
#[derive(Debug)]
pub struct LinkSchedule {
    rate: LinkRate,
    /// Bytes that may be sent now; negative while the link catches up.
    tokens: f64,
    updated_at: Tick,
    queue: Vec<Queued>,
    queued_bytes: u64,
    next_ticket: u64,
    /// Bytes that each account was granted recently.
    granted: HashMap<Arc<str>, u64>,
    halved_at: Tick,
    granted_at: Tick,
    /// Moving average of the bytes a second that were sent without waiting, as of `counted_at`.
    other_rate: f64,
    counted_at: Tick,
}

impl LinkSchedule {
    /// Creates the schedule of an idle link.
    pub fn new(rate: LinkRate, now: Tick) -> Self {
        Self {
            rate,
            tokens: rate.usable() * BURST_TIME.as_secs_f64(),
            updated_at: now,
            queue: Vec::new(),
            queued_bytes: 0,
            next_ticket: 0,
            granted: HashMap::new(),
            halved_at: now,
            granted_at: now,
            other_rate: 0.0,
            counted_at: now,
        }
    }

    /// Counts a message that was sent without waiting.
    pub fn count_sent(&mut self, bytes: usize, now: Tick) {
        self.refill(now);
        let lowest = -self.rate.usable() * MAX_DEBT_TIME.as_secs_f64();
        self.tokens = (self.tokens - bytes as f64).max(lowest.min(self.tokens));
        self.other_rate = self.other_rate_at(now) + bytes as f64 / OTHER_TRAFFIC_TIME.as_secs_f64();
        self.counted_at = now;
    }

    /// Returns the share of the usable link that messages take which don't wait.
    pub fn other_share(&self, now: Tick) -> f64 {
        self.other_rate_at(now) / self.rate.usable()
    }

    fn other_rate_at(&self, now: Tick) -> f64 {
        let age = now.since(self.counted_at).as_secs_f64() / OTHER_TRAFFIC_TIME.as_secs_f64();
        self.other_rate * (-age).exp()
    }

    /// Adds a part to the queue; [`Self::grant`] tells when it may be sent.
    pub fn push(&mut self, part: LinkPart) -> PartTicket {
        let ticket = PartTicket(self.next_ticket);
        self.next_ticket += 1;
        self.queued_bytes += part.bytes as u64;
        self.queue.push(Queued { ticket, part });
        ticket
    }

    /// Removes a part that nobody waits for any more; returns whether it was still queued.
    pub fn cancel(&mut self, ticket: PartTicket) -> bool {
        let Some(i) = self.queue.iter().position(|queued| queued.ticket == ticket) else {
            return false;
        };
        self.remove(i);
        true
    }

    /// Grants the first part of the queue if the link has room for it.
    ///
    /// A part is granted as soon as the bytes sent before it have had their time, and the part
    /// after it waits for this one's.
    pub fn grant(&mut self, now: Tick) -> Option<PartTicket> {
        self.refill(now);
        if self.tokens < 0.0 && now.since(self.granted_at) < MAX_DEBT_TIME {
            return None;
        }
        let i = self.first(now)?;
        self.granted_at = now;
        let Queued { ticket, part } = self.remove(i);
        self.tokens -= part.bytes as f64;
        *self.granted.entry(part.account).or_default() += part.bytes as u64;
        Some(ticket)
    }

    /// Returns the bytes of a part that was granted but not sent.
    pub fn give_back(&mut self, bytes: usize, now: Tick) {
        self.refill(now);
        self.tokens += bytes as f64;
    }

    /// Returns the time until the next part may be granted, or `None` if none waits.
    pub fn time_to_grant(&self, now: Tick) -> Option<Duration> {
        let missing = (-self.tokens_at(now)).max(0.0);
        let wait = Duration::from_secs_f64(missing / self.rate.usable());
        let wait = wait.min(MAX_DEBT_TIME.saturating_sub(now.since(self.granted_at)));
        (!self.queue.is_empty()).then_some(wait)
    }

    /// Returns the number of queued parts.
    pub fn queued_parts(&self) -> usize {
        self.queue.len()
    }

    /// Returns the total size of the queued parts in bytes.
    pub fn queued_bytes(&self) -> u64 {
        self.queued_bytes
    }

    /// Returns the index of the part that is sent next.
    ///
    /// An answer that can't be in time any more is worth less, and so it waits for those that can.
    /// Of equal ones, the answer with the least left goes first: if all of them took turns, all
    /// would be late together.
    fn first(&self, now: Tick) -> Option<usize> {
        let rank = |queued: &Queued| {
            let part = &queued.part;
            let is_late = now + self.rate.time_for(part.unsent) > part.objective_at;
            let objective = part.objective_at.0 / OBJECTIVE_STEP_MILLIS;
            let granted = self.granted.get(&part.account).copied().unwrap_or(0);
            (is_late, objective, granted, part.unsent, queued.ticket)
        };
        (0..self.queue.len()).min_by_key(|i| rank(&self.queue[*i]))
    }

    fn remove(&mut self, i: usize) -> Queued {
        let queued = self.queue.swap_remove(i);
        self.queued_bytes -= queued.part.bytes as u64;
        queued
    }

    fn refill(&mut self, now: Tick) {
        self.tokens = self.tokens_at(now);
        self.updated_at = self.updated_at.max(now);
        if now.since(self.halved_at) >= SHARE_PERIOD {
            self.halved_at = now;
            self.granted.retain(|_, bytes| {
                *bytes /= 2;
                *bytes > 0
            });
        }
    }

    fn tokens_at(&self, now: Tick) -> f64 {
        let gained = now.since(self.updated_at).as_secs_f64() * self.rate.usable();
        (self.tokens + gained).min(self.rate.usable() * BURST_TIME.as_secs_f64())
    }
}
