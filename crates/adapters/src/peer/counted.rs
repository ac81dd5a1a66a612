//! Counts the bytes of a link.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};

use futures_util::{AsyncRead, AsyncWrite};

/// A stream whose bytes, in either direction, are added to a counter.
pub(super) struct Counted<S> {
    inner: S,
    bytes: Arc<AtomicU64>,
    received: Rc<Cell<u64>>,
}

impl<S> Counted<S> {
    /// Adds the bytes in either direction to `bytes`, and those received also to `received`.
    pub(super) fn new(inner: S, bytes: Arc<AtomicU64>, received: Rc<Cell<u64>>) -> Self {
        Self { inner, bytes, received }
    }

    fn add(&self, n: usize) {
        self.bytes.fetch_add(n as u64, Ordering::Relaxed);
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for Counted<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let n = ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        self.add(n);
        self.received.set(self.received.get() + n as u64);
        Poll::Ready(Ok(n))
    }
}

impl<W: AsyncWrite + Unpin> AsyncWrite for Counted<W> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let n = ready!(Pin::new(&mut self.inner).poll_write(cx, buf))?;
        self.add(n);
        Poll::Ready(Ok(n))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
