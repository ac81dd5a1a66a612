//! A backend server that answers with statuses that HTTP doesn't define or that are no final
//! ones, seen by callers of another node.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use savorykeel_policy::code::Code;
use savorykeel_standins::caller::{Reply, Request};
use yare::parameterized;

use crate::harness::{
    deployment::{Deployment, ServiceSpec},
    fleet::{Fleet, Options},
    wait::{eventually, eventually_some},
};

/// A backend server that answers each request with the same status line.
struct OddServer {
    addr: SocketAddr,
    requests: Arc<AtomicUsize>,
}

impl OddServer {
    fn start(status: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let requests = Arc::new(AtomicUsize::new(0));
        let counter = requests.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (stream, counter) = (stream.unwrap(), counter.clone());
                thread::spawn(move || answer_each(stream, status, &counter));
            }
        });
        Self { addr, requests }
    }

    fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

fn answer_each(mut stream: TcpStream, status: &str, counter: &AtomicUsize) {
    let mut req = [0; 4096];
    while matches!(stream.read(&mut req), Ok(1..)) {
        counter.fetch_add(1, Ordering::SeqCst);
        let answer = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends requests until one has reached the odd server, and returns the reply to it and the
/// number of requests with which the odd server was reached for it.
fn reply_by_way_of(server: &OddServer, send: impl Fn() -> Reply) -> (Reply, usize) {
    eventually_some("a request reaches the odd server", || {
        let before = server.requests();
        let reply = send();
        let reached = server.requests() - before;
        (reached > 0).then_some((reply, reached))
    })
}

/// Guards against statuses such as 600 and 999 that reach callers, and against a second run of
/// a request that isn't idempotent.
#[parameterized(
    zero = { "000 -" },
    below_all_classes = { "042 -" },
    interim = { "100 Continue" },
    switching_protocols = { "101 Switching Protocols" },
    above_all_classes = { "600 -" },
    letters = { "abc -" },
)]
fn an_odd_status_does_not_reach_callers(status: &'static str) {
    let services = vec![ServiceSpec::new("gate", 1, false), ServiceSpec::new("odd", 2, true)];
    let deployment = Deployment { zones: 1, services, slots: 20 };
    let mut fleet = Fleet::start(&deployment, Options::default());
    fleet.publish_first(&deployment, "/odd");
    // An idempotent request can go elsewhere only if its entry node knows the other server.
    eventually("the other backend server is reached", || {
        let before = fleet.members[2].runs().len();
        fleet.call_route(0, "/odd").is_some() && fleet.members[2].runs().len() > before
    });
    fleet.members[1].stop_backend();
    let server = OddServer::start(status);
    let body = format!(
        r#"{{"service":"odd","version":"v1","address":"{}","slots":64,"connections":120,"draining":false,"lease_ms":600000}}"#,
        server.addr
    );
    let announcement = Request::put("/savorykeel/v1/announcement", body);
    let beside = fleet.members[1].node().ready().backend;
    assert_eq!(fleet.client.call(beside, announcement).unwrap().status, 200);
    let entry = fleet.members[0].callers();
    let call = |req| fleet.client.call(entry, req).expect("the request is answered");

    let (reply, reached) = reply_by_way_of(&server, || call(Request::post("/odd/change", "u")));
    assert_eq!(reply.code(), Some(Code::BadBackendAnswer.number()), "{reply:?}");
    assert_eq!(reply.outcome(), Some("unknown"), "{reply:?}");
    assert_eq!(reply.status, 502);
    assert_eq!(reached, 1, "it was sent once");

    let (reply, _) = reply_by_way_of(&server, || call(Request::get("/odd")));
    assert_eq!(reply.status, 200, "an idempotent request is sent elsewhere: {reply:?}");
}
