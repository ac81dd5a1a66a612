//! Tests that an accepted configuration is applied by every node.

use std::{
    thread::sleep,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use savorykeel_policy::time::WallMillis;

use crate::harness::{
    deployment::Deployment,
    fleet::{Fleet, Options},
    invariants::read_journal,
};

#[test]
fn publish_is_applied_by_every_node_and_carries_calls() {
    let deployment = Deployment::small();
    let fleet = Fleet::start(&deployment, Options::default());
    fleet.publish_first(&deployment, "/gate");
    fleet.wait_answered("/history");
}

/// Time between two versions, shorter than the wait for neighbours that are silent.
const VERSION_INTERVAL: Duration = Duration::from_millis(100);

/// Time after its acceptance within which a version or a later one has to be in force.
const APPLY_BOUND: Duration = Duration::from_secs(2);

/// Number of versions, which take several times [`APPLY_BOUND`] to publish.
const VERSIONS: u64 = 60;

#[test]
fn versions_in_quick_succession_come_into_force_while_neighbours_are_silent() {
    let deployment = Deployment::thyrofonia();
    let fleet = Fleet::start(&deployment, Options::default());
    fleet.publish_first(&deployment, "/gate");
    fleet.wait_members();
    let (silent, running) = fleet.members.split_at(fleet.members.len() * 2 / 3);
    let mut neighbours = silent.iter();
    let mut published = Vec::new();
    let started = Instant::now();
    for version in 2..=VERSIONS {
        // One more falls silent every few versions, so that at any time there are some that
        // failure detection hasn't removed.
        if version % 4 == 0 {
            neighbours.by_ref().take(1).for_each(|member| member.node().pause());
        }
        let mut configuration = deployment.configuration();
        configuration.limits.call_depth = 10 + version as u32;
        fleet.publish(version - 1, &configuration);
        published.push((version, wall_now()));
        let next_at = VERSION_INTERVAL * (version as u32 - 1);
        sleep(next_at.saturating_sub(started.elapsed()));
    }
    silent.iter().for_each(|member| member.node().resume());
    sleep(APPLY_BOUND);
    for instance in running.iter().map(|member| &member.identity.instance) {
        let journal = read_journal(&fleet, instance);
        for (version, published_at) in &published {
            let applied = journal.iter().find(|applied| applied.version.0 >= *version);
            let lag_ms = applied.map(|applied| applied.at.0.saturating_sub(published_at.0));
            assert!(
                lag_ms.is_some_and(|ms| u128::from(ms) <= APPLY_BOUND.as_millis()),
                "{instance}: neither version {version} nor a later one was in force in time: {lag_ms:?} ms"
            );
        }
    }
}

fn wall_now() -> WallMillis {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is set");
    WallMillis(since_epoch.as_millis() as u64)
}
