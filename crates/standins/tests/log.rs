//! Tests of the log service stand-in: its HTTP protocol, limits and faults.

use std::time::Duration;

use savorykeel_standins::{
    caller::{CallError, Client, Reply, Request},
    log::{self, Outage, Settings},
};
use serde::Deserialize;

const STREAM: &str = "/v1/streams/configuration/records";

#[derive(Deserialize)]
struct Appended {
    offset: u64,
}

#[derive(Deserialize)]
struct Record {
    offset: u64,
    body: String,
}

#[derive(Deserialize)]
struct Records {
    earliest: u64,
    next: u64,
    records: Vec<Record>,
}

struct Session {
    log: log::Handle,
    client: Client,
}

impl Session {
    fn start(settings: Settings) -> Self {
        Self { log: log::start(settings).unwrap(), client: Client::start().unwrap() }
    }

    fn append(&self, body: &str) -> Result<Reply, CallError> {
        self.client.call(self.log.addr(), Request::post(STREAM, body))
    }

    fn read(&self, query: &str) -> Reply {
        let req = Request::get(&format!("{STREAM}?{query}"));
        self.client.call(self.log.addr(), req).unwrap()
    }
}

#[test]
fn appends_are_read_back_in_order() {
    let session = Session::start(Settings::default());
    for (i, body) in ["a", "b", "c"].into_iter().enumerate() {
        let reply = session.append(body).unwrap();
        assert_eq!(reply.status, 201);
        assert_eq!(reply.json::<Appended>().unwrap().offset, i as u64);
    }
    let page: Records = session.read("from=1&limit=1").json().unwrap();
    assert_eq!((page.earliest, page.next, page.records.len()), (0, 3, 1));
    assert_eq!((page.records[0].offset, page.records[0].body.as_str()), (1, "Yg=="));
    assert_eq!(session.read("from=x").status, 400);
}

#[test]
fn long_poll_returns_on_an_append() {
    let session = Session::start(Settings::default());
    let req = Request::get(&format!("{STREAM}?from=0&wait_ms=30000"));
    let pending = session.client.send(session.log.addr(), req);
    std::thread::sleep(Duration::from_millis(20));
    session.append("late").unwrap();
    let page: Records = pending.wait().unwrap().json().unwrap();
    assert_eq!(page.records.len(), 1);
}

#[test]
fn retention_advances_the_earliest_offset() {
    let settings = Settings { retain_records: Some(2), ..Settings::default() };
    let session = Session::start(settings);
    for body in ["a", "b", "c"] {
        session.append(body).unwrap();
    }
    let gone = session.read("from=0");
    assert_eq!(gone.status, 410);
    assert!(gone.text().contains("\"earliest\":1"), "{}", gone.text());
    assert_eq!(session.log.records("configuration"), [b"b".to_vec(), b"c".to_vec()]);
}

#[test]
fn appends_above_the_limit_are_refused() {
    let settings = Settings { appends_per_second: 1, ..Settings::default() };
    let session = Session::start(settings);
    let statuses: Vec<u16> = (0..3).map(|_| session.append("x").unwrap().status).collect();
    assert_eq!(statuses[0], 201);
    assert!(statuses.contains(&429), "{statuses:?}");
    assert!(session.log.counts()["configuration"].refused_appends > 0);
}

#[test]
fn append_takes_effect_when_its_answer_is_lost() {
    let session = Session::start(Settings::default());
    session.log.lose_append_answers(1);
    let lost = session.append("kept");
    assert!(matches!(lost, Err(CallError::Cut(_))), "{lost:?}");
    assert_eq!(session.log.records("configuration"), [b"kept".to_vec()]);
    assert_eq!(session.append("again").unwrap().status, 201);
}

#[test]
fn outage_appends_nothing() {
    let session = Session::start(Settings::default());
    session.log.set_outage(Outage::Unavailable);
    assert_eq!(session.append("x").unwrap().status, 503);
    session.log.set_outage(Outage::Silent);
    let req = Request::post(STREAM, "y").timeout(Duration::from_millis(50));
    assert_eq!(session.client.call(session.log.addr(), req), Err(CallError::TimedOut));
    assert!(session.log.records("configuration").is_empty());
    session.log.set_outage(Outage::None);
    assert_eq!(session.append("z").unwrap().status, 201);
}

#[test]
fn faults_are_set_over_http() {
    let session = Session::start(Settings::default());
    let put =
        |body: &str| session.client.call(session.log.addr(), Request::put("/v1/faults", body));
    assert_eq!(put(r#"{"outage":"unavailable"}"#).unwrap().status, 204);
    assert_eq!(session.append("x").unwrap().status, 503);
    let wrong = put(r#"{"outage":"sometimes"}"#).unwrap();
    assert_eq!(wrong.status, 400);
    assert!(wrong.text().starts_with("outage:"), "{}", wrong.text());
}
