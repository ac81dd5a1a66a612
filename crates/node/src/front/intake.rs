//! Receives the requests of a caller within bounds on its progress.
//!
//! See `docs/design/0025-callers-outside-limits.md`.

use std::{
    cell::Cell,
    future::poll_fn,
    io,
    pin::pin,
    rc::Rc,
    sync::Arc,
    task::Poll,
    time::{Duration, Instant},
};

use ntex::{
    channel::bstream::{self, Status},
    codec::Decoder,
    http::{
        Request,
        error::{DecodeError, PayloadError},
        h1::{PayloadDecoder, PayloadItem},
    },
    io::Io,
    util::{Bytes, BytesMut, Either},
};
use savorykeel_policy::calls::caller_progress::{BodyProgress, ProgressBounds};

use crate::caller_load::CallerLoad;

/// Bytes of small chunks that are merged before they are passed on: each part costs the reader
/// a wake-up, and a caller may send chunks of one byte.
const MERGED_BYTES: usize = 16 << 10;

/// Longest time between two checks of the progress, in which the pressure may have changed.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Why a caller was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum SlowCause {
    /// Its header section didn't end.
    Header,
    /// Its body made too little progress.
    Body,
    /// It didn't read its answer.
    Reader,
}

/// Bounds on the progress of one caller.
#[derive(Clone)]
pub(super) struct CallerBounds {
    /// Time within which the rest of a header section arrives.
    pub(super) header: Duration,
    /// Bounds on bodies and on readers.
    pub(super) progress: ProgressBounds,
    /// What all callers make the node hold.
    pub(super) load: Arc<CallerLoad>,
    /// Is told when a caller is given up.
    pub(super) on_slow: Rc<dyn Fn(SlowCause)>,
}

impl CallerBounds {
    /// Waits until the caller has taken enough of what is sent; returns whether it did.
    pub(super) async fn flush(&self, io: &Io, all: bool) -> bool {
        let started = Instant::now();
        loop {
            match tokio::time::timeout(CHECK_INTERVAL, io.flush(all)).await {
                Ok(flushed) => return flushed.is_ok(),
                Err(_) => {
                    let longest = self.progress.longest_stall(self.load.is_pressed());
                    if started.elapsed() >= longest {
                        (self.on_slow)(SlowCause::Reader);
                        return false;
                    }
                }
            }
        }
    }
}

/// A header section, or why there is none.
pub(super) enum Head<T, E> {
    /// The result of the codec.
    Read(Result<Option<T>, Either<E, io::Error>>),
    /// The caller didn't send the rest of it in time.
    TooSlow,
}

/// Receives a header section; `begun` is the moment at which its first byte was seen.
pub(super) async fn read_head<U: Decoder>(
    io: &Io,
    codec: &U,
    begun: &Cell<Option<Instant>>,
    limit: Duration,
) -> Head<U::Item, U::Error> {
    let mut read = pin!(io.recv(codec));
    let mut timer = None;
    poll_fn(|cx| {
        if let Poll::Ready(result) = read.as_mut().poll(cx) {
            begun.set(None);
            return Poll::Ready(Head::Read(result));
        }
        if io.with_read_buf(|buf| buf.is_empty()) {
            begun.set(None);
            timer = None;
            return Poll::Pending;
        }
        let began_at = begun.get().unwrap_or_else(Instant::now);
        begun.set(Some(began_at));
        let timer = timer.get_or_insert_with(|| {
            Box::pin(tokio::time::sleep(limit.saturating_sub(began_at.elapsed())))
        });
        timer.as_mut().poll(cx).map(|()| Head::TooSlow)
    })
    .await
}

/// A part of a body that was received.
pub(super) struct BodyPart {
    bytes: Bytes,
    is_last: bool,
}

/// Why no further part of a body was received.
pub(super) enum BodyEnd {
    /// The caller has disconnected.
    Disconnected,
    /// The caller violated the protocol.
    Malformed(DecodeError),
    /// The body made too little progress.
    TooSlow,
}

/// Passes the rest of a request's body to its handler, as fast as the handler takes it.
pub(super) struct BodyFeed {
    decoder: PayloadDecoder,
    tx: bstream::Sender<PayloadError>,
    started_at: Instant,
    received_at: Cell<Instant>,
    received: Cell<u64>,
    is_given_up: Cell<bool>,
}

impl BodyFeed {
    pub(super) fn new(decoder: PayloadDecoder, tx: bstream::Sender<PayloadError>) -> Self {
        let now = Instant::now();
        Self {
            decoder,
            tx,
            started_at: now,
            received_at: Cell::new(now),
            received: Cell::new(0),
            is_given_up: Cell::new(false),
        }
    }

    /// Receives the next part of the body.
    pub(super) async fn receive(
        &self,
        io: &Io,
        bounds: &CallerBounds,
    ) -> Result<BodyPart, BodyEnd> {
        if self.is_given_up.get() {
            return std::future::pending().await;
        }
        loop {
            match tokio::time::timeout(CHECK_INTERVAL, self.next_part(io)).await {
                Ok(part) => return part,
                Err(_) if self.is_too_slow(bounds) => return Err(BodyEnd::TooSlow),
                Err(_) => {}
            }
        }
    }

    fn is_too_slow(&self, bounds: &CallerBounds) -> bool {
        let progress = BodyProgress {
            received: self.received.get(),
            elapsed: self.started_at.elapsed(),
            idle: self.received_at.get().elapsed(),
        };
        bounds.progress.is_too_slow(progress, bounds.load.is_pressed())
    }

    async fn next_part(&self, io: &Io) -> Result<BodyPart, BodyEnd> {
        // A reader that is gone takes everything.
        while matches!(self.tx.ready().await, Status::Eof) {
            std::future::pending::<()>().await;
        }
        let item = io.recv(&self.decoder).await.map_err(|e| match e {
            Either::Left(e) => BodyEnd::Malformed(e),
            Either::Right(_) => BodyEnd::Disconnected,
        })?;
        let part = match item.ok_or(BodyEnd::Disconnected)? {
            PayloadItem::Chunk(first) => self.merge(io, first).map_err(BodyEnd::Malformed)?,
            PayloadItem::Eof => BodyPart { bytes: Bytes::new(), is_last: true },
        };
        self.received_at.set(Instant::now());
        self.received.set(self.received.get() + part.bytes.len() as u64);
        Ok(part)
    }

    /// Appends what has arrived already to a small first chunk.
    fn merge(&self, io: &Io, first: Bytes) -> Result<BodyPart, DecodeError> {
        let mut merged: Option<BytesMut> = None;
        let mut is_last = false;
        while merged.as_ref().map_or(first.len(), BytesMut::len) < MERGED_BYTES {
            match io.decode(&self.decoder)? {
                Some(PayloadItem::Chunk(chunk)) => merged
                    .get_or_insert_with(|| BytesMut::copy_from_slice(&first))
                    .extend_from_slice(&chunk),
                Some(PayloadItem::Eof) => {
                    is_last = true;
                    break;
                }
                None => break,
            }
        }
        let bytes = merged.map_or(first, BytesMut::freeze);
        Ok(BodyPart { bytes, is_last })
    }

    /// Passes a part to the handler; returns whether it was the last one.
    pub(super) fn pass_on(&self, part: BodyPart) -> bool {
        if !part.bytes.is_empty() {
            self.tx.feed_data(part.bytes);
        }
        if part.is_last {
            self.tx.feed_eof();
        }
        part.is_last
    }

    /// Tells the handler that the body will not be complete.
    pub(super) fn interrupt(&self) {
        self.tx.set_error(PayloadError::Incomplete(None));
    }

    /// Tells the handler that the caller is too slow; nothing more is received.
    pub(super) fn give_up(&self) {
        self.is_given_up.set(true);
        self.tx.set_error(PayloadError::Incomplete(Some(io::ErrorKind::TimedOut.into())));
    }
}

/// Returns whether a caller waits for a sign before it sends the body of a request.
pub(super) fn expects_continue(req: &Request) -> bool {
    let expect = req.headers().get("expect");
    expect.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}
