//! Probes the successors of this node on the rings to detect failures.

use std::{cell::RefCell, rc::Rc, time::Duration};

use futures_util::future::join_all;
use ntex::time::sleep;
use savorykeel_policy::{
    distribution::message::{MessageBody, ReplyBody},
    ids::InstanceName,
    membership::{
        entry::Liveness,
        failure::{
            PROBE_PERIOD, PROBE_TIMEOUT, ProbeVerdict, Silence, SuspicionBackoff, evaluate_probe,
        },
        merge::Entry,
        rings::{Contact, Neighbours},
    },
    time::Tick,
};
use savorykeel_ports::peer::PeerLinks;
use slog::info;

use super::{context::ControlContext, event::Event, reader::to_millis};

/// Time within which another watcher has to report its last contact.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time since the first probe above which this process is taken to have been
/// paused, so that the missing answer is no evidence against the probed node.
const PROBE_STALL: Duration = Duration::from_millis(3 * PROBE_TIMEOUT.as_millis() as u64);

/// Probes each watched node once per [`PROBE_PERIOD`].
pub(super) async fn probe_watched<L: 'static, P: PeerLinks + 'static>(
    cx: Rc<ControlContext<L, P>>,
) {
    let backoff = Rc::new(RefCell::new(SuspicionBackoff::default()));
    loop {
        let watched = cx.neighbours().watched;
        let pause = PROBE_PERIOD / watched.len().max(1) as u32;
        if watched.is_empty() {
            sleep(to_millis(pause)).await;
        }
        for contact in watched {
            let (cx, backoff) = (cx.clone(), backoff.clone());
            ntex::rt::spawn(async move { probe(&cx, &contact, &backoff).await }).detach();
            sleep(to_millis(pause)).await;
        }
    }
}

async fn probe<L, P: PeerLinks>(
    cx: &ControlContext<L, P>,
    contact: &Contact,
    backoff: &RefCell<SuspicionBackoff>,
) {
    let sent_at = cx.state.now();
    if cx.probe_once(contact).await {
        cx.unanswered.borrow_mut().record_answer(&contact.instance);
        return;
    }
    // The silence of a node that leaves says nothing about the others.
    if !cx.is_leaving(contact) {
        cx.unanswered.borrow_mut().record_silence(&contact.instance, sent_at);
    }
    if cx.probe_once(contact).await {
        cx.unanswered.borrow_mut().record_answer(&contact.instance);
        return;
    }
    if cx.state.now().since(sent_at) > PROBE_STALL {
        return;
    }
    let reports = request_reports(cx, contact).await;
    let now = cx.state.now();
    let is_suspect = evaluate_probe(sent_at, now, reports) == ProbeVerdict::Suspect;
    if is_suspect && backoff.borrow_mut().admit(&contact.instance, now) {
        mark_suspect(cx, &contact.instance, now);
    }
}

/// Requests the time of the last contact with a node from its other watchers.
async fn request_reports<L, P: PeerLinks>(
    cx: &ControlContext<L, P>,
    contact: &Contact,
) -> Vec<Option<Duration>> {
    let own = &cx.state.identity.instance;
    let watchers =
        cx.state.with_members(|members| Neighbours::of(&contact.instance, members)).watchers;
    let others = watchers.iter().filter(|watcher| watcher.instance != *own);
    join_all(others.map(|watcher| request_report(cx, watcher, &contact.instance))).await
}

async fn request_report<L, P: PeerLinks>(
    cx: &ControlContext<L, P>,
    watcher: &Contact,
    instance: &InstanceName,
) -> Option<Duration> {
    let body = MessageBody::LastContact { instance: instance.clone() };
    match cx.exchange(watcher.addr, body, REPORT_TIMEOUT).await {
        Ok(ReplyBody::LastContactAgo(ago)) => ago,
        _ => None,
    }
}

fn mark_suspect<L, P>(cx: &ControlContext<L, P>, instance: &InstanceName, now: Tick) {
    let is_new = cx.state.with_members(|members| members.degrade(instance, Liveness::Suspect, now));
    if is_new {
        info!(cx.state.logger, "node is suspected to be down"; "of" => instance.as_str());
        cx.state.emit(Event::MembersChanged { members: vec![instance.clone()], source: None });
    }
}

impl<L, P: PeerLinks> ControlContext<L, P> {
    /// Returns whether so many watched nodes are silent that the readers of the log may be
    /// lost.
    pub(super) fn are_many_silent(&self) -> bool {
        let watched = || self.neighbours().watched.len();
        self.unanswered.borrow().are_many(watched, self.state.now())
    }

    /// Returns how many of the watched nodes are silent.
    pub(crate) fn silence(&self) -> Silence {
        let watched = || self.neighbours().watched;
        self.unanswered.borrow().silence(watched, self.state.now())
    }

    fn is_leaving(&self, contact: &Contact) -> bool {
        let leaves = |entry: &Entry| entry.record.leaving;
        self.state.with_members(|members| members.get(&contact.instance).is_some_and(leaves))
    }

    /// Probes a node; returns whether it answered.
    pub(super) async fn probe_once(&self, contact: &Contact) -> bool {
        let about_you =
            self.state.with_members(|members| members.get(&contact.instance).map(Entry::rank));
        let body = MessageBody::Probe { about_you };
        self.exchange(contact.addr, body, PROBE_TIMEOUT).await.is_ok()
    }
}
