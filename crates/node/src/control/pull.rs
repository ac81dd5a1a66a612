//! Fetches newer configurations from other nodes.

use std::{cell::RefCell, rc::Rc, time::Duration};

use ntex::time::sleep;
use savorykeel_policy::{
    config::fold::Position,
    distribution::{
        message::{MessageBody, ReplyBody},
        pull::{Pulls, SLOW_PULL, Source},
        update::HeldState,
    },
    membership::{entry::NodeRecord, rings::Contact},
};
use savorykeel_ports::peer::PeerLinks;
use slog::{debug, info, warn};

use super::{
    context::{ControlContext, ControlMode},
    event::Event,
    exchange::ExchangeError,
    reader::to_millis,
    roles,
};

/// Time for which a version is expected from the own availability zone before it is
/// fetched from another one. It is a few round trips to the log, and a small part of
/// the seconds within which a version has to be in force.
const OWN_ZONE_HEAD_START: Duration = Duration::from_millis(100);

/// Time within which a node has to send its configuration.
const PULL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Fetches that run or wait.
#[derive(Default)]
pub(super) struct PendingPulls {
    running: RefCell<Pulls>,
    /// Newest position for which the own availability zone has a head start.
    awaited_position: RefCell<Option<Position>>,
}

/// Fetches a configuration from another availability zone if it hasn't arrived in
/// the own one within [`OWN_ZONE_HEAD_START`].
///
/// Two nodes of each zone read the log, so a version is sent between zones only if
/// both of them lag or the zone has no other node.
pub(super) fn pull_after_head_start<L: 'static, P: PeerLinks + 'static>(
    cx: &Rc<ControlContext<L, P>>,
    pending: &Rc<PendingPulls>,
    source: Source,
) {
    let position = source.position;
    let mut awaited_position = pending.awaited_position.borrow_mut();
    if position <= cx.state.held_position()
        || awaited_position.is_some_and(|current| position <= current)
    {
        return;
    }
    *awaited_position = Some(position);
    let (cx, pending) = (cx.clone(), pending.clone());
    ntex::rt::spawn(async move {
        sleep(to_millis(OWN_ZONE_HEAD_START)).await;
        *pending.awaited_position.borrow_mut() = None;
        if let Some(holder) = cx.own_zone_reader() {
            pull_from(&cx, &pending, Source { holder, position });
        }
        pull_from(&cx, &pending, source);
    })
    .detach();
}

/// Fetches a newer configuration, or remembers the source while other fetches run.
pub(super) fn pull_from<L: 'static, P: PeerLinks + 'static>(
    cx: &Rc<ControlContext<L, P>>,
    pending: &Rc<PendingPulls>,
    source: Source,
) {
    if cx.mode == ControlMode::Poll || source.position <= cx.state.held_position() {
        return;
    }
    if !pending.running.borrow_mut().start(&source, cx.state.now()) {
        return;
    }
    start_next_when_slow(cx.clone(), pending.clone());
    let (cx, pending) = (cx.clone(), pending.clone());
    ntex::rt::spawn(async move {
        pull(&cx, &source.holder, source.position).await;
        pending.running.borrow_mut().finish(&source.holder);
        start_next(&cx, &pending);
    })
    .detach();
}

/// Starts a fetch from the source that waits once those that run are slow.
fn start_next_when_slow<L: 'static, P: PeerLinks + 'static>(
    cx: Rc<ControlContext<L, P>>,
    pending: Rc<PendingPulls>,
) {
    ntex::rt::spawn(async move {
        sleep(to_millis(SLOW_PULL)).await;
        start_next(&cx, &pending);
    })
    .detach();
}

fn start_next<L: 'static, P: PeerLinks + 'static>(
    cx: &Rc<ControlContext<L, P>>,
    pending: &Rc<PendingPulls>,
) {
    let next = pending.running.borrow_mut().take_next();
    if let Some(source) = next {
        pull_from(cx, pending, source);
    }
}

/// Requests a delta and, if it doesn't apply, the whole state.
///
/// The held state is read again before each request, because the same records may
/// have arrived from the log or another node in the meantime.
async fn pull<L, P: PeerLinks>(cx: &ControlContext<L, P>, holder: &Contact, position: Position) {
    for wants_whole in [false, true] {
        let held = cx.state.with_fold(|fold| HeldState { wants_whole, ..HeldState::of(fold) });
        if held.position >= position {
            return;
        }
        match pull_once(cx, holder, held).await {
            Ok(true) => {
                info!(cx.state.logger, "configuration fetched"; "from" => holder.instance.as_str(),
                    "held" => cx.state.held_position().0, "announced" => position.0);
                cx.state.emit(Event::FoldAdvanced);
                return;
            }
            Ok(false) => {}
            Err(e) => {
                debug!(cx.state.logger, "failed to fetch the configuration"; "instance" => holder.instance.as_str(), "problem" => %e);
                return;
            }
        }
    }
}

/// Returns whether the state advanced; it doesn't if a delta doesn't apply.
async fn pull_once<L, P: PeerLinks>(
    cx: &ControlContext<L, P>,
    holder: &Contact,
    held: HeldState,
) -> Result<bool, ExchangeError> {
    let reply = cx.exchange(holder.addr, MessageBody::Pull { held }, PULL_TIMEOUT).await?;
    let ReplyBody::Update(update) = reply else { return Ok(false) };
    let result = cx.state.with_fold(|fold| update.apply_to(fold));
    Ok(result.unwrap_or_else(|e| {
        warn!(cx.state.logger, "received update doesn't apply"; "instance" => holder.instance.as_str(), "problem" => %e);
        false
    }))
}

impl<L, P: PeerLinks> ControlContext<L, P> {
    /// Returns another node that reads the log for this availability zone.
    fn own_zone_reader(&self) -> Option<Contact> {
        let own = &self.state.identity;
        self.state.with_members(|members| {
            let mut others = members.alive_in(&own.zone).filter(|r| r.instance != own.instance);
            let is_reader = |record: &&NodeRecord| roles::is_log_reader(members, &own.zone, record);
            let record = others.find(is_reader)?;
            Some(Contact::of(record))
        })
    }
}
