//! A backend server that sends bytes without end, beside requests of other callers at the
//! same node.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
};

use savorykeel_node::settings::RawSettings;
use savorykeel_standins::caller::Request;
use yare::parameterized;

use crate::harness::{
    deployment::{Deployment, ServiceSpec},
    fleet::{Fleet, Options},
    process::peak_memory_kib,
    wait::eventually,
};

/// Memory of the smallest machine of the users' deployments, in KiB.
const MACHINE_KIB: u64 = 160 << 10;

/// Memory for bodies on such a machine, in bytes, as in `deploy/settings.json`.
const BODY_MEMORY_BYTES: usize = 24 << 20;

/// Requests to the faulty backend server at once.
const FAULTY_REQUESTS: usize = 40;

/// Requests of other callers meanwhile.
const OTHER_REQUESTS: usize = 60;

/// Size of the bodies that other callers send, in bytes.
const OTHER_BODY_BYTES: usize = 20_000;

/// Bytes written at a time.
const WRITE_BYTES: usize = 64 << 10;

/// Starts a backend server that answers with `prefix` and then `pattern` until the connection
/// is closed.
fn start_faulty_server(prefix: &'static [u8], pattern: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.unwrap();
            thread::spawn(move || answer_without_end(stream, prefix, pattern));
        }
    });
    addr
}

fn answer_without_end(mut stream: TcpStream, prefix: &[u8], pattern: &[u8]) {
    let mut req = [0; 4096];
    if !matches!(stream.read(&mut req), Ok(1..)) || stream.write_all(prefix).is_err() {
        return;
    }
    let bytes = pattern.repeat(WRITE_BYTES / pattern.len());
    while stream.write_all(&bytes).is_ok() {}
}

/// Announces a backend server of the service `faulty` to a node.
fn announce(fleet: &Fleet, node: SocketAddr, addr: SocketAddr) {
    let body = format!(
        r#"{{"service":"faulty","version":"v1","address":"{addr}","slots":64,"connections":120,"draining":false,"lease_ms":600000}}"#
    );
    let req = Request::put("/savorykeel/v1/announcement", body);
    assert_eq!(fleet.client.call(node, req).unwrap().status, 200);
}

/// Guards against a node that keeps what a faulty backend server sends until its memory ends,
/// and with it the requests of other callers.
#[parameterized(
    status_line = { b"HTTP/1.1 200 ", b"a" },
    header = { b"HTTP/1.1 200 OK\r\nx: ", b"a" },
    headers = { b"HTTP/1.1 200 OK\r\n", b"x: y\r\n" },
    no_http = { b"", b"\0" },
    interim = { b"", b"HTTP/1.1 100 Continue\r\n\r\n" },
    body_until_close = { b"HTTP/1.1 200 OK\r\n\r\n", b"z" },
    body_with_length = { b"HTTP/1.1 200 OK\r\ncontent-length: 16777216\r\n\r\n", b"z" },
    chunk_extension = { b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4;", b"x" },
    chunks = { b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", b"4\r\nabcd\r\n" },
    trailers = { b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", b"x: y\r\n" },
    behind_the_answer = { b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", b"z" },
)]
fn bytes_without_end_harm_no_other_request(prefix: &'static [u8], pattern: &'static [u8]) {
    let services = vec![
        ServiceSpec::new("gate", 2, true),
        ServiceSpec::new("faulty", 1, true),
        ServiceSpec::new("history", 1, false),
    ];
    let deployment = Deployment { zones: 1, services, slots: 20 };
    let adjust_node = Box::new(|settings: &mut RawSettings| {
        settings.limits.body_memory_bytes = BODY_MEMORY_BYTES;
        settings.workers = 1;
    });
    let mut fleet = Fleet::start(&deployment, Options { adjust_node, ..Options::default() });
    fleet.members[2].stop_backend();
    fleet.publish_first(&deployment, "/gate");
    fleet.wait_answered("/gate/change");
    let beside = fleet.members[2].node().ready().clone();
    let addr = start_faulty_server(prefix, pattern);
    announce(&fleet, beside.backend, addr);
    let entries = [beside.callers, fleet.members[3].callers()];
    for entry in entries {
        eventually("the faulty backend server is known", || {
            let reply = fleet.client.call(entry, Request::post("/faulty/change", "u"));
            reply.is_ok_and(|reply| reply.outcome() != Some("not-run"))
        });
    }
    let faulty: Vec<_> = (0..FAULTY_REQUESTS)
        .map(|i| fleet.client.send(entries[i % 2], Request::post("/faulty/change", "u")))
        .collect();
    for i in 0..OTHER_REQUESTS {
        let body = vec![b'u'; OTHER_BODY_BYTES];
        let req = Request::post("/gate/change", body).tag(&format!("other-{i}"));
        let reply = fleet.client.call(entries[i % 2], req).expect("the request is answered");
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    for pending in faulty {
        let reply = pending.wait().expect("the request is answered");
        assert!(reply.outcome() != Some("not-run"), "it may have run: {reply:?}");
    }
    for member in &mut fleet.members {
        assert!(member.node_mut().is_running());
        let peak_kib = peak_memory_kib(member.node().pid());
        assert!(peak_kib < MACHINE_KIB, "{} took {peak_kib} KiB", member.identity.instance);
    }
}
