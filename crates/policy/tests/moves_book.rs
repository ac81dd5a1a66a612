//! What a node knows of moves: targets, states and the split derived from them.

use std::{sync::Arc, time::Duration};

use savorykeel_policy::{
    config::{model::Configuration, raw::RawConfiguration},
    ids::{BackendVersion, ConfigVersion, InstanceName, RouteName, ServiceName, ZoneName},
    membership::entry::{BackendRecord, Liveness, NodeRecord, Stamp},
    moves::{
        book::{BookRevision, MoveBook},
        evidence::{Ending, Observation, Report},
        state::{BadKind, Permille},
        status::Phase,
    },
    table::Table,
    time::{Tick, WallMillis},
};

const OK: Observation =
    Observation { ending: Ending::Ok, took: Duration::from_millis(5), is_cold: false };
const FAILED: Observation = Observation { ending: Ending::Failed, ..OK };

fn configuration(version: &str, by: Option<&str>) -> Arc<Configuration> {
    let raw: RawConfiguration = serde_json::from_value(serde_json::json!({
        "format": 1,
        "services": {"gate": {"version": version, "by": by}},
        "routes": [{"name": "open", "match": {"path": "/"}, "service": "gate", "idempotent": false}],
    }))
    .unwrap();
    Arc::new(Configuration::try_from(raw).unwrap())
}

fn node(name: &str, version: &str) -> NodeRecord {
    NodeRecord {
        instance: InstanceName::try_from(name).unwrap(),
        stamp: Stamp::default(),
        zone: ZoneName::try_from("patras").unwrap(),
        region: "achaia".try_into().unwrap(),
        peer_addr: "127.0.0.1:1".parse().unwrap(),
        leaving: false,
        backend: Some(BackendRecord {
            service: gate(),
            version: BackendVersion::try_from(version).unwrap(),
            slots: 20,
            draining: false,
        }),
        applied: ConfigVersion(0),
    }
}

fn table(version: u64, configuration: &Arc<Configuration>, nodes: &[NodeRecord]) -> Table {
    let members = nodes.iter().map(|node| (node, Liveness::Alive));
    Table::build(ConfigVersion(version), configuration.clone(), members)
}

fn gate() -> ServiceName {
    ServiceName::try_from("gate").unwrap()
}

fn announce(book: &mut MoveBook, name: &str, version: &str) {
    let version = BackendVersion::try_from(version).unwrap();
    let instance = InstanceName::try_from(name).unwrap();
    book.announce(&instance, 1, &ZoneName::try_from("patras").unwrap(), &gate(), &version);
}

/// Two nodes of one service that exchange all they know after each second.
struct Pair {
    old: MoveBook,
    new: MoveBook,
    nodes: Vec<NodeRecord>,
    now: u64,
}

impl Pair {
    fn new() -> Self {
        let mut pair = Self {
            old: MoveBook::default(),
            new: MoveBook::default(),
            nodes: vec![node("a", "v1"), node("b", "v2")],
            now: 1_000,
        };
        announce(&mut pair.old, "a", "v1");
        announce(&mut pair.new, "b", "v2");
        pair
    }

    fn follow(&mut self, version: u64, configuration: &Configuration) {
        self.old.follow(ConfigVersion(version), configuration);
        self.new.follow(ConfigVersion(version), configuration);
    }

    fn second(&mut self, table: &Table, new_run: u64, new_failed: u64) {
        let route = RouteName::try_from("open").unwrap();
        let v1 = BackendVersion::try_from("v1").unwrap();
        let v2 = BackendVersion::try_from("v2").unwrap();
        for _ in 0..100 {
            self.old.record(&route, &v1, OK);
        }
        for i in 0..new_run {
            self.new.record(&route, &v2, if i < new_failed { FAILED } else { OK });
        }
        self.now += 1_000;
        self.exchange();
        let (tick, wall) = (Tick(self.now), WallMillis(self.now));
        self.old.look(table, tick, wall);
        self.new.look(table, tick, wall);
    }

    fn exchange(&mut self) {
        let mut from_old = self.old.delta_since(BookRevision(0));
        let mut from_new = self.new.delta_since(BookRevision(0));
        from_old.reports.extend(self.old.own_report().cloned());
        from_new.reports.extend(self.new.own_report().cloned());
        self.old.merge(from_new);
        self.new.merge(from_old);
    }
}

fn share(book: &MoveBook, table: &Table) -> Permille {
    book.split(&table.services[&gate()], &gate()).unwrap().share()
}

#[test]
fn good_version_is_done_by_its_time_on_both_nodes() {
    let mut pair = Pair::new();
    pair.follow(1, &configuration("v1", None));
    let cfg = configuration("v2", Some("1970-01-01T00:01:01Z"));
    pair.follow(2, &cfg);
    let table = table(2, &cfg, &pair.nodes);
    let mut before = Permille::NONE;
    while pair.now < 61_000 {
        let now = share(&pair.new, &table);
        assert!(now >= before, "the share fell from {before:?} to {now:?}");
        before = now;
        pair.second(&table, 50, 0);
    }
    for book in [&pair.old, &pair.new] {
        assert_eq!(book.reports(&table)[0].phase, Phase::Done);
        assert_eq!(share(book, &table), Permille::FULL);
    }
}

#[test]
fn bad_version_is_taken_back_everywhere_and_stays_so() {
    let mut pair = Pair::new();
    pair.follow(1, &configuration("v1", None));
    let cfg = configuration("v2", Some("1970-01-01T00:10:00Z"));
    pair.follow(2, &cfg);
    let table = table(2, &cfg, &pair.nodes);
    for _ in 0..60 {
        pair.second(&table, 10, 2);
    }
    pair.exchange();
    let stale = MoveBook::default().delta_since(BookRevision(0));
    pair.old.merge(stale);
    for book in [&pair.old, &pair.new] {
        let report = &book.reports(&table)[0];
        assert_eq!(report.phase, Phase::TakenBack);
        assert_eq!(report.reason.as_ref().unwrap().kind, BadKind::Failing);
        let split = book.split(&table.services[&gate()], &gate()).unwrap();
        assert!((0..1_000).all(|hash| split.choose(hash).as_str() == "v1"));
    }
    assert!(pair.old.ending(&table, WallMillis(pair.now)).unwrap().state.bad.is_some());
}

#[test]
fn version_asked_for_again_after_a_return_is_a_new_move() {
    let mut pair = Pair::new();
    pair.follow(1, &configuration("v1", None));
    let bad = configuration("v2", None);
    pair.follow(2, &bad);
    let bad_table = table(2, &bad, &pair.nodes);
    for _ in 0..60 {
        pair.second(&bad_table, 10, 5);
    }
    assert_eq!(share(&pair.old, &bad_table), Permille::FULL);
    let back = configuration("v1", None);
    pair.follow(3, &back);
    let back_table = table(3, &back, &pair.nodes);
    pair.second(&back_table, 0, 0);
    assert_eq!(pair.old.reports(&back_table)[0].phase, Phase::Done);
    let again = configuration("v2", None);
    pair.follow(4, &again);
    let again_table = table(4, &again, &pair.nodes);
    pair.second(&again_table, 0, 0);
    assert_eq!(share(&pair.old, &again_table), Permille(50));
    assert_eq!(pair.old.reports(&again_table)[0].asked, ConfigVersion(4));
}

#[test]
fn replaced_group_learns_the_move_from_a_node_of_another_service() {
    let mut pair = Pair::new();
    pair.follow(1, &configuration("v1", None));
    let cfg = configuration("v2", Some("1970-01-01T00:01:40Z"));
    pair.follow(2, &cfg);
    let table = table(2, &cfg, &pair.nodes);
    for _ in 0..60 {
        pair.second(&table, 50, 0);
    }
    let reached = share(&pair.old, &table);
    assert!(reached > Permille(50) && reached < Permille::FULL, "{reached:?}");
    let mut other = MoveBook::default();
    other.follow(ConfigVersion(2), &cfg);
    other.merge(pair.old.delta_since(BookRevision(0)));

    let mut fresh = MoveBook::default();
    fresh.follow(ConfigVersion(2), &cfg);
    assert_eq!(share(&fresh, &table), Permille::NONE, "a node without history gives nothing away");
    fresh.merge(other.delta_since(BookRevision(0)));
    assert_eq!(share(&fresh, &table), reached);
    assert_eq!(fresh.reports(&table)[0].from.as_ref().unwrap().as_str(), "v1");
}

#[test]
fn node_that_skipped_configurations_agrees_on_the_move() {
    let mut all = MoveBook::default();
    let mut late = MoveBook::default();
    for (version, target) in [(1, "v1"), (5, "v2")] {
        all.follow(ConfigVersion(version), &configuration(target, None));
    }
    let cfg = configuration("v2", None);
    all.follow(ConfigVersion(9), &cfg);
    late.follow(ConfigVersion(9), &cfg);
    late.merge(all.delta_since(BookRevision(0)));
    all.merge(late.delta_since(BookRevision(0)));
    let table = table(9, &cfg, &[node("a", "v1"), node("b", "v2")]);
    assert_eq!(late.reports(&table)[0].asked, ConfigVersion(5));
    assert_eq!(all.reports(&table), late.reports(&table));
}

#[test]
fn bad_version_without_another_gets_nothing() {
    let mut pair = Pair::new();
    pair.follow(1, &configuration("v1", None));
    let cfg = configuration("v2", None);
    pair.follow(2, &cfg);
    let whole = table(2, &cfg, &pair.nodes);
    for _ in 0..60 {
        pair.second(&whole, 10, 5);
    }
    let alone = table(2, &cfg, &pair.nodes[1..]);
    assert_eq!(pair.old.split(&alone.services[&gate()], &gate()), None);
}

#[test]
fn vanished_instances_hold_the_move() {
    let mut pair = Pair::new();
    pair.follow(1, &configuration("v1", None));
    let cfg = configuration("v2", Some("1970-01-01T00:00:30Z"));
    pair.follow(2, &cfg);
    let without = table(2, &cfg, &pair.nodes[..1]);
    for _ in 0..60 {
        pair.second(&without, 0, 0);
    }
    assert_eq!(pair.old.reports(&without)[0].phase, Phase::WaitingForInstances);
    let split = pair.old.split(&without.services[&gate()], &gate()).unwrap();
    assert_eq!(split.choose(1).as_str(), "v1");
}

#[test]
fn evidence_survives_a_round_trip() {
    let mut book = MoveBook::default();
    announce(&mut book, "a", "v1");
    let route = RouteName::try_from("open").unwrap();
    let version = BackendVersion::try_from("v1").unwrap();
    (0..100).for_each(|_| book.record(&route, &version, OK));
    let report = book.own_report().unwrap();
    let bytes = postcard::to_stdvec(report).unwrap();
    assert_eq!(&postcard::from_bytes::<Report>(&bytes).unwrap(), report);
    assert!(bytes.len() < 128, "{} bytes for one route", bytes.len());
}

#[test]
fn first_configuration_gives_no_call_to_a_version_that_it_does_not_name() {
    let first = configuration("v1", None);
    let table = table(1, &first, &[node("a", "v1"), node("b", "v2"), node("c", "v2")]);
    let mut book = MoveBook::default();
    book.follow(ConfigVersion(1), &first);
    let split = book.split(&table.services[&gate()], &gate()).unwrap();
    assert_eq!(split.new_version().as_str(), "v1");
    assert_eq!((split.old_version(), split.share()), (None, Permille::FULL));
}
