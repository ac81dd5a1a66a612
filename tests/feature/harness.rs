//! Tests that the harness starts, signals and stops node processes.

use crate::harness::{
    deployment::Deployment,
    fleet::{Fleet, Options},
};

#[test]
fn node_starts_pauses_and_ends_by_a_signal() {
    let mut fleet = Fleet::start(&Deployment::small(), Options::default());
    let entries = fleet.entries();
    assert_eq!(entries.len(), 4);
    assert!(entries.iter().all(|addr| addr.port() != 0));
    let node = fleet.members[0].node_mut();
    node.pause();
    node.resume();
    node.term();
    assert_eq!(node.wait_exit().code(), Some(0));
    fleet.members[1].kill();
    fleet.restart(1);
    assert!(fleet.members[1].node_mut().is_running());
}
