//! Announces the backend server to the node on the same instance and renews the
//! announcement before its lease expires.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use ntex::{SharedCfg, client::Client, http::StatusCode, time::Millis};
use serde::Serialize;
use tokio_util::sync::CancellationToken;

use super::server::Shared;

/// Announcements per lease, so that two in a row may be lost.
const RENEWALS_PER_LEASE: u64 = 3;

/// Pause after an announcement or a withdrawal that the node didn't accept.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Timeout for the node's answer, in milliseconds.
const ANSWER_TIMEOUT: Millis = Millis(1_000);

#[derive(Serialize)]
struct Announcement<'a> {
    service: &'a str,
    version: &'a str,
    address: SocketAddr,
    slots: usize,
    connections: usize,
    draining: bool,
    lease_ms: u64,
}

/// Sends, renews or withdraws the announcement until the token is cancelled.
pub(crate) async fn maintain_announcement(shared: Arc<Shared>, incarnation: CancellationToken) {
    let (Some(node), Ok(client)) = (shared.settings.node, client().await) else {
        incarnation.cancelled().await;
        return;
    };
    let url = format!("http://{node}/savorykeel/v1/announcement");
    let mut is_announced = false;
    loop {
        // Registered before the flags are read, so that no change is missed.
        let mut changed = std::pin::pin!(shared.announcement_changed.notified());
        changed.as_mut().enable();
        let announcing = shared.announcing.load(Ordering::Relaxed);
        let pause = if announcing {
            is_announced = send_announcement(&client, &url, &shared).await;
            if is_announced { renewal_interval(&shared) } else { RETRY_PAUSE }
        } else {
            is_announced = is_announced && !withdraw_announcement(&client, &url).await;
            if is_announced { RETRY_PAUSE } else { renewal_interval(&shared) }
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = changed => {}
            () = incarnation.cancelled() => return,
        }
    }
}

async fn client() -> Result<Client, ntex::client::error::ClientBuilderError> {
    let cfg: SharedCfg = SharedCfg::new("announce").into();
    Client::builder().response_timeout(ANSWER_TIMEOUT).build(cfg).await
}

fn renewal_interval(shared: &Shared) -> Duration {
    Duration::from_millis(shared.settings.lease_ms / RENEWALS_PER_LEASE)
}

async fn send_announcement(client: &Client, url: &str, shared: &Shared) -> bool {
    let announcement = Announcement {
        service: &shared.settings.service,
        version: &shared.settings.version,
        address: shared.addr,
        slots: shared.settings.slots,
        connections: shared.settings.connections,
        draining: shared.draining.load(Ordering::Relaxed),
        lease_ms: shared.settings.lease_ms,
    };
    let accepted = client
        .put(url)
        .send_json(&announcement)
        .await
        .is_ok_and(|answer| answer.status() == StatusCode::OK);
    if accepted {
        shared.ledger.lock().counts.announcements += 1;
    }
    accepted
}

async fn withdraw_announcement(client: &Client, url: &str) -> bool {
    client.delete(url).send().await.is_ok_and(|answer| answer.status() == StatusCode::OK)
}
