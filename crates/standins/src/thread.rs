//! A thread with its own runtime that ends when its owner is dropped.

use std::{future::Future, io, net, thread};

use ntex::rt::{DefaultRuntime, System};
use tokio_util::sync::CancellationToken;

/// A running stand-in; dropping it stops the thread and waits for it.
#[derive(Debug)]
pub(crate) struct OwnedThread {
    stop: CancellationToken,
    thread: Option<thread::JoinHandle<()>>,
}

impl OwnedThread {
    /// Runs `main` on a new thread until it ends or the token is cancelled.
    ///
    /// `main` builds its future on the new thread, because futures of the
    /// runtime can't move between threads.
    pub(crate) fn start<M, F>(name: &str, stop: CancellationToken, main: M) -> io::Result<Self>
    where
        M: FnOnce(CancellationToken) -> F + Send + 'static,
        F: Future<Output = ()> + 'static,
    {
        let token = stop.clone();
        let system_name = name.to_owned();
        let body = move || {
            // Pings between threads are off: a stand-in is one thread.
            let system = System::build().name(system_name).testing().ping_interval(0);
            system.build(DefaultRuntime).block_on(async move {
                tokio::select! {
                    () = main(token.clone()) => {}
                    () = token.cancelled() => {}
                }
            });
        };
        let thread = thread::Builder::new().name(name.to_owned()).spawn(body)?;
        Ok(Self { stop, thread: Some(thread) })
    }

    /// Waits until the thread ends by itself or by its token.
    pub(crate) fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            // A panic was already printed by the thread itself.
            let _ = thread.join();
        }
    }
}

impl Drop for OwnedThread {
    fn drop(&mut self) {
        self.stop.cancel();
        self.join();
    }
}

/// Binds a listener that a runtime may take over.
pub(crate) fn bind(addr: net::SocketAddr) -> io::Result<net::TcpListener> {
    let listener = net::TcpListener::bind(addr)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
