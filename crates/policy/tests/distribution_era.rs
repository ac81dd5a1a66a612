//! Tests of the eras of the store.

use std::time::Duration;

use savorykeel_policy::{
    distribution::era::{AnswerEra, ClientEras, EraChange, KnownEra, RETURN_MEMORY, StoreEra},
    time::Tick,
};

fn answer(eras: &mut ClientEras, stated: Option<u64>) -> AnswerEra {
    eras.classify(eras.count(), stated.map(StoreEra))
}

#[test]
fn first_era_is_no_change_and_each_other_one_is() {
    let mut eras = ClientEras::default();
    assert_eq!(answer(&mut eras, Some(4)), AnswerEra::Current);
    assert_eq!(answer(&mut eras, Some(4)), AnswerEra::Current);
    assert_eq!(answer(&mut eras, Some(5)), AnswerEra::New);
    assert_eq!(answer(&mut eras, Some(5)), AnswerEra::Current);
    assert_eq!(answer(&mut eras, Some(2)), AnswerEra::New, "a store that counts otherwise");
    assert_eq!(eras.current(), Some(StoreEra(2)));
}

#[test]
fn answer_without_era_is_current_unless_the_era_changed_meanwhile() {
    let mut eras = ClientEras::default();
    assert_eq!(answer(&mut eras, None), AnswerEra::Current);
    assert_eq!(answer(&mut eras, Some(1)), AnswerEra::Current);
    let begun = eras.count();
    assert_eq!(answer(&mut eras, Some(2)), AnswerEra::New);
    assert_eq!(eras.classify(begun, None), AnswerEra::Late);
    assert_eq!(answer(&mut eras, None), AnswerEra::Current);
}

/// A long poll that was open while the store came back may be answered after a later call.
#[test]
fn late_answer_of_an_earlier_era_changes_nothing() {
    let mut eras = ClientEras::default();
    assert_eq!(answer(&mut eras, Some(1)), AnswerEra::Current);
    let long_poll = eras.count();
    assert_eq!(answer(&mut eras, Some(2)), AnswerEra::New);
    assert_eq!(eras.classify(long_poll, Some(StoreEra(1))), AnswerEra::Late);
    assert_eq!(eras.classify(long_poll, Some(StoreEra(2))), AnswerEra::Current);
    assert_eq!(eras.current(), Some(StoreEra(2)));
}

#[test]
fn two_returns_during_one_call_are_two_changes() {
    let mut eras = ClientEras::default();
    assert_eq!(answer(&mut eras, Some(1)), AnswerEra::Current);
    let begun = eras.count();
    assert_eq!(answer(&mut eras, Some(2)), AnswerEra::New);
    assert_eq!(eras.classify(begun, Some(StoreEra(3))), AnswerEra::Late);
    assert_eq!(answer(&mut eras, Some(3)), AnswerEra::New);
}

#[test]
fn node_learns_of_each_newer_era_once() {
    let mut known = KnownEra::default();
    assert_eq!(known.record(StoreEra(3), Tick(1)), None);
    let change = EraChange { previous: StoreEra(3), current: StoreEra(5) };
    assert_eq!(known.record(StoreEra(5), Tick(2)), Some(change));
    assert_eq!(known.record(StoreEra(5), Tick(3)), None);
    assert_eq!(known.record(StoreEra(4), Tick(4)), None);
    assert_eq!((known.newest(), known.changed_at()), (Some(StoreEra(5)), Some(Tick(2))));
}

/// Each message takes a little time, so a return that nodes tell each other of seems to come
/// later with each of them. It must be over in time all the same.
#[test]
fn return_that_nodes_tell_each_other_of_ends() {
    let mut nodes = [KnownEra::default(); 2];
    nodes[0].record(StoreEra(1), Tick(0));
    nodes[0].record(StoreEra(2), Tick(1_000));
    let delay = Duration::from_millis(20);
    let mut now = Tick(1_000);
    let mut told = 0;
    while let Some(ago) = nodes[told % 2].returned_ago(now) {
        now = now + delay;
        told += 1;
        nodes[told % 2].record_return(ago, now);
        assert!(now < Tick(1_000) + RETURN_MEMORY + Duration::from_secs(3), "after {told}");
    }
    assert!(told > 2_000);
}

#[test]
fn started_node_learns_of_a_recent_return_from_another() {
    let mut known = KnownEra::default();
    known.record(StoreEra(4), Tick(100));
    assert_eq!(known.changed_at(), None);
    known.record_return(Duration::from_secs(2), Tick(3_000));
    assert_eq!(known.changed_at(), Some(Tick(1_000)));
}
