//! How soon every node learns that a backend server left or a node crashed.
//!
//! An observer asks each node for one entry of its membership table, over the
//! control messages that nodes use among themselves.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use anyhow::{Context, ensure};
use futures_util::future::join_all;
use ntex::rt::{DefaultRuntime, System};
use savorykeel_adapters::peer::{LinkSettings, RpcLinks};
use savorykeel_policy::{
    config::fold::Position,
    distribution::message::{
        ControlMessage, ControlReply, MessageBody, ReplyBody, Sender, decode, encode,
    },
    ids::InstanceName,
    membership::{entry::Liveness, merge::Entry},
};
use savorykeel_ports::peer::PeerLinks;
use savorykeel_standins::caller::Request;
use serde::Serialize;
use tokio_util::sync::CancellationToken;

use super::running_fleet::{ANNOUNCEMENT_PATH, RunningFleet};

/// Pause between two rounds of questions.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Longest wait for every node to know.
const OBSERVATION_TIMEOUT: Duration = Duration::from_secs(30);

/// Backend servers that leave and nodes that crash, one after the other.
const EVENTS_PER_KIND: usize = 3;

/// Times in milliseconds from an event until every other node knew of it.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct MembershipFigures {
    /// A backend server left.
    pub(crate) left_ms: Vec<u64>,
    /// A node was killed: until it was no longer taken for alive.
    pub(crate) crash_noticed_ms: Vec<u64>,
    /// A node was killed: until it counted as unreachable.
    pub(crate) crash_settled_ms: Vec<u64>,
}

/// Lets backend servers leave and nodes crash.
pub(crate) fn measure_membership(fleet: &mut RunningFleet) -> anyhow::Result<MembershipFigures> {
    let mut figures = MembershipFigures::default();
    for i in 0..EVENTS_PER_KIND {
        let leaving = fleet.instances[i].ready.clone();
        let others: Vec<SocketAddr> = peers_except(fleet, i);
        let reply =
            fleet.client.call(leaving.backend, Request::new("DELETE", ANNOUNCEMENT_PATH))?;
        ensure!(reply.status == 200, "leaving refused: {}", reply.text());
        let has_left: fn(&Entry) -> bool = |entry| entry.record.backend.is_none();
        figures.left_ms.push(wait_until_recorded(&leaving.instance, others, has_left)?);
    }
    for _ in 0..EVENTS_PER_KIND {
        let mut crashed = fleet.instances.pop().context("no node is left")?;
        let others: Vec<SocketAddr> = peers_except(fleet, usize::MAX);
        crashed.node.kill();
        let started = Instant::now();
        let is_suspected: fn(&Entry) -> bool = |entry| entry.liveness > Liveness::Alive;
        figures.crash_noticed_ms.push(wait_until_recorded(
            &crashed.ready.instance,
            others.clone(),
            is_suspected,
        )?);
        let is_unreachable: fn(&Entry) -> bool = |entry| entry.liveness > Liveness::Suspect;
        wait_until_recorded(&crashed.ready.instance, others, is_unreachable)?;
        figures.crash_settled_ms.push(started.elapsed().as_millis() as u64);
    }
    Ok(figures)
}

fn peers_except(fleet: &RunningFleet, excluded: usize) -> Vec<SocketAddr> {
    let others = fleet.instances.iter().enumerate().filter(|(i, _)| *i != excluded);
    others.map(|(_, instance)| instance.ready.peers).collect()
}

/// Waits until each of the nodes holds an entry that fits; returns the time.
fn wait_until_recorded(
    instance: &str,
    nodes: Vec<SocketAddr>,
    is_expected: fn(&Entry) -> bool,
) -> anyhow::Result<u64> {
    let instance = InstanceName::try_from(instance)?;
    let started = Instant::now();
    System::new("observer", DefaultRuntime).block_on(async move {
        let links = RpcLinks::new(link_settings(), CancellationToken::new());
        let mut waiting = nodes;
        loop {
            let entries =
                join_all(waiting.iter().map(|addr| request_entry(&links, *addr, &instance))).await;
            let mut recorded = entries.iter().map(|entry| entry.as_ref().is_some_and(is_expected));
            waiting.retain(|_| !recorded.next().unwrap_or(false));
            if waiting.is_empty() {
                return Ok(started.elapsed().as_millis() as u64);
            }
            ensure!(
                started.elapsed() < OBSERVATION_TIMEOUT,
                "{} nodes don't know of {instance}",
                waiting.len()
            );
            ntex::time::sleep(POLL_INTERVAL).await;
        }
    })
}

async fn request_entry(
    links: &RpcLinks,
    addr: SocketAddr,
    instance: &InstanceName,
) -> Option<Entry> {
    let wanted = vec![instance.clone()];
    let message = ControlMessage {
        from: observer(),
        body: MessageBody::Exchange { wanted, entries: Vec::new() },
    };
    let bytes = links.control(addr, encode(&message)).await.ok()?;
    let reply: ControlReply = decode(&bytes).ok()?;
    match reply.body {
        ReplyBody::Entries(entries) => entries.into_iter().next(),
        _ => None,
    }
}

fn observer() -> Sender {
    Sender {
        instance: "observer".try_into().expect("a name"),
        zone: "observer".try_into().expect("a name"),
        addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        position: Position(0),
        members: 0,
        recovered: false,
        current_ago: None,
    }
}

fn link_settings() -> LinkSettings {
    LinkSettings {
        source: IpAddr::V4(Ipv4Addr::LOCALHOST),
        connect_timeout: Duration::from_secs(1),
        heartbeat_interval: Duration::from_secs(15),
        heartbeat_timeout: Duration::from_secs(5),
    }
}
