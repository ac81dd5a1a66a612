//! Tests of the caller stand-in: concurrent requests, load, and the comparison of
//! observations with ledgers.

use savorykeel_standins::{
    backend::{self, Run, Settings},
    caller::{CallOutcome, Client, Load, Observation, Plan, Request, Tally, Template},
};

#[test]
fn concurrent_calls_through_one_client_all_complete() {
    let server = backend::start(Settings::new("gate", "v1")).unwrap();
    let client = Client::start().unwrap();
    let calls: Vec<_> =
        (0..50).map(|_| client.send(server.addr(), Request::get("/gate"))).collect();
    assert!(calls.into_iter().all(|call| call.wait().is_ok_and(|reply| reply.status == 200)));
}

#[test]
fn load_against_a_backend_server_gives_a_clean_tally() {
    let server = backend::start(Settings::new("gate", "v1")).unwrap();
    let mix = vec![Template::new("GET", "/gate/log"), Template::new("POST", "/gate/open")];
    let load = Load::start(Plan::new("l", vec![server.addr()], mix)).unwrap();
    while load.calls() < 20 {
        std::thread::yield_now();
    }
    let observations = load.finish();
    let tally = Tally::compare(&observations, &server.ledger());
    assert!(tally.is_clean(), "{tally:?}");
    assert_eq!((tally.answered, tally.versions["v1"]), (tally.calls, tally.calls));
}

fn observation(tag: &str, outcome: CallOutcome) -> Observation {
    let (at, latency) = Default::default();
    Observation { tag: tag.into(), target: "/gate".into(), keyed: true, at, latency, outcome }
}

fn run(tag: &str) -> Run {
    Run { tag: Some(tag.into()), ..Run::default() }
}

#[test]
fn tally_counts_each_kind_of_violation() {
    let answered =
        CallOutcome::Answered { status: 200, version: "v1".into(), instance: "gate-a".into() };
    let observations = [
        observation("twice", answered.clone()),
        observation("never", answered),
        observation("ran", CallOutcome::NotRun { code: 101 }),
        observation("cut", CallOutcome::Cut { problem: "reset".into() }),
        observation("lost", CallOutcome::Lost { problem: "no answer".into() }),
    ];
    let tally = Tally::compare(&observations, &[run("twice"), run("twice"), run("ran")]);
    let counts = [tally.doubled, tally.unaccounted, tally.not_run_but_ran, tally.cut, tally.lost];
    assert_eq!((tally.calls, counts), (5, [1; 5]));
    assert!(!tally.is_clean());
}
