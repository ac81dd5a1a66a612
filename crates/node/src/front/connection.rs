//! Serves one HTTP/1 connection of a caller.
//!
//! The HTTP library's own dispatcher runs one request of a connection at a time and
//! closes an idle connection only after a timeout. Callers may pipeline requests, and a
//! leaving node has to close idle connections before it stops. This module therefore
//! drives the library's codec itself: the requests of a connection run concurrently,
//! their answers are sent in the order of the requests, and all of them are cancelled
//! when the caller disconnects. See `docs/design/0012-graceful-shutdown.md`.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::{StreamExt, future::LocalBoxFuture, stream::FuturesOrdered};
use ntex::{
    channel::bstream,
    http::{
        ConnectionType, HttpServiceConfig, Method, Payload, Request, Response,
        body::MessageBody,
        h1::{Codec, Message, PayloadType, ProtocolError},
    },
    io::Io,
    util::Either,
};
use savorykeel_policy::code::Code;
use tokio_util::sync::CancellationToken;

use crate::{caller_load::PipelinedRequest, calls::link::LinkShaper, http::code_response};

use super::{
    intake::{
        BodyEnd, BodyFeed, BodyPart, CallerBounds, Head, SlowCause, expects_continue, read_head,
    },
    pacing::AnswerPacer,
    protocol::protocol_response,
    send::send_body,
};

/// Largest number of requests of one connection that run concurrently; further ones
/// are not read.
const MAX_PIPELINED_REQUESTS: usize = 32;

/// Time without further input after which a connection is closed whose last answer has been
/// sent.
const DISCARD_IDLE_TIMEOUT: Duration = Duration::from_millis(100);

/// Longest time for which input is discarded behind the last answer of a connection.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// The settings and the state of the node that a connection depends on.
pub(super) struct ConnectionSettings {
    /// Time after which an idle connection is closed.
    pub(super) idle_timeout: Duration,
    /// Cancelled when the node leaves and idle connections have to be closed.
    pub(super) closing: CancellationToken,
    /// The link over which answers are sent, if its capacity is stated and they cross it.
    pub(super) link: Option<LinkShaper>,
    /// Returns whether the connection ends with the answers to the requests read so far. Once
    /// true, it stays so.
    pub(super) should_close: Rc<dyn Fn() -> bool>,
    /// Bounds on the caller's progress.
    pub(super) bounds: CallerBounds,
}

/// An answer in the queue, with the state of the codec after its request was decoded.
struct QueuedAnswer {
    response: Response,
    codec: Codec,
    /// Counts the request as pipelined.
    _pipelined: Option<PipelinedRequest>,
}

/// What becomes of a connection after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sent {
    /// It stays open.
    KeptOpen,
    /// The answer was the last one, and the caller was asked to close the connection.
    Last,
    /// The answer couldn't be sent completely.
    Broken,
}

/// Next event on a connection.
enum Event {
    /// The head of a request has been read.
    Request(Box<Request>, PayloadType),
    /// A part of a request's body, or its end, has been read.
    Body(BodyPart),
    /// The body made too little progress.
    SlowBody,
    /// The first answer in the queue is complete.
    Answer(Box<QueuedAnswer>),
    /// The caller violated the protocol; this answer is sent and the connection closed.
    Malformed(Response),
    /// The caller has disconnected, or the connection is idle and has to be closed.
    Closed,
}

/// Serves a connection until the caller closes it, or the node does after an idle time,
/// a protocol error or an answer that ends the connection.
pub(super) async fn serve<H, R>(io: Io, settings: ConnectionSettings, handle: H)
where
    H: Fn(Request) -> R,
    R: Future<Output = Response> + 'static,
{
    let codec = Codec::new(0, io.shared().get::<HttpServiceConfig>());
    let initial_codec = codec.clone();
    let mut connection = Connection {
        io,
        settings,
        codec,
        initial_codec,
        pending: FuturesOrdered::new(),
        body_feed: None,
        head_begun: Cell::new(None),
        has_last_request: false,
    };
    loop {
        match connection.next_event().await {
            Event::Request(req, payload) => connection.start_request(*req, payload, &handle).await,
            Event::Body(part) => connection.feed_body(part),
            Event::SlowBody => connection.give_up_body(),
            Event::Answer(answer) => match connection.send(*answer).await {
                // Without this, a caller that pipelines refused requests keeps the thread.
                Sent::KeptOpen => tokio::task::yield_now().await,
                Sent::Last => {
                    connection.discard_input().await;
                    break;
                }
                Sent::Broken => break,
            },
            Event::Malformed(response) => break connection.close_with_error(response).await,
            Event::Closed => break,
        }
    }
    // Dropping the requests that still run cancels them: no caller waits for them.
    drop(connection.pending);
    // The caller may already have disconnected.
    let _ = connection.io.shutdown().await;
}

struct Connection {
    io: Io,
    settings: ConnectionSettings,
    codec: Codec,
    /// A codec in its initial state, which encodes the answer to a protocol error: a codec
    /// that returned an error can't be used again.
    initial_codec: Codec,
    pending: FuturesOrdered<LocalBoxFuture<'static, QueuedAnswer>>,
    body_feed: Option<BodyFeed>,
    /// Moment at which the first byte of an unfinished header section was seen.
    head_begun: Cell<Option<Instant>>,
    /// Whether the answer to a request in the queue closes the connection, so that no request
    /// behind it is read.
    has_last_request: bool,
}

impl Connection {
    /// Returns whether the answer to the newest request that has been read closes the connection.
    ///
    /// Requests behind it stay unread: the caller sends them again, on another connection. If
    /// they were read on, there would be no last answer as long as the caller pipelines. See
    /// `docs/design/0012-graceful-shutdown.md`.
    fn is_ending(&self) -> bool {
        let is_answering = !self.pending.is_empty();
        self.has_last_request || (is_answering && (self.settings.should_close)())
    }

    /// Waits for the next event.
    ///
    /// Finished answers take precedence over input, and input is not read while the limit of
    /// concurrent requests is reached.
    async fn next_event(&mut self) -> Event {
        let is_idle = self.pending.is_empty() && self.body_feed.is_none();
        let bounds = &self.settings.bounds;
        let is_full = match self.pending.len() {
            0 => false,
            1..MAX_PIPELINED_REQUESTS => !bounds.load.takes_pipelined(),
            _ => true,
        };
        if is_full {
            self.head_begun.set(None); // Its rest can't arrive while the node isn't reading.
        }
        let is_ending = self.is_ending();
        let (io, codec, body_feed) = (&self.io, &self.codec, &self.body_feed);
        let disconnected = io.on_disconnect();
        let read = async {
            match body_feed {
                Some(feed) => feed.receive(io, bounds).await.map(Event::Body).map_err(end_event),
                None if is_ending => Err(discard_until_disconnect(io).await),
                None if is_full => std::future::pending().await,
                None => match read_head(io, codec, &self.head_begun, bounds.header).await {
                    Head::Read(result) => {
                        item_or_event(result).map(|(req, pl)| Event::Request(Box::new(req), pl))
                    }
                    Head::TooSlow => Err(slow_head(bounds)),
                },
            }
            .unwrap_or_else(|event| event)
        };
        tokio::select! {
            biased;
            Some(answer) = self.pending.next() => Event::Answer(Box::new(answer)),
            event = read => event,
            () = disconnected => Event::Closed,
            () = self.settings.closing.cancelled(), if is_idle => Event::Closed,
            () = tokio::time::sleep(self.settings.idle_timeout), if is_idle => Event::Closed,
        }
    }

    async fn start_request<H, R>(&mut self, mut req: Request, payload: PayloadType, handle: &H)
    where
        H: Fn(Request) -> R,
        R: Future<Output = Response> + 'static,
    {
        let codec = self.codec.clone();
        self.has_last_request = !codec.keepalive();
        if codec.upgrade() || req.method() == Method::CONNECT {
            // The node supports neither upgrades nor tunnels, so the request would never
            // complete.
            self.has_last_request = true;
            let response = code_response(Code::BadRequest, "no other protocol is served");
            return self.queue_answer(codec, async { with_connection_close(response) });
        }
        if let PayloadType::Payload(decoder) | PayloadType::Stream(decoder) = payload {
            let (tx, rx) = bstream::channel();
            req.replace_payload(Payload::H1(rx));
            self.body_feed = Some(BodyFeed::new(decoder, tx));
            if expects_continue(&req) && self.pending.is_empty() {
                // If the caller has disconnected, the next read reports it.
                let _ = self.io.encode_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
            }
        }
        self.queue_answer(codec, handle(req));
    }

    fn queue_answer(&mut self, codec: Codec, response: impl Future<Output = Response> + 'static) {
        let load = &self.settings.bounds.load;
        let pipelined = (!self.pending.is_empty()).then(|| load.begin_pipelined());
        let answer =
            async { QueuedAnswer { response: response.await, codec, _pipelined: pipelined } };
        self.pending.push_back(Box::pin(answer));
    }

    fn feed_body(&mut self, part: BodyPart) {
        if self.body_feed.as_ref().is_some_and(|feed| feed.pass_on(part)) {
            self.body_feed = None;
        }
    }

    /// The handler answers that the caller is too slow, and the answer closes the connection.
    fn give_up_body(&self) {
        (self.settings.bounds.on_slow)(SlowCause::Body);
        if let Some(body_feed) = &self.body_feed {
            body_feed.give_up();
        }
    }

    /// Sends an answer.
    async fn send(&mut self, answer: QueuedAnswer) -> Sent {
        let QueuedAnswer { mut response, codec, _pipelined } = answer;
        // Requests behind the last one aren't read, so it is known which answer that is.
        // An answer that comes before the end of its request's body is one too.
        let is_early = self.body_feed.is_some();
        // Under pressure, a caller that pipelines has to come again with the rest.
        let has_unread = || !self.io.with_read_buf(|buf| buf.is_empty());
        let is_cut = !is_early && self.settings.bounds.load.is_pressed() && has_unread();
        let is_last =
            self.pending.is_empty() && (is_early || is_cut || (self.settings.should_close)());
        if is_last {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        let (head, body) = response.into_parts();
        let size = body.size();
        let pacer = AnswerPacer::new(self.settings.link.as_ref(), &head, size);
        if self.io.encode(Message::Item((head, size)), &codec).is_err() {
            return Sent::Broken;
        }
        match send_body(&self.io, &codec, body, pacer, &self.settings.bounds).await {
            true if codec.keepalive() => Sent::KeptOpen,
            true => Sent::Last,
            false => Sent::Broken,
        }
    }

    /// Sends the answers that are still queued, then the error, and discards further
    /// input.
    ///
    /// If the error is in the body of a request, the handler of that request answers
    /// with the error itself.
    async fn close_with_error(&mut self, response: Response) {
        let interrupted = self.body_feed.take();
        if let Some(body_feed) = &interrupted {
            body_feed.interrupt();
        }
        while let Some(mut answer) = self.pending.next().await {
            if interrupted.is_some() && self.pending.is_empty() {
                answer.response = with_connection_close(answer.response);
            }
            match self.send(answer).await {
                Sent::KeptOpen => {}
                Sent::Last => return self.discard_input().await,
                Sent::Broken => return,
            }
        }
        let answer = QueuedAnswer {
            response: with_connection_close(response),
            codec: self.initial_codec.clone(),
            _pipelined: None,
        };
        self.send(answer).await;
        self.discard_input().await;
    }

    /// Reads and discards input behind the last answer until the caller closes the connection,
    /// sends nothing for [`DISCARD_IDLE_TIMEOUT`], or [`DISCARD_TIMEOUT`] has passed.
    ///
    /// Closing a connection with unread input resets it, and a reset may discard the
    /// answer before the caller has read it.
    async fn discard_input(&self) {
        if !self.settings.bounds.flush(&self.io, true).await {
            return;
        }
        let discard = async {
            loop {
                self.io.with_read_buf(|buf| buf.clear());
                let read = tokio::time::timeout(DISCARD_IDLE_TIMEOUT, self.io.read_notify()).await;
                if !matches!(read, Ok(Ok(Some(())))) {
                    return;
                }
            }
        };
        // A caller that goes on sending may lose answers that it hasn't read by then.
        let _ = tokio::time::timeout(DISCARD_TIMEOUT, discard).await;
    }
}

/// Reads and discards input until the caller disconnects.
async fn discard_until_disconnect(io: &Io) -> Event {
    loop {
        io.with_read_buf(|buf| buf.clear());
        if !matches!(io.read_notify().await, Ok(Some(()))) {
            return Event::Closed;
        }
    }
}

fn with_connection_close(mut response: Response) -> Response {
    response.head_mut().set_connection_type(ConnectionType::Close);
    response
}

fn slow_head(bounds: &CallerBounds) -> Event {
    (bounds.on_slow)(SlowCause::Header);
    Event::Malformed(code_response(Code::TooSlowCaller, "the headers came too slowly"))
}

/// Returns the event for the end of a body that isn't complete.
fn end_event(end: BodyEnd) -> Event {
    match end {
        BodyEnd::Disconnected => Event::Closed,
        BodyEnd::Malformed(e) => Event::Malformed(protocol_response(&ProtocolError::from(e))),
        BodyEnd::TooSlow => Event::SlowBody,
    }
}

/// Returns the item that was read, or the event for the end of the input or an error.
fn item_or_event<T, E>(result: Result<Option<T>, Either<E, std::io::Error>>) -> Result<T, Event>
where
    ProtocolError: From<E>,
{
    match result {
        Ok(Some(item)) => Ok(item),
        Ok(None) | Err(Either::Right(_)) => Err(Event::Closed),
        Err(Either::Left(e)) => Err(Event::Malformed(protocol_response(&ProtocolError::from(e)))),
    }
}
