//! The proxy stand-in injects its faults.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

use savorykeel_standins::{
    caller::{Client, Request},
    proxy::{self, Faults, Settings, Zone},
};

/// Time after which silence counts as silence.
const SILENCE: Duration = Duration::from_millis(100);

/// Listens and echoes on each connection until the test ends.
fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || std::io::copy(&mut stream.try_clone().unwrap(), &mut &stream));
        }
    });
    addr
}

fn start() -> proxy::Handle {
    proxy::start(Settings::to(echo())).unwrap()
}

fn connect(proxy: &proxy::Handle) -> TcpStream {
    TcpStream::connect(proxy.addr()).unwrap()
}

/// Sends a line and tells whether it comes back in time.
fn echoes(stream: &mut TcpStream, wait: Duration) -> std::io::Result<bool> {
    stream.set_read_timeout(Some(wait))?;
    stream.write_all(b"ping")?;
    let mut buf = [0; 4];
    match stream.read_exact(&mut buf) {
        Ok(()) => Ok(&buf == b"ping"),
        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => Ok(false),
        Err(e) => Err(e),
    }
}

fn echoes_eventually(stream: &mut TcpStream) -> bool {
    echoes(stream, Duration::from_secs(30)).unwrap()
}

#[test]
fn forwards_both_ways_and_counts() {
    let proxy = start();
    assert!(echoes_eventually(&mut connect(&proxy)));
    let counts = proxy.counts();
    assert_eq!((counts.connections, counts.request_bytes, counts.answer_bytes), (1, 4, 4));
}

#[test]
fn silenced_connections_stay_silent_while_new_ones_work() {
    let proxy = start();
    let mut old = connect(&proxy);
    assert!(echoes_eventually(&mut old));
    proxy.silence_established();
    assert!(!echoes(&mut old, SILENCE).unwrap());
    assert!(echoes_eventually(&mut connect(&proxy)));
    proxy.heal();
    assert!(!echoes(&mut old, SILENCE).unwrap());
}

#[test]
fn cut_closes_connections_and_refuses_new_ones() {
    let proxy = start();
    let mut old = connect(&proxy);
    assert!(echoes_eventually(&mut old));
    proxy.cut();
    old.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    assert_eq!(old.read(&mut [0; 1]).unwrap_or(0), 0);
    assert!(echoes(&mut connect(&proxy), Duration::from_secs(30)).is_err());
    proxy.heal();
    assert!(echoes_eventually(&mut connect(&proxy)));
}

#[test]
fn dropped_answers_leave_requests_alone() {
    let proxy = start();
    proxy.set_faults(Faults { drop_answers: true, ..Faults::default() });
    let mut stream = connect(&proxy);
    assert!(!echoes(&mut stream, SILENCE).unwrap());
    assert_eq!((proxy.counts().request_bytes, proxy.counts().answer_bytes), (4, 0));
}

#[test]
fn delay_holds_for_one_zone() {
    let proxy = start();
    let delay = Faults { request_delay_ms: 60, answer_delay_ms: 60, ..Faults::default() };
    proxy.set_zone_faults(Zone(0), Some(delay));
    let mut stream = connect(&proxy);
    let begun = Instant::now();
    assert!(echoes_eventually(&mut stream));
    assert!(begun.elapsed() >= Duration::from_millis(120));
}

#[test]
fn switches_work_over_http() {
    let mut settings = Settings::to(echo());
    settings.control = Some("127.0.0.1:0".parse().unwrap());
    let proxy = proxy::start(settings).unwrap();
    let client = Client::start().unwrap();
    let control = proxy.control_addr().unwrap();
    let mut old = connect(&proxy);
    assert!(echoes_eventually(&mut old));
    let req = Request::post("/v1/established", r#"{"action":"silence"}"#);
    assert_eq!(client.call(control, req).unwrap().status, 204);
    assert!(!echoes(&mut old, SILENCE).unwrap());
    let req = Request::put("/v1/zones/0/faults", r#"{"refuse":true}"#);
    assert_eq!(client.call(control, req).unwrap().status, 204);
    assert!(echoes(&mut connect(&proxy), Duration::from_secs(30)).is_err());
}
