//! One HTTP/1 connection of a caller.
//!
//! The HTTP library's own dispatcher runs one request of a connection at a time and
//! closes an idle connection only by a timer. A caller may send further requests
//! before the first is answered, and a node that leaves has to close idle
//! connections before it ends. So the library's codec is driven here: requests run
//! side by side, answers go out in the order of the requests, and all of them are
//! cancelled when the caller goes. See `docs/design/0012-graceful-shutdown.md`.

use std::{future::poll_fn, pin::Pin, rc::Rc, time::Duration};

use futures_util::{StreamExt, future::LocalBoxFuture, stream::FuturesOrdered};
use ntex::{
    channel::bstream,
    http::{
        ConnectionType, HttpServiceConfig, Method, Payload, Request, Response,
        body::{Body, MessageBody, ResponseBody},
        error::PayloadError,
        h1::{Codec, Message, PayloadDecoder, PayloadItem, PayloadType, ProtocolError},
    },
    io::Io,
    util::Either,
};
use savorykeel_policy::code::Code;
use tokio_util::sync::CancellationToken;

use crate::http::code_response;

use super::protocol::protocol_response;

/// Requests of one connection that run side by side; further ones stay unread.
const MAX_SIDE_BY_SIDE: usize = 32;

/// Time without further bytes after which a connection that broke the protocol is
/// closed.
const LAST_BYTES: Duration = Duration::from_millis(100);

/// What a connection needs to know about the node.
pub(super) struct Rules {
    /// Time for which the connection may stay idle.
    pub(super) idle: Duration,
    /// Cancelled when idle connections are to be closed, because the node leaves.
    pub(super) closing: CancellationToken,
    /// Tells whether each answer asks the caller to close the connection.
    pub(super) is_leaving: Rc<dyn Fn() -> bool>,
}

/// An answer that waits for its turn, with the codec as the request left it.
struct Answer {
    response: Response,
    codec: Codec,
}

/// The rest of a request's body on its way to the handler.
struct Feed {
    decoder: PayloadDecoder,
    tx: bstream::Sender<PayloadError>,
}

/// What happens next on a connection.
enum Event {
    Request(Box<Request>, PayloadType),
    Body(PayloadItem),
    Answer(Box<Answer>),
    /// The caller broke the protocol; it is told and the connection ends.
    Broken(Response),
    /// The caller is gone, or has been idle for too long.
    Gone,
}

/// Serves a connection until the caller closes it or has to.
pub(super) async fn serve<H, R>(io: Io, rules: Rules, handle: H)
where
    H: Fn(Request) -> R,
    R: Future<Output = Response> + 'static,
{
    let codec = Codec::new(0, io.shared().get::<HttpServiceConfig>());
    let fresh = codec.clone();
    let mut connection =
        Connection { io, rules, codec, fresh, waiting: FuturesOrdered::new(), feed: None };
    loop {
        match connection.next().await {
            Event::Request(req, payload) => connection.begin(*req, payload, &handle).await,
            Event::Body(item) => connection.feed_body(item),
            Event::Answer(answer) => {
                if !connection.send(*answer).await {
                    break;
                }
            }
            Event::Broken(response) => {
                connection.end_with(response).await;
                break;
            }
            Event::Gone => break,
        }
    }
    // Dropping what still runs cancels it: nobody waits for it any more.
    drop(connection.waiting);
    // The caller may be gone already.
    let _ = connection.io.shutdown().await;
}

struct Connection {
    io: Io,
    rules: Rules,
    codec: Codec,
    /// A codec that read nothing; one that met an error can't be used any more.
    fresh: Codec,
    waiting: FuturesOrdered<LocalBoxFuture<'static, Answer>>,
    feed: Option<Feed>,
}

impl Connection {
    async fn next(&mut self) -> Event {
        let is_idle = self.waiting.is_empty() && self.feed.is_none();
        let is_full = self.waiting.len() >= MAX_SIDE_BY_SIDE;
        let (io, codec, feed) = (&self.io, &self.codec, &self.feed);
        let gone = io.on_disconnect();
        let read = async {
            match feed {
                _ if is_full => std::future::pending().await,
                Some(feed) => received(io.recv(&feed.decoder).await).map(Event::Body),
                None => received(io.recv(codec).await)
                    .map(|(req, pl)| Event::Request(Box::new(req), pl)),
            }
            .unwrap_or_else(|event| event)
        };
        tokio::select! {
            biased;
            Some(answer) = self.waiting.next() => Event::Answer(Box::new(answer)),
            event = read => event,
            () = gone => Event::Gone,
            () = self.rules.closing.cancelled(), if is_idle => Event::Gone,
            () = tokio::time::sleep(self.rules.idle), if is_idle => Event::Gone,
        }
    }

    async fn begin<H, R>(&mut self, mut req: Request, payload: PayloadType, handle: &H)
    where
        H: Fn(Request) -> R,
        R: Future<Output = Response> + 'static,
    {
        let codec = self.codec.clone();
        if codec.upgrade() || req.method() == Method::CONNECT {
            // It would wait for ever, because the node switches to no other protocol.
            let response = code_response(Code::BadRequest, "no other protocol is served");
            return self.wait_for(codec, async { closing(response) });
        }
        if let PayloadType::Payload(decoder) | PayloadType::Stream(decoder) = payload {
            let (tx, rx) = bstream::channel();
            req.replace_payload(Payload::H1(rx));
            self.feed = Some(Feed { decoder, tx });
            if expects_continue(&req) && self.waiting.is_empty() {
                // A caller that is gone shows at the next read.
                let _ = self.io.encode_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
            }
        }
        self.wait_for(codec, handle(req));
    }

    fn wait_for(&mut self, codec: Codec, response: impl Future<Output = Response> + 'static) {
        let answer = async { Answer { response: response.await, codec } };
        self.waiting.push_back(Box::pin(answer));
    }

    fn feed_body(&mut self, item: PayloadItem) {
        match (item, &self.feed) {
            (PayloadItem::Chunk(chunk), Some(feed)) => feed.tx.feed_data(chunk),
            (PayloadItem::Eof, Some(feed)) => {
                feed.tx.feed_eof();
                self.feed = None;
            }
            (_, None) => {}
        }
    }

    /// Sends an answer; returns whether the connection goes on.
    async fn send(&mut self, answer: Answer) -> bool {
        let Answer { mut response, codec } = answer;
        // Requests that run behind this one are answered first.
        if (self.rules.is_leaving)() && self.waiting.is_empty() {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        let (head, body) = response.into_parts();
        let size = body.size();
        if self.io.encode(Message::Item((head, size)), &codec).is_err() {
            return false;
        }
        send_body(&self.io, &codec, body).await && codec.keepalive()
    }

    /// Answers what is still due, then says what was wrong, and closes.
    ///
    /// A request whose body broke the protocol has a handler that says so itself.
    async fn end_with(&mut self, response: Response) {
        let broken = self.feed.take();
        if let Some(feed) = &broken {
            feed.tx.set_error(PayloadError::Incomplete(None));
        }
        while let Some(mut answer) = self.waiting.next().await {
            if broken.is_some() && self.waiting.is_empty() {
                answer.response = closing(answer.response);
            }
            if !self.send(answer).await {
                return self.discard_input().await;
            }
        }
        let answer = Answer { response: closing(response), codec: self.fresh.clone() };
        self.send(answer).await;
        self.discard_input().await;
    }

    /// Reads and drops what the caller still sends, bounded in time.
    ///
    /// A connection that closes with unread bytes is reset, and a reset may destroy
    /// the answer before the caller has read it.
    async fn discard_input(&self) {
        if self.io.flush(true).await.is_err() {
            return;
        }
        loop {
            self.io.with_read_buf(|buf| buf.clear());
            let more = tokio::time::timeout(LAST_BYTES, self.io.read_notify()).await;
            if !matches!(more, Ok(Ok(Some(())))) {
                return;
            }
        }
    }
}

async fn send_body(io: &Io, codec: &Codec, mut body: ResponseBody<Body>) -> bool {
    if !matches!(body.size(), ntex::http::body::BodySize::None | ntex::http::body::BodySize::Empty)
    {
        while let Some(chunk) = poll_fn(|cx| Pin::new(&mut body).poll_next_chunk(cx)).await {
            let Ok(chunk) = chunk else { return false };
            if io.encode(Message::Chunk(Some(chunk)), codec).is_err() {
                return false;
            }
        }
        if io.encode(Message::Chunk(None), codec).is_err() {
            return false;
        }
    }
    io.flush(false).await.is_ok()
}

fn closing(mut response: Response) -> Response {
    response.head_mut().set_connection_type(ConnectionType::Close);
    response
}

fn expects_continue(req: &Request) -> bool {
    let expect = req.headers().get("expect");
    expect.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}

/// Sorts out what a read gave; the error is the event that it stands for.
fn received<T, E>(result: Result<Option<T>, Either<E, std::io::Error>>) -> Result<T, Event>
where
    ProtocolError: From<E>,
{
    match result {
        Ok(Some(item)) => Ok(item),
        Ok(None) | Err(Either::Right(_)) => Err(Event::Gone),
        Err(Either::Left(e)) => Err(Event::Broken(protocol_response(&ProtocolError::from(e)))),
    }
}
