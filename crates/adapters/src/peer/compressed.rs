//! A compressed byte stream between two nodes.
//!
//! Messages between nodes repeat the same names and structures, and traffic between
//! availability zones is the largest cost of running nodes. A flush sends the bytes written
//! so far as frames. Each frame is compressed with a dictionary that both ends build from the
//! beginnings of the preceding frames on the connection. The state of a stream is a few
//! kilobytes, so that a node can hold links to many others. See
//! `docs/design/0011-peer-protocol.md`.
//!
//! A frame consists of the length of its content and the length of its compressed form, both
//! as 16-bit big-endian numbers, a 32-bit checksum, and the compressed form. A compressed
//! length of zero means that the uncompressed content follows, because compression would not
//! have shortened it. The checksum covers the content and all preceding frames: with a
//! different history, a frame would decompress to wrong content, which could reach a caller.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use futures_util::{AsyncRead, AsyncWrite};
use lz4_flex::block::{compress_with_dict, decompress_with_dict};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Size of a frame header in bytes.
const HEADER_BYTES: usize = 8;

/// Maximum content of a frame in bytes, limited by the 16-bit length field.
const MAX_CONTENT_BYTES: usize = u16::MAX as usize;

/// Maximum size of the dictionary in bytes: a few messages.
const DICTIONARY_BYTES: usize = 4_096;

/// Bytes from the beginning of each frame that go into the dictionary. Headers and names are
/// there, while the body after them rarely resembles the next one.
const DICTIONARY_BYTES_PER_FRAME: usize = 1_024;

/// State derived from the preceding frames; identical at both ends of a stream.
#[derive(Default)]
struct History {
    /// Beginnings of the most recent frames.
    dictionary: Vec<u8>,
    /// Hash of the contents of all frames.
    hash: u64,
}

impl History {
    /// Adds the content of a frame and returns its checksum.
    fn update(&mut self, content: &[u8]) -> u32 {
        self.hash = xxh3_64_with_seed(content, self.hash);
        self.dictionary
            .extend_from_slice(&content[..content.len().min(DICTIONARY_BYTES_PER_FRAME)]);
        let surplus = self.dictionary.len().saturating_sub(DICTIONARY_BYTES);
        self.dictionary.drain(..surplus);
        self.hash as u32
    }
}

/// Writer that compresses a byte stream.
pub struct CompressedWriter<W> {
    inner: W,
    history: History,
    /// Bytes written since the last frame.
    content: Vec<u8>,
    /// Frames being sent; the bytes from `sent` on are unsent.
    frames: Vec<u8>,
    sent: usize,
}

impl<W> CompressedWriter<W> {
    /// Wraps a stream that the other end reads with a [`CompressedReader`].
    pub fn new(inner: W) -> Self {
        let (content, frames) = (Vec::new(), Vec::new());
        Self { inner, history: History::default(), content, frames, sent: 0 }
    }

    /// Returns the inner stream; unflushed bytes are lost.
    pub fn into_inner(self) -> W {
        self.inner
    }

    /// Builds a frame from the bytes written since the last one.
    fn finish_frame(&mut self) {
        if self.content.is_empty() {
            return;
        }
        let compressed = compress_with_dict(&self.content, &self.history.dictionary);
        let is_shorter = compressed.len() < self.content.len();
        // Neither length exceeds MAX_CONTENT_BYTES.
        let content_len = self.content.len() as u16;
        let compressed_len = if is_shorter { compressed.len() as u16 } else { 0 };
        self.frames.extend_from_slice(&content_len.to_be_bytes());
        self.frames.extend_from_slice(&compressed_len.to_be_bytes());
        let checksum = self.history.update(&self.content);
        self.frames.extend_from_slice(&checksum.to_be_bytes());
        self.frames.extend_from_slice(if is_shorter { &compressed } else { &self.content });
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
            // Backpressure: wait until the peer has read the previous frames.
            ready!(this.poll_send(cx))?;
            this.finish_frame();
        }
        let n = buf.len().min(MAX_CONTENT_BYTES - this.content.len());
        this.content.extend_from_slice(&buf[..n]);
        Poll::Ready(Ok(n))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        this.finish_frame();
        ready!(this.poll_send(cx))?;
        Pin::new(&mut this.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.as_mut().poll_flush(cx))?;
        Pin::new(&mut self.get_mut().inner).poll_close(cx)
    }
}

/// Reader that decompresses the output of a [`CompressedWriter`].
pub struct CompressedReader<R> {
    inner: R,
    history: History,
    /// Bytes of the next, incomplete frame.
    frame: Vec<u8>,
    /// Content of the last frame, of which `consumed` bytes have been returned.
    content: Vec<u8>,
    consumed: usize,
}

impl<R> CompressedReader<R> {
    /// Wraps a stream that the other end writes with a [`CompressedWriter`].
    pub fn new(inner: R) -> Self {
        let (frame, content) = (Vec::new(), Vec::new());
        Self { inner, history: History::default(), frame, content, consumed: 0 }
    }

    /// Returns the number of bytes missing from the next frame, or from its header.
    fn missing_bytes(&self) -> usize {
        let Some(header) = self.frame.first_chunk::<HEADER_BYTES>() else {
            return HEADER_BYTES - self.frame.len();
        };
        let Header { content_len, compressed_len, .. } = Header::from(*header);
        let body = if compressed_len == 0 { content_len } else { compressed_len };
        HEADER_BYTES + body - self.frame.len()
    }

    fn decode_frame(&mut self) -> io::Result<()> {
        let invalid = |problem: String| io::Error::new(io::ErrorKind::InvalidData, problem);
        let Some((header, body)) = self.frame.split_first_chunk::<HEADER_BYTES>() else {
            return Err(invalid("incomplete frame header".into()));
        };
        let Header { content_len, compressed_len, checksum } = Header::from(*header);
        let content = match compressed_len {
            0 => body.to_vec(),
            _ => decompress_with_dict(body, content_len, &self.history.dictionary)
                .map_err(|e| invalid(e.to_string()))?,
        };
        if content.len() != content_len || self.history.update(&content) != checksum {
            return Err(invalid(
                "checksum mismatch: frame corrupted or preceding frames missing".into(),
            ));
        }
        self.content = content;
        self.frame.clear();
        self.consumed = 0;
        Ok(())
    }
}

/// Header of a frame.
struct Header {
    content_len: usize,
    /// Zero if the content is not compressed.
    compressed_len: usize,
    checksum: u32,
}

impl From<[u8; HEADER_BYTES]> for Header {
    fn from([a, b, c, d, checksum @ ..]: [u8; HEADER_BYTES]) -> Self {
        Self {
            content_len: u16::from_be_bytes([a, b]).into(),
            compressed_len: u16::from_be_bytes([c, d]).into(),
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
        while this.consumed == this.content.len() {
            let missing_bytes = this.missing_bytes();
            let before = this.frame.len();
            this.frame.resize(before + missing_bytes, 0);
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
            if this.frame.len() > HEADER_BYTES && this.missing_bytes() == 0 {
                this.decode_frame()?;
            }
        }
        let n = buf.len().min(this.content.len() - this.consumed);
        buf[..n].copy_from_slice(&this.content[this.consumed..this.consumed + n]);
        this.consumed += n;
        Poll::Ready(Ok(n))
    }
}
