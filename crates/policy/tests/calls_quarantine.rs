//! Requests that crash backend servers are found; innocent ones aren't blamed.

use savorykeel_policy::{
    calls::quarantine::{CONDEMNED_TIME, CrashId, Fingerprint, Quarantine, SUSPECT_TIME, Standing},
    ids::ServiceName,
    time::Tick,
};

fn crash(number: u64) -> CrashId {
    CrashId { life: 1, number }
}

#[test]
fn the_culprit_is_condemned_and_its_company_is_not() {
    let mut quarantine = Quarantine::default();
    let (culprit, innocent) = (Fingerprint(1), Fingerprint(2));
    quarantine.crashed(culprit, crash(1), Tick(0));
    quarantine.crashed(innocent, crash(1), Tick(0));
    assert_eq!(quarantine.standing(innocent, Tick(1)), Standing::Suspect);
    quarantine.ended_well(innocent);
    quarantine.crashed(culprit, crash(2), Tick(2));
    assert_eq!(quarantine.standing(innocent, Tick(3)), Standing::Clear);
    assert_eq!(quarantine.standing(culprit, Tick(3)), Standing::Condemned);
    quarantine.ended_well(culprit);
    assert_eq!(quarantine.standing(culprit, Tick(3)), Standing::Condemned);
}

#[test]
fn news_of_one_crash_counts_once() {
    let mut quarantine = Quarantine::default();
    for _ in 0..5 {
        quarantine.crashed(Fingerprint(1), crash(1), Tick(0));
    }
    assert_eq!(quarantine.standing(Fingerprint(1), Tick(1)), Standing::Suspect);
}

#[test]
fn suspicion_and_condemnation_end() {
    let mut quarantine = Quarantine::default();
    quarantine.crashed(Fingerprint(1), crash(1), Tick(0));
    quarantine.crashed(Fingerprint(2), crash(1), Tick(0));
    quarantine.crashed(Fingerprint(2), crash(2), Tick(0));
    let after_suspicion = Tick(0) + SUSPECT_TIME + std::time::Duration::from_millis(1);
    assert_eq!(quarantine.standing(Fingerprint(1), after_suspicion), Standing::Clear);
    assert_eq!(quarantine.standing(Fingerprint(2), after_suspicion), Standing::Condemned);
    let after_all = Tick(0) + CONDEMNED_TIME + std::time::Duration::from_millis(1);
    assert_eq!(quarantine.standing(Fingerprint(2), after_all), Standing::Clear);
    quarantine.expire(after_all);
    assert!(quarantine.is_empty());
}

#[test]
fn fingerprints_tell_requests_apart() {
    let gate = ServiceName::try_from("gate").unwrap();
    let of = |target: &str, body: &[u8]| Fingerprint::of(&gate, "POST", target, body);
    assert_eq!(of("/open", b"1"), of("/open", b"1"));
    assert_ne!(of("/open", b"1"), of("/open", b"2"));
    assert_ne!(of("/open", b"1"), of("/open1", b""));
}
