//! Tests of `MoveTracker`: targets, states and the split derived from them.

use std::{sync::Arc, time::Duration};

use savorykeel_policy::{
    config::{model::Configuration, raw::RawConfiguration},
    distribution::era::StoreEra,
    evacuation::{StatementOrder, ZoneStatement},
    ids::{BackendVersion, ConfigVersion, InstanceName, RouteName, ServiceName, ZoneName},
    membership::{
        entry::{BackendRecord, Liveness, NodeRecord, Stamp},
        quorum::Standing,
    },
    moves::{
        evidence::{Ending, Observation, Report},
        state::{BadKind, Permille},
        status::Phase,
        tracker::{MoveTracker, TrackerRevision},
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
    Table::build(ConfigVersion(version), configuration.clone(), members, &Default::default())
}

fn gate() -> ServiceName {
    ServiceName::try_from("gate").unwrap()
}

fn set_local_backend(tracker: &mut MoveTracker, name: &str, version: &str) {
    let version = BackendVersion::try_from(version).unwrap();
    let instance = InstanceName::try_from(name).unwrap();
    tracker.set_local_backend(
        &instance,
        1,
        &ZoneName::try_from("patras").unwrap(),
        &gate(),
        &version,
    );
}

/// Two nodes of one service that exchange all targets, states and reports in each
/// simulated second.
struct NodePair {
    old: MoveTracker,
    new: MoveTracker,
    nodes: Vec<NodeRecord>,
    now: u64,
}

impl NodePair {
    fn new() -> Self {
        let mut pair = Self {
            old: MoveTracker::default(),
            new: MoveTracker::default(),
            nodes: vec![node("a", "v1"), node("b", "v2")],
            now: 1_000,
        };
        set_local_backend(&mut pair.old, "a", "v1");
        set_local_backend(&mut pair.new, "b", "v2");
        pair
    }

    fn apply_configuration(&mut self, version: u64, configuration: &Configuration) {
        self.old.apply_configuration(ConfigVersion(version), configuration);
        self.new.apply_configuration(ConfigVersion(version), configuration);
    }

    fn advance_one_second(&mut self, table: &Table, new_run: u64, new_failed: u64) {
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
        self.exchange_gossip();
        let (tick, wall) = (Tick(self.now), WallMillis(self.now));
        self.old.evaluate(table, tick, wall, Standing::Majority);
        self.new.evaluate(table, tick, wall, Standing::Majority);
    }

    fn exchange_gossip(&mut self) {
        let mut from_old = self.old.delta_since(TrackerRevision(0));
        let mut from_new = self.new.delta_since(TrackerRevision(0));
        from_old.reports.extend(self.old.own_report().cloned());
        from_new.reports.extend(self.new.own_report().cloned());
        self.old.merge(from_new);
        self.new.merge(from_old);
    }
}

fn share(tracker: &MoveTracker, table: &Table) -> Permille {
    tracker.split(&table.services[&gate()], &gate()).unwrap().share()
}

#[test]
fn good_version_is_done_by_its_deadline_on_both_nodes() {
    let mut pair = NodePair::new();
    pair.apply_configuration(1, &configuration("v1", None));
    let cfg = configuration("v2", Some("1970-01-01T00:01:01Z"));
    pair.apply_configuration(2, &cfg);
    let table = table(2, &cfg, &pair.nodes);
    let mut before = Permille::NONE;
    while pair.now < 61_000 {
        let now = share(&pair.new, &table);
        assert!(now >= before, "the share fell from {before:?} to {now:?}");
        before = now;
        pair.advance_one_second(&table, 50, 0);
    }
    for tracker in [&pair.old, &pair.new] {
        assert_eq!(tracker.reports(&table)[0].phase, Phase::Done);
        assert_eq!(share(tracker, &table), Permille::FULL);
    }
}

#[test]
fn bad_version_is_rolled_back_on_both_nodes_despite_a_stale_update() {
    let mut pair = NodePair::new();
    pair.apply_configuration(1, &configuration("v1", None));
    let cfg = configuration("v2", Some("1970-01-01T00:10:00Z"));
    pair.apply_configuration(2, &cfg);
    let table = table(2, &cfg, &pair.nodes);
    for _ in 0..60 {
        pair.advance_one_second(&table, 10, 2);
    }
    pair.exchange_gossip();
    let stale = MoveTracker::default().delta_since(TrackerRevision(0));
    pair.old.merge(stale);
    for tracker in [&pair.old, &pair.new] {
        let report = &tracker.reports(&table)[0];
        assert_eq!(report.phase, Phase::TakenBack);
        assert_eq!(report.reason.as_ref().unwrap().kind, BadKind::Failing);
        let split = tracker.split(&table.services[&gate()], &gate()).unwrap();
        assert!((0..1_000).all(|hash| split.choose(hash).as_str() == "v1"));
    }
    assert!(pair.old.ending(&table, WallMillis(pair.now)).unwrap().state.bad.is_some());
}

/// Guards against a record of a move's end without counts: nodes of the service that are no
/// evaluators hold the state of the move, but not its evidence.
#[test]
fn node_that_did_not_evaluate_records_no_end() {
    let mut pair = NodePair::new();
    pair.apply_configuration(1, &configuration("v1", None));
    let cfg = configuration("v2", Some("1970-01-01T00:10:00Z"));
    pair.apply_configuration(2, &cfg);
    let table = table(2, &cfg, &pair.nodes);
    let mut other = NodePair::new().old;
    other.apply_configuration(ConfigVersion(1), &configuration("v1", None));
    other.apply_configuration(ConfigVersion(2), &cfg);
    for _ in 0..60 {
        pair.advance_one_second(&table, 10, 2);
    }
    other.merge(pair.old.delta_since(TrackerRevision(0)));
    assert_eq!(other.reports(&table)[0].phase, Phase::TakenBack);
    let evaluated = pair.old.ending(&table, WallMillis(pair.now)).unwrap();
    assert!(evaluated.new.run > 0);
    assert_eq!(other.ending(&table, WallMillis(pair.now)), None);
}

#[test]
fn version_requested_again_after_a_rollback_is_a_new_move() {
    let mut pair = NodePair::new();
    pair.apply_configuration(1, &configuration("v1", None));
    let bad = configuration("v2", None);
    pair.apply_configuration(2, &bad);
    let bad_table = table(2, &bad, &pair.nodes);
    for _ in 0..60 {
        pair.advance_one_second(&bad_table, 10, 5);
    }
    assert_eq!(share(&pair.old, &bad_table), Permille::FULL);
    let back = configuration("v1", None);
    pair.apply_configuration(3, &back);
    let back_table = table(3, &back, &pair.nodes);
    pair.advance_one_second(&back_table, 0, 0);
    assert_eq!(pair.old.reports(&back_table)[0].phase, Phase::Done);
    let again = configuration("v2", None);
    pair.apply_configuration(4, &again);
    let again_table = table(4, &again, &pair.nodes);
    pair.advance_one_second(&again_table, 0, 0);
    assert_eq!(share(&pair.old, &again_table), Permille(50));
    assert_eq!(pair.old.reports(&again_table)[0].asked, ConfigVersion(4));
}

#[test]
fn replaced_nodes_receive_the_move_from_a_node_of_another_service() {
    let mut pair = NodePair::new();
    pair.apply_configuration(1, &configuration("v1", None));
    let cfg = configuration("v2", Some("1970-01-01T00:01:40Z"));
    pair.apply_configuration(2, &cfg);
    let table = table(2, &cfg, &pair.nodes);
    for _ in 0..60 {
        pair.advance_one_second(&table, 50, 0);
    }
    let reached = share(&pair.old, &table);
    assert!(reached > Permille(50) && reached < Permille::FULL, "{reached:?}");
    let mut other = MoveTracker::default();
    other.apply_configuration(ConfigVersion(2), &cfg);
    other.merge(pair.old.delta_since(TrackerRevision(0)));

    let mut fresh = MoveTracker::default();
    fresh.apply_configuration(ConfigVersion(2), &cfg);
    assert_eq!(share(&fresh, &table), Permille::NONE, "node without history sent calls to v2");
    fresh.merge(other.delta_since(TrackerRevision(0)));
    assert_eq!(share(&fresh, &table), reached);
    assert_eq!(fresh.reports(&table)[0].from.as_ref().unwrap().as_str(), "v1");
}

#[test]
fn node_that_skipped_configurations_agrees_on_the_move() {
    let mut all = MoveTracker::default();
    let mut late = MoveTracker::default();
    for (version, target) in [(1, "v1"), (5, "v2")] {
        all.apply_configuration(ConfigVersion(version), &configuration(target, None));
    }
    let cfg = configuration("v2", None);
    all.apply_configuration(ConfigVersion(9), &cfg);
    late.apply_configuration(ConfigVersion(9), &cfg);
    late.merge(all.delta_since(TrackerRevision(0)));
    all.merge(late.delta_since(TrackerRevision(0)));
    let table = table(9, &cfg, &[node("a", "v1"), node("b", "v2")]);
    assert_eq!(late.reports(&table)[0].asked, ConfigVersion(5));
    assert_eq!(all.reports(&table), late.reports(&table));
}

#[test]
fn bad_version_gets_no_calls_when_no_other_version_is_live() {
    let mut pair = NodePair::new();
    pair.apply_configuration(1, &configuration("v1", None));
    let cfg = configuration("v2", None);
    pair.apply_configuration(2, &cfg);
    let whole = table(2, &cfg, &pair.nodes);
    for _ in 0..60 {
        pair.advance_one_second(&whole, 10, 5);
    }
    let alone = table(2, &cfg, &pair.nodes[1..]);
    assert_eq!(pair.old.split(&alone.services[&gate()], &gate()), None);
}

#[test]
fn move_waits_while_the_new_version_has_no_instances() {
    let mut pair = NodePair::new();
    pair.apply_configuration(1, &configuration("v1", None));
    let cfg = configuration("v2", Some("1970-01-01T00:00:30Z"));
    pair.apply_configuration(2, &cfg);
    let without = table(2, &cfg, &pair.nodes[..1]);
    for _ in 0..60 {
        pair.advance_one_second(&without, 0, 0);
    }
    assert_eq!(pair.old.reports(&without)[0].phase, Phase::WaitingForInstances);
    let split = pair.old.split(&without.services[&gate()], &gate()).unwrap();
    assert_eq!(split.choose(1).as_str(), "v1");
}

#[test]
fn report_round_trips_in_fewer_than_128_bytes() {
    let mut tracker = MoveTracker::default();
    set_local_backend(&mut tracker, "a", "v1");
    let route = RouteName::try_from("open").unwrap();
    let version = BackendVersion::try_from("v1").unwrap();
    (0..100).for_each(|_| tracker.record(&route, &version, OK));
    let report = tracker.own_report().unwrap();
    let bytes = postcard::to_stdvec(report).unwrap();
    assert_eq!(&postcard::from_bytes::<Report>(&bytes).unwrap(), report);
    assert!(bytes.len() < 128, "{} bytes for one route", bytes.len());
}

#[test]
fn first_configuration_gives_no_calls_to_unnamed_versions() {
    let first = configuration("v1", None);
    let table = table(1, &first, &[node("a", "v1"), node("b", "v2"), node("c", "v2")]);
    let mut tracker = MoveTracker::default();
    tracker.apply_configuration(ConfigVersion(1), &first);
    let split = tracker.split(&table.services[&gate()], &gate()).unwrap();
    assert_eq!(split.new_version().as_str(), "v1");
    assert_eq!((split.old_version(), split.share()), (None, Permille::FULL));
}

/// While the zone of all instances of the old version is evacuated, the new one takes the calls,
/// but the move stays where it was.
#[test]
fn an_evacuated_old_version_does_not_end_the_move() {
    let mut pair = NodePair::new();
    pair.apply_configuration(1, &configuration("v1", None));
    let cfg = configuration("v2", Some("1970-01-01T00:10:00Z"));
    pair.apply_configuration(2, &cfg);
    pair.nodes[1].zone = ZoneName::try_from("rio").unwrap();
    let whole = table(2, &cfg, &pair.nodes);
    pair.advance_one_second(&whole, 5, 0);
    let before = share(&pair.new, &whole);
    assert!(before < Permille::FULL);
    let statement = ZoneStatement {
        order: StatementOrder { era: StoreEra(0), position: 1 },
        is_evacuated: true,
    };
    let evacuations = [(pair.nodes[0].zone.clone(), statement)].into_iter().collect();
    let members = pair.nodes.iter().map(|node| (node, Liveness::Alive));
    let without_old = Table::build(ConfigVersion(2), cfg.clone(), members, &evacuations);
    let split = pair.new.split(&without_old.services[&gate()], &gate()).unwrap();
    let v2 = BackendVersion::try_from("v2").unwrap();
    assert!((0..100).all(|hash| *split.choose(hash) == v2));
    pair.advance_one_second(&without_old, 5, 0);
    assert!(share(&pair.new, &whole) < Permille::FULL, "the move goes on after the evacuation");
    let reports = pair.new.reports(&without_old);
    assert_eq!(reports[0].from, Some(BackendVersion::try_from("v1").unwrap()));
    assert!(reports[0].phase != Phase::Done && reports[0].phase != Phase::TakenBack);
}
