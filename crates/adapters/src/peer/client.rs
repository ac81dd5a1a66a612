//! Links to other nodes: one connection to each node, opened on first use.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    future::Future,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use capnp::capability::Promise;
use futures_util::{
    FutureExt,
    future::{LocalBoxFuture, Shared},
};
use savorykeel_policy::{
    calls::{
        link_opening::{LinkAction, LinkAttempts},
        settle::NodeStamp,
    },
    code::Code,
    ids::RequestId,
    time::Tick,
};
use savorykeel_ports::{
    clock::Clock,
    peer::{AnswerPart, Attempt, LoadHint, PeerCall, PeerError, PeerLinks, PeerReply, Settlement},
};
use tokio_util::sync::CancellationToken;

use super::{
    decode::{read_answer_part, read_reply, read_settlement},
    encode::{id_high, id_low, write_call},
    link::Link,
};

/// How links are opened and monitored.
#[derive(Debug, Clone, Copy)]
pub struct LinkSettings {
    /// Local address of the connections.
    pub source: IpAddr,
    /// Maximum time to open a connection.
    pub connect_timeout: Duration,
    /// Time between two heartbeats.
    pub heartbeat_interval: Duration,
    /// Time after which a connection with an unanswered heartbeat counts as lost.
    pub heartbeat_timeout: Duration,
    /// Time after which another connection is tried beside one with an unanswered heartbeat; none
    /// is if this isn't less than `heartbeat_timeout`.
    pub overdue: Duration,
    /// Time after a failed attempt to open a link for which requests are turned away; zero if
    /// each request waits for an attempt.
    pub unreachable_memory: Duration,
}

/// What happened to a link, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkEvent {
    /// A link was opened after an attempt had failed.
    Regained,
    /// An attempt to open a link failed, and the one before it had not.
    Unreachable,
    /// An open link ended or went silent.
    Lost,
}

/// Is told what happens to links.
pub type LinkObserver = Rc<dyn Fn(SocketAddr, LinkEvent)>;

/// Returns the counter to which the bytes of a new link to a node are added. Nodes open a link
/// for each direction of requests, so a fleet that counts the links it opened counts every byte
/// once.
pub type ByteCounterOf = Rc<dyn Fn(SocketAddr) -> Arc<AtomicU64>>;

/// An attempt to open a link; all requests that wait for it learn its result at once.
type Opening = Shared<LocalBoxFuture<'static, Option<Rc<Link>>>>;

/// The link to one node and the attempts to open it.
struct LinkSlot {
    link: RefCell<Option<Rc<Link>>>,
    attempts: RefCell<LinkAttempts>,
    opening: RefCell<Option<Opening>>,
}

impl LinkSlot {
    fn new(unreachable_memory: Duration) -> Self {
        Self {
            link: RefCell::default(),
            attempts: RefCell::new(LinkAttempts::new(unreachable_memory)),
            opening: RefCell::default(),
        }
    }

    /// Returns the link if it is open.
    fn open_link(&self) -> Option<Rc<Link>> {
        self.link.borrow().clone().filter(|link| !link.closed.is_cancelled())
    }

    /// Returns the open link that has replaced a severed one, if there is one.
    fn take_successor(&self) -> Option<Rc<Link>> {
        let successor = self.link.borrow().as_ref()?.successor.take();
        successor.filter(|link| !link.closed.is_cancelled())
    }
}

/// The links of one worker thread.
#[derive(Clone)]
pub struct RpcLinks {
    settings: LinkSettings,
    byte_counter_of: ByteCounterOf,
    observer: LinkObserver,
    slots: Rc<RefCell<HashMap<SocketAddr, Rc<LinkSlot>>>>,
    cancel: CancellationToken,
}

impl RpcLinks {
    /// Creates an empty set of links; `cancel` closes all of them.
    pub fn new(
        settings: LinkSettings,
        byte_counter_of: ByteCounterOf,
        cancel: CancellationToken,
    ) -> Self {
        let observer: LinkObserver = Rc::new(|_, _| ());
        Self { settings, byte_counter_of, observer, slots: Rc::default(), cancel }
    }

    /// Reports what happens to the links to `observer`.
    #[must_use]
    pub fn with_observer(mut self, observer: LinkObserver) -> Self {
        self.observer = observer;
        self
    }

    /// Closes the links to nodes for which `should_retain` returns false, apart from links that
    /// are being opened.
    pub fn retain(&self, should_retain: impl Fn(&SocketAddr) -> bool) {
        self.slots.borrow_mut().retain(|addr, slot| {
            let is_opening = slot.attempts.borrow().is_in_progress();
            let is_retained = is_opening || should_retain(addr);
            if !is_retained && let Some(link) = slot.open_link() {
                link.closed.cancel();
            }
            is_retained
        });
    }

    /// Returns the link to a node, and opens it if it isn't open.
    ///
    /// The wait is bounded by one attempt, whatever the number of requests that need the link.
    async fn link(&self, addr: SocketAddr) -> Result<Rc<Link>, PeerError> {
        let new_slot = || Rc::new(LinkSlot::new(self.settings.unreachable_memory));
        let slot = self.slots.borrow_mut().entry(addr).or_insert_with(new_slot).clone();
        if let Some(link) = slot.open_link() {
            return Ok(link);
        }
        if let Some(successor) = slot.take_successor() {
            self.report_loss(addr, successor.closed.clone());
            *slot.link.borrow_mut() = Some(successor.clone());
            return Ok(successor);
        }
        let action = slot.attempts.borrow_mut().request(now());
        if matches!(action, LinkAction::Open | LinkAction::RejectAndReopen) {
            self.start_opening(addr, &slot);
        }
        if matches!(action, LinkAction::Reject | LinkAction::RejectAndReopen) {
            return Err(PeerError::NotSent(addr));
        }
        let opening = slot.opening.borrow().clone().ok_or(PeerError::NotSent(addr))?;
        opening.await.ok_or(PeerError::NotSent(addr))
    }

    /// Starts an attempt to open a link, which goes on when no request waits for it any more.
    fn start_opening(&self, addr: SocketAddr, slot: &Rc<LinkSlot>) {
        let (links, attempt_slot) = (self.clone(), slot.clone());
        let attempt = async move { links.open(addr, &attempt_slot).await };
        let opening = attempt.boxed_local().shared();
        *slot.opening.borrow_mut() = Some(opening.clone());
        ntex::rt::spawn(opening.map(drop)).detach();
    }

    async fn open(&self, addr: SocketAddr, slot: &LinkSlot) -> Option<Rc<Link>> {
        let bytes = (self.byte_counter_of)(addr);
        let link = Link::open(addr, self.settings, bytes, &self.cancel).await.ok();
        let had_failed = slot.attempts.borrow().has_failed();
        slot.attempts.borrow_mut().record_end(link.is_some(), now());
        *slot.opening.borrow_mut() = None;
        slot.link.borrow_mut().clone_from(&link);
        match &link {
            Some(link) => {
                self.report_loss(addr, link.closed.clone());
                if had_failed {
                    (self.observer)(addr, LinkEvent::Regained);
                }
            }
            None if !had_failed => (self.observer)(addr, LinkEvent::Unreachable),
            None => {}
        }
        link
    }

    /// Reports the end of a link, unless all links are closed.
    fn report_loss(&self, addr: SocketAddr, closed: CancellationToken) {
        let (observer, cancel) = (self.observer.clone(), self.cancel.clone());
        ntex::rt::spawn(async move {
            closed.cancelled().await;
            if !cancel.is_cancelled() {
                observer(addr, LinkEvent::Lost);
            }
        })
        .detach();
    }
}

fn now() -> Tick {
    (Clock::default().tick)()
}

/// Counts a request as pending on a link until dropped.
struct PendingGuard<'a>(&'a Cell<u32>);

impl<'a> PendingGuard<'a> {
    fn new(pending: &'a Cell<u32>) -> Self {
        pending.set(pending.get() + 1);
        Self(pending)
    }
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Waits for a reply or until the link is closed.
async fn await_reply<T>(
    addr: SocketAddr,
    link: &Link,
    reply: Promise<T, capnp::Error>,
) -> Result<T, PeerError> {
    let _pending = PendingGuard::new(&link.pending);
    let reply: std::pin::Pin<Box<dyn Future<Output = Result<T, capnp::Error>>>> = Box::pin(reply);
    tokio::select! {
        biased;
        result = reply => result.map_err(|e| reply_error(addr, &e)),
        () = link.closed.cancelled() => Err(PeerError::Lost(addr)),
    }
}

fn reply_error(addr: SocketAddr, error: &capnp::Error) -> PeerError {
    match error.kind {
        capnp::ErrorKind::Disconnected => PeerError::Lost(addr),
        _ => malformed(addr, error),
    }
}

fn malformed(addr: SocketAddr, error: &capnp::Error) -> PeerError {
    PeerError::Malformed { addr, problem: error.to_string() }
}

impl PeerLinks for RpcLinks {
    async fn call(
        &self,
        addr: SocketAddr,
        call: &PeerCall,
    ) -> Result<(PeerReply, LoadHint), PeerError> {
        let link = self.link(addr).await?;
        let mut req = link.client.call_request();
        write_call(call, req.get().init_call());
        let response = await_reply(addr, &link, req.send().promise).await?;
        let read = || read_reply(response.get()?.get_reply()?);
        read().map_err(|e| malformed(addr, &e))
    }

    async fn stamp(&self, addr: SocketAddr) -> Result<NodeStamp, PeerError> {
        Ok(self.link(addr).await?.stamp.get())
    }

    async fn settle(&self, addr: SocketAddr, attempt: Attempt) -> Result<Settlement, PeerError> {
        let link = self.link(addr).await?;
        let mut req = link.client.settle_request();
        let mut params = req.get();
        params.set_id_high(id_high(attempt.id));
        params.set_id_low(id_low(attempt.id));
        params.set_aim_life(attempt.stamp.incarnation);
        params.set_aim_tick(attempt.stamp.tick);
        let response = await_reply(addr, &link, req.send().promise).await?;
        let read = || read_settlement(response.get()?.get_settlement()?);
        read().map_err(|e| malformed(addr, &e))
    }

    async fn cancel(&self, addr: SocketAddr, id: RequestId) -> Result<(), PeerError> {
        let link = self.link(addr).await?;
        let mut req = link.client.cancel_request();
        req.get().set_id_high(id_high(id));
        req.get().set_id_low(id_low(id));
        await_reply(addr, &link, req.send().promise).await?;
        Ok(())
    }

    async fn answer_part(
        &self,
        addr: SocketAddr,
        id: RequestId,
        offset: u64,
    ) -> Result<Result<AnswerPart, Code>, PeerError> {
        let link = self.link(addr).await?;
        let mut req = link.client.answer_part_request();
        let mut params = req.get();
        params.set_id_high(id_high(id));
        params.set_id_low(id_low(id));
        params.set_offset(offset);
        let response = await_reply(addr, &link, req.send().promise).await?;
        let read = || read_answer_part(response.get()?.get_part()?);
        read().map_err(|e| malformed(addr, &e))
    }

    async fn control(&self, addr: SocketAddr, body: Vec<u8>) -> Result<Vec<u8>, PeerError> {
        let link = self.link(addr).await?;
        let mut req = link.client.control_request();
        req.get().set_body(&body);
        let response = await_reply(addr, &link, req.send().promise).await?;
        let read = || Ok(response.get()?.get_body()?.to_vec());
        read().map_err(|e| malformed(addr, &e))
    }

    async fn ledger(&self, addr: SocketAddr, body: Vec<u8>) -> Result<Vec<u8>, PeerError> {
        let link = self.link(addr).await?;
        let mut req = link.client.ledger_request();
        req.get().set_body(&body);
        let response = await_reply(addr, &link, req.send().promise).await?;
        let read = || Ok(response.get()?.get_body()?.to_vec());
        read().map_err(|e| malformed(addr, &e))
    }
}
