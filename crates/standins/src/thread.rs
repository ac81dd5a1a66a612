//! A thread with its own runtime, stopped when its owner is dropped.

use std::{future::Future, io, net, thread};

use ntex::rt::{DefaultRuntime, System};
use tokio_util::sync::CancellationToken;

/// The thread of a running stand-in. Dropping it stops the thread and waits
/// until it has ended.
#[derive(Debug)]
pub struct OwnedThread {
    stop: CancellationToken,
    thread: Option<thread::JoinHandle<()>>,
}

impl OwnedThread {
    /// Runs `main` on a new thread until its future completes or the token is
    /// cancelled.
    ///
    /// `main` creates its future on the new thread because futures of this
    /// runtime aren't `Send`.
    pub fn start<M, F>(name: &str, stop: CancellationToken, main: M) -> io::Result<Self>
    where
        M: FnOnce(CancellationToken) -> F + Send + 'static,
        F: Future<Output = ()> + 'static,
    {
        let token = stop.clone();
        let system_name = name.to_owned();
        let body = move || {
            // Pings between the runtime's threads are disabled: a stand-in has only one.
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

    /// Waits until the thread ends, because `main` completed or the token was
    /// cancelled.
    pub fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            // The thread has already printed its panic, if any.
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

/// Binds a non-blocking listener, as an async runtime needs it.
pub fn bind(addr: net::SocketAddr) -> io::Result<net::TcpListener> {
    let listener = net::TcpListener::bind(addr)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
