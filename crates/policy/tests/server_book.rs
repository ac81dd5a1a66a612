//! Which life of the backend server beside a node counts.

use std::{net::SocketAddr, time::Duration};

use savorykeel_policy::{
    ids::{BackendVersion, ServiceName},
    server::{
        announcement::{Announcement, ServerLife},
        book::{ExpectedServer, Noted, ServerBook},
    },
    time::Tick,
};

const LEASE: Duration = Duration::from_secs(2);

fn addr() -> SocketAddr {
    "10.0.0.9:8080".parse().unwrap()
}

fn said(id: &str, started_ms: u64, sequence: u64) -> Announcement {
    Announcement {
        life: ServerLife { id: id.into(), started_ms },
        sequence,
        service: ServiceName::try_from("gate").unwrap(),
        version: BackendVersion::try_from("v1").unwrap(),
        addr: addr(),
        slots: 10,
        connections: None,
        draining: false,
        lease: LEASE,
        cold_left: None,
    }
}

fn known_id(book: &ServerBook) -> Option<&str> {
    book.known().map(|known| known.announcement.life.id.as_str())
}

#[test]
fn late_announcements_change_nothing() {
    let mut book = ServerBook::default();
    assert_eq!(book.announced(said("a", 100, 5), None, Tick(0)), Noted::Started);
    assert_eq!(book.announced(said("a", 100, 5), None, Tick(1)), Noted::Stale);
    assert_eq!(book.announced(said("a", 100, 4), None, Tick(1)), Noted::Stale);
    assert_eq!(book.announced(said("a", 100, 6), None, Tick(1)), Noted::Renewed);
    assert_eq!(book.announced(said("b", 200, 1), None, Tick(2)), Noted::Started);
    assert_eq!(book.announced(said("a", 100, 7), None, Tick(3)), Noted::Stale, "an earlier life");
    assert_eq!(known_id(&book), Some("b"));
}

#[test]
fn a_life_under_the_same_id_starts_anew() {
    let mut book = ServerBook::default();
    book.announced(said("a", 100, 50), None, Tick(0));
    assert_eq!(book.announced(said("a", 300, 1), None, Tick(1)), Noted::Started);
}

#[test]
fn leaving_is_not_taken_back_within_a_life() {
    let mut book = ServerBook::default();
    book.announced(said("a", 100, 1), None, Tick(0));
    assert!(book.leaving("a", Tick(10), 500));
    assert!(!book.leaving("a", Tick(11), 500), "it is no news");
    assert!(!book.leaving("other", Tick(11), 500));
    book.announced(said("a", 100, 2), None, Tick(12));
    let known = book.known().unwrap();
    assert!(known.takes_work(Tick(509), Duration::from_millis(500)));
    assert!(!known.takes_work(Tick(510), Duration::from_millis(500)));
    book.withdraw();
    assert_eq!(book.announced(said("a", 100, 3), None, Tick(600)), Noted::Stale, "it left");
    assert_eq!(book.announced(said("a", 700, 1), None, Tick(700)), Noted::Started);
    assert!(book.known().unwrap().takes_work(Tick(9_999), Duration::ZERO));
}

#[test]
fn a_withdrawn_life_comes_back_with_a_newer_announcement_only() {
    let mut book = ServerBook::default();
    book.announced(said("a", 100, 5), None, Tick(0));
    assert!(!book.is_expired(Tick(4_000)));
    assert!(book.is_expired(Tick(4_001)));
    book.withdraw();
    assert_eq!(book.announced(said("a", 100, 5), None, Tick(5_000)), Noted::Stale);
    assert_eq!(book.announced(said("a", 100, 6), None, Tick(5_000)), Noted::Started);
}

#[test]
fn announcements_of_other_servers_are_not_used() {
    let expected = ExpectedServer { service: ServiceName::try_from("gate").unwrap(), addr: addr() };
    let mut book = ServerBook::default();
    let elsewhere = Announcement { addr: "10.0.0.8:8080".parse().unwrap(), ..said("x", 900, 1) };
    assert_eq!(book.announced(elsewhere, Some(&expected), Tick(0)), Noted::Foreign);
    let other = ServiceName::try_from("ring").unwrap();
    let foreign = Announcement { service: other, ..said("x", 900, 1) };
    assert_eq!(book.announced(foreign, Some(&expected), Tick(0)), Noted::Foreign);
    assert_eq!(known_id(&book), None);
    assert_eq!(book.announced(said("a", 100, 1), Some(&expected), Tick(0)), Noted::Started);
}

#[test]
fn a_leaving_that_is_heard_before_the_backend_server_holds() {
    let mut book = ServerBook::default();
    assert!(!book.leaving("a", Tick(10), 500), "nothing is known of it yet");
    // An announcement that was on its way for some seconds.
    book.announced(said("a", 100, 42), None, Tick(2_000));
    let known = book.known().unwrap();
    assert_eq!(known.leaving_since, Some(Tick(10)));
    assert!(!known.takes_work(Tick(2_000), Duration::from_secs(1)));
    // It starts again under the id that it had.
    book.announced(said("a", 600, 1), None, Tick(5_000));
    assert!(book.known().unwrap().takes_work(Tick(5_000), Duration::ZERO));
}
