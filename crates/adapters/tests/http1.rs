//! The connection to a backend server, against servers that misbehave.

use std::{net::SocketAddr, time::Duration};

use savorykeel_adapters::backend::HttpBackend;
use savorykeel_ports::{
    backend::{BackendError, BackendServer},
    edge::{HeaderNames, PRODUCT_HEADERS},
    peer::{Header, HttpAnswer, HttpRequest},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const NAMES: HeaderNames = HeaderNames {
    request_id: "request-id",
    not_run: Some("not-run"),
    expected_server: Some("expected"),
    ..PRODUCT_HEADERS
};

const TIMEOUT: Duration = Duration::from_secs(5);

/// What the server writes for each request on one connection, and how it ends.
#[derive(Clone)]
struct Script {
    answers: Vec<&'static [u8]>,
    /// Whether the connection is reset after the last answer, and not closed in order.
    resets: bool,
}

/// Serves each connection by the next script; the last one is repeated.
async fn serve(scripts: Vec<Script>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut scripts = scripts.into_iter().peekable();
        let mut script = scripts.next().unwrap();
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(play(stream, script.clone()));
            if scripts.peek().is_some() {
                script = scripts.next().unwrap();
            }
        }
    });
    addr
}

async fn play(mut stream: TcpStream, script: Script) {
    for answer in script.answers {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            if stream.read_exact(&mut byte).await.is_err() {
                return;
            }
            head.push(byte[0]);
        }
        stream.write_all(answer).await.unwrap();
    }
    if script.resets {
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    }
}

fn closes(answers: &[&'static [u8]]) -> Script {
    Script { answers: answers.to_vec(), resets: false }
}

async fn ask(backend: &HttpBackend, id: &str) -> Result<HttpAnswer, BackendError> {
    let header = |name: &str, value: &str| Header { name: name.into(), value: value.into() };
    let req = HttpRequest {
        method: "GET".into(),
        target: "/x".into(),
        headers: vec![header("host", "a.example"), header("request-id", id)],
        body: Vec::new(),
    };
    backend.run(&req, TIMEOUT).await
}

async fn ask_once(script: Script) -> Result<HttpAnswer, BackendError> {
    let backend = HttpBackend::new(serve(vec![script]).await, 8, NAMES);
    ask(&backend, "1").await
}

const ONE: &[u8] = b"HTTP/1.1 200 OK\r\nrequest-id: 1\r\nContent-Length: 3\r\n\r\none";
const TWO: &[u8] = b"HTTP/1.1 200 OK\r\nrequest-id: 2\r\nContent-Length: 3\r\n\r\ntwo";
const ONE_AGAIN_THEN_TWO: &[u8] =
    b"HTTP/1.1 200 OK\r\nrequest-id: 1\r\nContent-Length: 3\r\n\r\none\
    HTTP/1.1 200 OK\r\nrequest-id: 2\r\nContent-Length: 3\r\n\r\ntwo";
const ONE_TWICE: &[u8] = b"HTTP/1.1 200 OK\r\nrequest-id: 1\r\nContent-Length: 3\r\n\r\none\
    HTTP/1.1 200 OK\r\nrequest-id: 1\r\nContent-Length: 3\r\n\r\none";

#[tokio::test]
async fn a_response_to_another_request_is_read_past() {
    let backend = HttpBackend::new(serve(vec![closes(&[ONE, ONE_AGAIN_THEN_TWO])]).await, 8, NAMES);
    assert_eq!(ask(&backend, "1").await.unwrap().body, b"one");
    assert_eq!(ask(&backend, "2").await.unwrap().body, b"two");
}

#[tokio::test]
async fn a_connection_with_bytes_of_no_request_is_not_used_again() {
    let backend =
        HttpBackend::new(serve(vec![closes(&[ONE_TWICE]), closes(&[TWO])]).await, 8, NAMES);
    assert_eq!(ask(&backend, "1").await.unwrap().body, b"one");
    assert_eq!(ask(&backend, "2").await.unwrap().body, b"two");
}

#[tokio::test]
async fn a_response_without_a_length_is_whole_only_when_the_connection_ends_in_order() {
    let unframed: &[u8] = b"HTTP/1.1 200 OK\r\nrequest-id: 1\r\n\r\nall of it";
    let whole = ask_once(closes(&[unframed])).await.unwrap();
    assert_eq!(whole.body, b"all of it");
    let reset = ask_once(Script { answers: vec![unframed], resets: true }).await;
    assert!(matches!(reset, Err(BackendError::Lost(_))), "{reset:?}");
}

#[tokio::test]
async fn a_response_that_breaks_off_is_lost() {
    let cut: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nonly this";
    let result = ask_once(closes(&[cut])).await;
    assert!(matches!(result, Err(BackendError::Lost(_))), "{result:?}");
    let chunk: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel";
    let result = ask_once(closes(&[chunk])).await;
    assert!(matches!(result, Err(BackendError::Lost(_))), "{result:?}");
}

#[tokio::test]
async fn chunks_are_joined_and_interim_responses_passed_over() {
    let chunked: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\
        Transfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n6\r\n world\r\n0\r\nX: y\r\n\r\n";
    assert_eq!(ask_once(closes(&[chunked])).await.unwrap().body, b"hello world");
}

#[tokio::test]
async fn bytes_that_are_no_response_are_a_bad_answer() {
    let wrong: [&[u8]; 4] = [
        b"garbage\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ];
    for answer in wrong {
        let result = ask_once(closes(&[answer])).await;
        assert!(matches!(result, Err(BackendError::BadAnswer(_))), "{result:?}");
    }
}

#[tokio::test]
async fn only_a_marked_answer_says_that_the_request_did_not_run() {
    let marked: &[u8] = b"HTTP/1.1 503 -\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(ask_once(closes(&[marked])).await, Err(BackendError::NotRun(503)));
    let misdirected: &[u8] = b"HTTP/1.1 421 -\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(ask_once(closes(&[misdirected])).await, Err(BackendError::NotRun(421)));
    let plain: &[u8] = b"HTTP/1.1 503 -\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(ask_once(closes(&[plain])).await.unwrap().status, 503);
}

#[tokio::test]
async fn a_closed_port_is_known_not_to_have_got_the_request() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let result = ask(&HttpBackend::new(addr, 8, NAMES), "1").await;
    assert!(matches!(result, Err(BackendError::NotSent(_))), "{result:?}");
}
