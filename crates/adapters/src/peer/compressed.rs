//! A compressed byte stream between two nodes.
//!
//! Messages between nodes repeat the same names and shapes, and bytes between
//! availability zones are the dearest thing that nodes spend. What is written up to a
//! flush goes out as frames, each compressed against the beginnings of the frames
//! before it on the same connection, which both ends hold. The stream's state is a few
//! kilobytes, so that a node can hold links to many others. See
//! `docs/design/0011-peer-protocol.md`.
//!
//! A frame is the length of its content and the length of its compressed form, both as
//! 16-bit big-endian numbers, a 32-bit checksum and the compressed form; a second length
//! of zero means that the content itself follows, because compression would have
//! lengthened it. The checksum covers the content and all frames before it: against
//! another history a frame would open to wrong content, which might reach a caller.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use futures_util::{AsyncRead, AsyncWrite};
use lz4_flex::block::{compress_with_dict, decompress_with_dict};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes before the content of a frame.
const HEADER_BYTES: usize = 8;

/// Largest content of a frame: what its length field can say.
const MAX_CONTENT_BYTES: usize = u16::MAX as usize;

/// Bytes of earlier frames that a frame is compressed against: a few messages.
const HISTORY_BYTES: usize = 4_096;

/// Bytes of each frame's beginning that go into the history. Headers and names stand
/// there, before a body that tells nothing about the next one.
const REMEMBERED_BYTES: usize = 1_024;

/// What both ends of a stream hold alike of the frames so far.
#[derive(Default)]
struct History {
    /// Beginnings of the last frames.
    beginnings: Vec<u8>,
    /// Hash of all contents.
    hash: u64,
}

impl History {
    /// Takes in a frame's content and returns its checksum.
    fn remember(&mut self, content: &[u8]) -> u32 {
        self.hash = xxh3_64_with_seed(content, self.hash);
        self.beginnings.extend_from_slice(&content[..content.len().min(REMEMBERED_BYTES)]);
        let surplus = self.beginnings.len().saturating_sub(HISTORY_BYTES);
        self.beginnings.drain(..surplus);
        self.hash as u32
    }
}

/// Compresses what is written to it.
pub struct CompressedWriter<W> {
    inner: W,
    history: History,
    /// Written since the last frame.
    content: Vec<u8>,
    /// Frames on their way, from `sent` on.
    frames: Vec<u8>,
    sent: usize,
}

impl<W> CompressedWriter<W> {
    /// Wraps a stream whose other end reads through a [`CompressedReader`].
    pub fn new(inner: W) -> Self {
        let (content, frames) = (Vec::new(), Vec::new());
        Self { inner, history: History::default(), content, frames, sent: 0 }
    }

    /// Returns the stream; what was not flushed is lost.
    pub fn into_inner(self) -> W {
        self.inner
    }

    /// Makes a frame of what was written since the last one.
    fn seal(&mut self) {
        if self.content.is_empty() {
            return;
        }
        let packed = compress_with_dict(&self.content, &self.history.beginnings);
        let is_shorter = packed.len() < self.content.len();
        // Neither length is more than a frame's largest content.
        let content_len = self.content.len() as u16;
        let packed_len = if is_shorter { packed.len() as u16 } else { 0 };
        self.frames.extend_from_slice(&content_len.to_be_bytes());
        self.frames.extend_from_slice(&packed_len.to_be_bytes());
        let checksum = self.history.remember(&self.content);
        self.frames.extend_from_slice(&checksum.to_be_bytes());
        self.frames.extend_from_slice(if is_shorter { &packed } else { &self.content });
        self.content.clear();
    }
}

impl<W: AsyncWrite + Unpin> CompressedWriter<W> {
    fn poll_send(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.sent < self.frames.len() {
            let rest = &self.frames[self.sent..];
            let n = ready!(Pin::new(&mut self.inner).poll_write(cx, rest))?;
            if n == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.sent += n;
        }
        self.frames.clear();
        self.sent = 0;
        Poll::Ready(Ok(()))
    }
}

impl<W: AsyncWrite + Unpin> AsyncWrite for CompressedWriter<W> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if this.content.len() == MAX_CONTENT_BYTES {
            // A peer that doesn't read holds up the writer.
            ready!(this.poll_send(cx))?;
            this.seal();
        }
        let n = buf.len().min(MAX_CONTENT_BYTES - this.content.len());
        this.content.extend_from_slice(&buf[..n]);
        Poll::Ready(Ok(n))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        this.seal();
        ready!(this.poll_send(cx))?;
        Pin::new(&mut this.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.as_mut().poll_flush(cx))?;
        Pin::new(&mut self.get_mut().inner).poll_close(cx)
    }
}

/// Reads what a [`CompressedWriter`] wrote.
pub struct CompressedReader<R> {
    inner: R,
    history: History,
    /// Read and not yet a whole frame.
    frame: Vec<u8>,
    /// Content of the last frame, read up to `taken`.
    content: Vec<u8>,
    taken: usize,
}

impl<R> CompressedReader<R> {
    /// Wraps a stream whose other end writes through a [`CompressedWriter`].
    pub fn new(inner: R) -> Self {
        let (frame, content) = (Vec::new(), Vec::new());
        Self { inner, history: History::default(), frame, content, taken: 0 }
    }

    /// Returns the number of bytes that the frame still lacks.
    fn lacking(&self) -> usize {
        let Some(header) = self.frame.first_chunk::<HEADER_BYTES>() else {
            return HEADER_BYTES - self.frame.len();
        };
        let Header { content_len, packed_len, .. } = Header::from(*header);
        let body = if packed_len == 0 { content_len } else { packed_len };
        HEADER_BYTES + body - self.frame.len()
    }

    fn open_frame(&mut self) -> io::Result<()> {
        let invalid = |problem: String| io::Error::new(io::ErrorKind::InvalidData, problem);
        let Some((header, body)) = self.frame.split_first_chunk::<HEADER_BYTES>() else {
            return Err(invalid("a frame without a header".into()));
        };
        let Header { content_len, packed_len, checksum } = Header::from(*header);
        let content = match packed_len {
            0 => body.to_vec(),
            _ => decompress_with_dict(body, content_len, &self.history.beginnings)
                .map_err(|e| invalid(e.to_string()))?,
        };
        if content.len() != content_len || self.history.remember(&content) != checksum {
            return Err(invalid("a frame that doesn't follow the last one, or is damaged".into()));
        }
        self.content = content;
        self.frame.clear();
        self.taken = 0;
        Ok(())
    }
}

/// What stands before the compressed form in a frame.
struct Header {
    content_len: usize,
    /// Zero when the content itself follows.
    packed_len: usize,
    checksum: u32,
}

impl From<[u8; HEADER_BYTES]> for Header {
    fn from([a, b, c, d, checksum @ ..]: [u8; HEADER_BYTES]) -> Self {
        Self {
            content_len: u16::from_be_bytes([a, b]).into(),
            packed_len: u16::from_be_bytes([c, d]).into(),
            checksum: u32::from_be_bytes(checksum),
        }
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for CompressedReader<R> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        while this.taken == this.content.len() {
            let lacking = this.lacking();
            let before = this.frame.len();
            this.frame.resize(before + lacking, 0);
            let read = Pin::new(&mut this.inner).poll_read(cx, &mut this.frame[before..]);
            let n = match read {
                Poll::Ready(Ok(n)) => n,
                _ => 0,
            };
            this.frame.truncate(before + n);
            ready!(read)?;
            if n == 0 && before == 0 {
                return Poll::Ready(Ok(0));
            }
            if n == 0 {
                return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
            }
            if this.frame.len() > HEADER_BYTES && this.lacking() == 0 {
                this.open_frame()?;
            }
        }
        let n = buf.len().min(this.content.len() - this.taken);
        buf[..n].copy_from_slice(&this.content[this.taken..this.taken + n]);
        this.taken += n;
        Poll::Ready(Ok(n))
    }
}
