//! Replays requests for a link to a node that doesn't answer.

use std::time::Duration;

use savorykeel_policy::{
    calls::link_opening::{LinkAction, LinkAttempts, UNREACHABLE_MEMORY},
    time::Tick,
};
use yare::parameterized;

/// Time that an attempt takes at a frozen node, which accepts the connection and doesn't answer
/// the first heartbeat.
const ATTEMPT_MS: u64 = 500;

/// Time for which the node is frozen.
const FREEZE_MS: u64 = 4_000;

/// Waiting times of the requests for a link, and the moment from which it was open.
struct Replay {
    waits_ms: Vec<u64>,
    open_at_ms: u64,
}

/// Replays a request every `spacing_ms` for a link to a node that wakes at [`FREEZE_MS`].
fn replay(spacing_ms: u64, memory: Duration) -> Replay {
    let mut attempts = LinkAttempts::new(memory);
    let (mut attempt_ends, mut waiting, mut waits_ms) = (None, Vec::new(), Vec::new());
    for now in 0.. {
        if attempt_ends == Some(now) {
            attempt_ends = None;
            waits_ms.extend(waiting.drain(..).map(|since| now - since));
            let is_open = now > FREEZE_MS;
            attempts.record_end(is_open, Tick(now));
            if is_open {
                return Replay { waits_ms, open_at_ms: now };
            }
        }
        if now % spacing_ms == 0 {
            // A node that has woken answers at once.
            let ends = if now < FREEZE_MS { now + ATTEMPT_MS } else { now + 2 };
            match attempts.request(Tick(now)) {
                LinkAction::Open => {
                    assert_eq!(attempt_ends.replace(ends), None, "two attempts at once");
                    waiting.push(now);
                }
                LinkAction::Wait => waiting.push(now),
                LinkAction::RejectAndReopen => {
                    assert_eq!(attempt_ends.replace(ends), None, "two attempts at once");
                    waits_ms.push(0);
                }
                LinkAction::Reject => waits_ms.push(0),
            }
        }
    }
    unreachable!("the link opens")
}

/// Guards against requests that wait one after the other for a link to a frozen node.
#[parameterized(busy = { 1 }, calm = { 16 }, sparse = { 300 })]
fn requests_for_a_link_to_a_frozen_node_wait_for_one_attempt(spacing_ms: u64) {
    let replay = replay(spacing_ms, UNREACHABLE_MEMORY);
    assert!(replay.waits_ms.iter().all(|wait| *wait <= ATTEMPT_MS), "{:?}", replay.waits_ms);
    let waited = replay.waits_ms.iter().filter(|wait| **wait > 0).count() as u64;
    assert!(waited <= ATTEMPT_MS / spacing_ms + 1, "{waited} requests waited");
}

#[parameterized(busy = { 1 }, calm = { 16 }, sparse = { 300 })]
fn link_is_open_soon_after_the_node_has_woken(spacing_ms: u64) {
    let replay = replay(spacing_ms, UNREACHABLE_MEMORY);
    let took = replay.open_at_ms - FREEZE_MS;
    assert!(took <= ATTEMPT_MS + 100 + spacing_ms, "the link was open after {took} ms");
}

#[test]
fn a_failure_is_forgotten() {
    let mut attempts = LinkAttempts::new(UNREACHABLE_MEMORY);
    assert_eq!(attempts.request(Tick(0)), LinkAction::Open);
    attempts.record_end(false, Tick(500));
    let later = Tick(500) + UNREACHABLE_MEMORY;
    assert_eq!(attempts.request(later), LinkAction::Open);
}

#[test]
fn requests_without_memory_share_an_attempt_and_are_never_turned_away() {
    let mut attempts = LinkAttempts::new(Duration::ZERO);
    assert_eq!(attempts.request(Tick(0)), LinkAction::Open);
    assert_eq!(attempts.request(Tick(1)), LinkAction::Wait);
    attempts.record_end(false, Tick(500));
    assert_eq!(attempts.request(Tick(501)), LinkAction::Open);
}
