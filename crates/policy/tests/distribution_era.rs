//! Tests of the eras of the store.

use savorykeel_policy::{
    distribution::era::{AnswerEra, ClientEras, EraChange, KnownEra, StoreEra},
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
