//! Tracking of the current incarnation of a node's own backend server.

use std::{net::SocketAddr, time::Duration};

use savorykeel_policy::{
    ids::{BackendVersion, ServiceName},
    server::{
        announcement::{Announcement, ServerIncarnation},
        rate::RequestRate,
        tracker::{AnnouncementOutcome, ExpectedServer, RateStatement, ServerTracker},
    },
    time::Tick,
};

const LEASE: Duration = Duration::from_secs(2);

fn addr() -> SocketAddr {
    "10.0.0.9:8080".parse().unwrap()
}

fn announcement(id: &str, started_ms: u64, sequence: u64) -> Announcement {
    Announcement {
        incarnation: ServerIncarnation { id: id.into(), started_ms },
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

fn current_id(tracker: &ServerTracker) -> Option<&str> {
    tracker.current().map(|current| current.announcement.incarnation.id.as_str())
}

#[test]
fn late_announcements_change_nothing() {
    let mut tracker = ServerTracker::default();
    assert_eq!(
        tracker.record_announcement(announcement("a", 100, 5), None, Tick(0)),
        AnnouncementOutcome::Started
    );
    assert_eq!(
        tracker.record_announcement(announcement("a", 100, 5), None, Tick(1)),
        AnnouncementOutcome::Stale
    );
    assert_eq!(
        tracker.record_announcement(announcement("a", 100, 4), None, Tick(1)),
        AnnouncementOutcome::Stale
    );
    assert_eq!(
        tracker.record_announcement(announcement("a", 100, 6), None, Tick(1)),
        AnnouncementOutcome::Renewed
    );
    assert_eq!(
        tracker.record_announcement(announcement("b", 200, 1), None, Tick(2)),
        AnnouncementOutcome::Started
    );
    assert_eq!(
        tracker.record_announcement(announcement("a", 100, 7), None, Tick(3)),
        AnnouncementOutcome::Stale,
        "an earlier incarnation"
    );
    assert_eq!(current_id(&tracker), Some("b"));
}

#[test]
fn a_new_incarnation_under_the_same_id_starts_anew() {
    let mut tracker = ServerTracker::default();
    tracker.record_announcement(announcement("a", 100, 50), None, Tick(0));
    assert_eq!(
        tracker.record_announcement(announcement("a", 300, 1), None, Tick(1)),
        AnnouncementOutcome::Started
    );
}

#[test]
fn leaving_is_final_within_an_incarnation() {
    let mut tracker = ServerTracker::default();
    tracker.record_announcement(announcement("a", 100, 1), None, Tick(0));
    assert!(tracker.record_leaving("a", Tick(10), 500));
    assert!(!tracker.record_leaving("a", Tick(11), 500), "the leaving is already recorded");
    assert!(!tracker.record_leaving("other", Tick(11), 500));
    tracker.record_announcement(announcement("a", 100, 2), None, Tick(12));
    let current = tracker.current().unwrap();
    assert!(current.accepts_work(Tick(509), Duration::from_millis(500)));
    assert!(!current.accepts_work(Tick(510), Duration::from_millis(500)));
    tracker.withdraw();
    assert_eq!(
        tracker.record_announcement(announcement("a", 100, 3), None, Tick(600)),
        AnnouncementOutcome::Stale,
        "the incarnation has left"
    );
    assert_eq!(
        tracker.record_announcement(announcement("a", 700, 1), None, Tick(700)),
        AnnouncementOutcome::Started
    );
    assert!(tracker.current().unwrap().accepts_work(Tick(9_999), Duration::ZERO));
}

#[test]
fn a_withdrawn_incarnation_returns_only_with_a_newer_announcement() {
    let mut tracker = ServerTracker::default();
    tracker.record_announcement(announcement("a", 100, 5), None, Tick(0));
    assert!(!tracker.is_expired(Tick(4_000)));
    assert!(tracker.is_expired(Tick(4_001)));
    tracker.withdraw();
    assert_eq!(
        tracker.record_announcement(announcement("a", 100, 5), None, Tick(5_000)),
        AnnouncementOutcome::Stale
    );
    assert_eq!(
        tracker.record_announcement(announcement("a", 100, 6), None, Tick(5_000)),
        AnnouncementOutcome::Started
    );
}

#[test]
fn announcements_of_unexpected_servers_are_ignored() {
    let expected = ExpectedServer { service: ServiceName::try_from("gate").unwrap(), addr: addr() };
    let mut tracker = ServerTracker::default();
    let elsewhere =
        Announcement { addr: "10.0.0.8:8080".parse().unwrap(), ..announcement("x", 900, 1) };
    assert_eq!(
        tracker.record_announcement(elsewhere, Some(&expected), Tick(0)),
        AnnouncementOutcome::Foreign
    );
    let other = ServiceName::try_from("ring").unwrap();
    let foreign = Announcement { service: other, ..announcement("x", 900, 1) };
    assert_eq!(
        tracker.record_announcement(foreign, Some(&expected), Tick(0)),
        AnnouncementOutcome::Foreign
    );
    assert_eq!(current_id(&tracker), None);
    assert_eq!(
        tracker.record_announcement(announcement("a", 100, 1), Some(&expected), Tick(0)),
        AnnouncementOutcome::Started
    );
}

#[test]
fn leaving_received_before_the_first_announcement_holds() {
    let mut tracker = ServerTracker::default();
    assert!(!tracker.record_leaving("a", Tick(10), 500), "no announcement has been received yet");
    // An announcement that was delayed for some seconds.
    tracker.record_announcement(announcement("a", 100, 42), None, Tick(2_000));
    let current = tracker.current().unwrap();
    assert_eq!(current.leaving_since, Some(Tick(10)));
    assert!(!current.accepts_work(Tick(2_000), Duration::from_secs(1)));
    // The backend server starts again under the same id.
    tracker.record_announcement(announcement("a", 600, 1), None, Tick(5_000));
    assert!(tracker.current().unwrap().accepts_work(Tick(5_000), Duration::ZERO));
}

fn stated(per_second: Option<f64>, sent_at: u64) -> RateStatement {
    let rate = per_second.map(|n| RequestRate::try_from(n).unwrap());
    RateStatement { rate, sent_at: Tick(sent_at) }
}

fn current_rate(tracker: &ServerTracker) -> Option<f64> {
    Some(tracker.current()?.stated_rate?.rate.per_second())
}

#[test]
fn an_answer_that_was_overtaken_does_not_end_a_stated_rate() {
    let mut tracker = ServerTracker::default();
    tracker.record_announcement(announcement("a", 100, 1), None, Tick(0));
    let incarnation = announcement("a", 100, 1).incarnation;
    assert!(tracker.record_rate(&incarnation, stated(Some(40.0), 10), Tick(20)));
    assert!(!tracker.record_rate(&incarnation, stated(None, 5), Tick(21)));
    assert_eq!(current_rate(&tracker), Some(40.0));
    tracker.record_announcement(announcement("a", 100, 2), None, Tick(22));
    assert_eq!(current_rate(&tracker), Some(40.0), "announcements don't end it");
    assert!(tracker.record_rate(&incarnation, stated(None, 25), Tick(30)));
    assert_eq!(current_rate(&tracker), None);
}

#[test]
fn a_stated_rate_ends_with_its_incarnation() {
    let mut tracker = ServerTracker::default();
    tracker.record_announcement(announcement("a", 100, 1), None, Tick(0));
    let earlier = announcement("a", 100, 1).incarnation;
    tracker.record_rate(&earlier, stated(Some(40.0), 10), Tick(20));
    tracker.record_announcement(announcement("a", 200, 1), None, Tick(30));
    assert_eq!(current_rate(&tracker), None);
    assert!(!tracker.record_rate(&earlier, stated(Some(40.0), 25), Tick(31)));
    assert_eq!(current_rate(&tracker), None, "an answer of the earlier incarnation came late");
}

/// Guards against a backend server that is lost because of a number too large in one entry.
#[test]
fn an_announcement_far_ahead_does_not_make_the_next_ones_stale() {
    let mut tracker = ServerTracker::default();
    let mut record =
        |sequence| tracker.record_announcement(announcement("a", 100, sequence), None, Tick(0));
    assert_eq!(record(u64::MAX), AnnouncementOutcome::Foreign);
    assert_eq!(record(1), AnnouncementOutcome::Started);
    assert_eq!(record(u64::MAX), AnnouncementOutcome::Foreign);
    assert_eq!(record(2), AnnouncementOutcome::Renewed);
}

#[test]
fn a_restarted_node_takes_a_backend_server_that_has_run_for_years() {
    let mut tracker = ServerTracker::default();
    let outcome = tracker.record_announcement(announcement("a", 100, 1 << 30), None, Tick(0));
    assert_eq!(outcome, AnnouncementOutcome::Started);
}
