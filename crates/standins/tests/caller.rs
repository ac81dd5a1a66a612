//! The caller stand-in sends many requests at once and tells what it saw.

use savorykeel_standins::{
    backend::{self, Run, Settings},
    caller::{Client, Load, Observation, Plan, Request, Seen, Tally, Template},
};

#[test]
fn many_calls_at_once_through_one_client_all_end() {
    let server = backend::start(Settings::new("gate", "v1")).unwrap();
    let client = Client::start().unwrap();
    let calls: Vec<_> =
        (0..50).map(|_| client.send(server.addr(), Request::get("/gate"))).collect();
    assert!(calls.into_iter().all(|call| call.wait().is_ok_and(|reply| reply.status == 200)));
}

#[test]
fn load_against_a_backend_server_holds() {
    let server = backend::start(Settings::new("gate", "v1")).unwrap();
    let mix = vec![Template::new("GET", "/gate/log"), Template::new("POST", "/gate/open")];
    let load = Load::start(Plan::new("l", vec![server.addr()], mix)).unwrap();
    while load.calls() < 20 {
        std::thread::yield_now();
    }
    let observations = load.finish();
    let tally = Tally::of(&observations, &server.ledger());
    assert!(tally.holds(), "{tally:?}");
    assert_eq!((tally.answered, tally.versions["v1"]), (tally.calls, tally.calls));
}

fn observation(tag: &str, seen: Seen) -> Observation {
    let (at, latency) = Default::default();
    Observation { tag: tag.into(), target: "/gate".into(), keyed: true, at, latency, seen }
}

fn run(tag: &str) -> Run {
    Run { tag: Some(tag.into()), ..Run::default() }
}

#[test]
fn tally_tells_what_is_broken() {
    let answered = Seen::Answered { status: 200, version: "v1".into(), instance: "gate-a".into() };
    let observations = [
        observation("twice", answered.clone()),
        observation("never", answered),
        observation("ran", Seen::NotRun { code: 101 }),
        observation("cut", Seen::Cut { problem: "reset".into() }),
        observation("lost", Seen::Lost { problem: "no answer".into() }),
    ];
    let tally = Tally::of(&observations, &[run("twice"), run("twice"), run("ran")]);
    let counts = [tally.doubled, tally.unaccounted, tally.ran_all_the_same, tally.cut, tally.lost];
    assert_eq!((tally.calls, counts), (5, [1; 5]));
    assert!(!tally.holds());
}
