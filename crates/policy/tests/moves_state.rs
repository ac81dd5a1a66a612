//! Tests that the state of a move is a join-semilattice, and tests of the split of calls
//! between two versions.

use proptest::{prelude::*, test_runner::RngSeed};
use savorykeel_policy::{
    ids::{BackendVersion, RouteName},
    moves::{
        split::VersionSplit,
        state::{BadKind, BadReason, MoveState, Permille, RECHECK_SHARE},
    },
};

fn bad() -> impl Strategy<Value = Option<BadReason>> {
    let kind = prop_oneof![
        Just(BadKind::Failing),
        Just(BadKind::Slow),
        Just(BadKind::UnderLoad),
        Just(BadKind::Crashing)
    ];
    let route = proptest::option::of(prop_oneof![Just("a"), Just("b")])
        .prop_map(|raw| raw.map(|raw| RouteName::try_from(raw).unwrap()));
    proptest::option::of((kind, route).prop_map(|(kind, route)| BadReason { kind, route }))
}

fn state() -> impl Strategy<Value = MoveState> {
    (0..=1_000_u16, 0..4_u32, any::<bool>(), bad()).prop_map(|(share, rechecks, done, bad)| {
        MoveState { share: Permille(share), rechecks, done, bad }
    })
}

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(6),
        ..ProptestConfig::with_cases(512)
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn merge_is_commutative(a in state(), b in state()) {
        prop_assert_eq!(a.joined(&b), b.joined(&a));
    }

    #[test]
    fn merge_is_associative(a in state(), b in state(), c in state()) {
        prop_assert_eq!(a.joined(&b).joined(&c), a.joined(&b.joined(&c)));
    }

    #[test]
    fn merge_is_idempotent(a in state(), b in state()) {
        let once = a.joined(&b);
        prop_assert_eq!(once.joined(&b), once.clone());
        let mut again = once.clone();
        prop_assert!(!again.merge(&a));
    }

    #[test]
    fn merge_never_decreases_a_field(a in state(), b in state()) {
        let joined = a.joined(&b);
        prop_assert!(joined.share >= a.share && joined.rechecks >= a.rechecks);
        prop_assert!(joined.done >= a.done && joined.bad >= a.bad);
    }

    #[test]
    fn bad_version_gets_no_traffic_after_any_merge(a in state(), b in state()) {
        let joined = a.joined(&b);
        if a.bad.is_some() {
            prop_assert_eq!(joined.effective_share(), Permille::NONE);
        } else {
            prop_assert!(a.effective_share() <= a.share);
        }
    }

    #[test]
    fn raising_the_share_moves_calls_to_the_new_version_only(
        hash in any::<u64>(), low in 0..=1_000_u16, more in 0..=1_000_u16, seed in any::<u64>()
    ) {
        let old = BackendVersion::try_from("v1").unwrap();
        let new = BackendVersion::try_from("v2").unwrap();
        let high = (low + more).min(1_000);
        let chosen = |share| {
            let split = VersionSplit::between(old.clone(), new.clone(), Permille(share), seed);
            split.choose(hash).clone()
        };
        if chosen(low) == new {
            prop_assert_eq!(&chosen(high), &new);
        }
        prop_assert_eq!(&chosen(0), &old);
        prop_assert_eq!(&chosen(1_000), &new);
    }
}

#[test]
fn fraction_of_hashes_on_the_new_version_is_close_to_the_share() {
    let old = BackendVersion::try_from("v1").unwrap();
    let new = BackendVersion::try_from("v2").unwrap();
    let split = VersionSplit::between(old, new.clone(), Permille(50), 7);
    let hits = (0..100_000_u64).filter(|hash| *split.choose(*hash) == new).count();
    assert!((4_700..=5_300).contains(&hits), "{hits} of 100000");
}

#[test]
fn recheck_reduces_the_share_until_it_ends() {
    let mut state = MoveState { share: Permille::FULL, done: true, ..MoveState::default() };
    state.rechecks = 1;
    assert_eq!(state.effective_share(), RECHECK_SHARE);
    state.rechecks = 2;
    assert_eq!(state.effective_share(), Permille::FULL);
}
