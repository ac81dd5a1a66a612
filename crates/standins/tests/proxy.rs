//! Tests of the proxy stand-in: forwarding, counts and injected faults.

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

/// Time without an answer after which a connection counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(100);

/// Starts a server that echoes the bytes of each connection until the test
/// process ends, and returns its address.
fn start_echo_server() -> SocketAddr {
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
    proxy::start(Settings::for_target(start_echo_server())).unwrap()
}

fn connect(proxy: &proxy::Handle) -> TcpStream {
    TcpStream::connect(proxy.addr()).unwrap()
}

/// Sends 4 bytes and returns whether they are echoed within `wait`.
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

fn echoes_within_30_s(stream: &mut TcpStream) -> bool {
    echoes(stream, Duration::from_secs(30)).unwrap()
}

#[test]
fn bytes_are_forwarded_and_counted_in_both_directions() {
    let proxy = start();
    assert!(echoes_within_30_s(&mut connect(&proxy)));
    let counts = proxy.counts();
    assert_eq!((counts.connections, counts.request_bytes, counts.answer_bytes), (1, 4, 4));
}

#[test]
fn silenced_connections_stay_silent_while_new_ones_are_forwarded() {
    let proxy = start();
    let mut established = connect(&proxy);
    assert!(echoes_within_30_s(&mut established));
    proxy.silence_established();
    assert!(!echoes(&mut established, SILENCE_TIMEOUT).unwrap());
    assert!(echoes_within_30_s(&mut connect(&proxy)));
    proxy.clear_faults();
    assert!(!echoes(&mut established, SILENCE_TIMEOUT).unwrap());
}

#[test]
fn cut_closes_connections_and_refuses_new_ones() {
    let proxy = start();
    let mut established = connect(&proxy);
    assert!(echoes_within_30_s(&mut established));
    proxy.cut();
    established.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    assert_eq!(established.read(&mut [0; 1]).unwrap_or(0), 0);
    assert!(echoes(&mut connect(&proxy), Duration::from_secs(30)).is_err());
    proxy.clear_faults();
    assert!(echoes_within_30_s(&mut connect(&proxy)));
}

#[test]
fn dropping_answers_does_not_affect_requests() {
    let proxy = start();
    proxy.set_faults(Faults { drop_answers: true, ..Faults::default() });
    let mut stream = connect(&proxy);
    assert!(!echoes(&mut stream, SILENCE_TIMEOUT).unwrap());
    assert_eq!((proxy.counts().request_bytes, proxy.counts().answer_bytes), (4, 0));
}

#[test]
fn delay_applies_to_connections_from_one_availability_zone() {
    let proxy = start();
    let delay = Faults { request_delay_ms: 60, answer_delay_ms: 60, ..Faults::default() };
    proxy.set_zone_faults(Zone(0), Some(delay));
    let mut stream = connect(&proxy);
    let started = Instant::now();
    assert!(echoes_within_30_s(&mut stream));
    assert!(started.elapsed() >= Duration::from_millis(120));
}

#[test]
fn faults_are_set_over_http() {
    let mut settings = Settings::for_target(start_echo_server());
    settings.control = Some("127.0.0.1:0".parse().unwrap());
    let proxy = proxy::start(settings).unwrap();
    let client = Client::start().unwrap();
    let control = proxy.control_addr().unwrap();
    let mut established = connect(&proxy);
    assert!(echoes_within_30_s(&mut established));
    let req = Request::post("/v1/established", r#"{"action":"silence"}"#);
    assert_eq!(client.call(control, req).unwrap().status, 204);
    assert!(!echoes(&mut established, SILENCE_TIMEOUT).unwrap());
    let req = Request::put("/v1/zones/0/faults", r#"{"refuse":true}"#);
    assert_eq!(client.call(control, req).unwrap().status, 204);
    assert!(echoes(&mut connect(&proxy), Duration::from_secs(30)).is_err());
}
