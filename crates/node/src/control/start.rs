//! Starts the control loops with a store and links to other nodes.

use std::{cell::RefCell, net::IpAddr, rc::Rc, sync::Arc, time::Duration};

use ntex::time::sleep;
use savorykeel_adapters::{
    log::HttpLog,
    metrics::Metrics,
    peer::{LinkSettings, RpcLinks},
};
use savorykeel_platform::PlatformStore;
use savorykeel_ports::{desired::DesiredState, log::LogService};
use slog::{Logger, error};
use tokio_util::sync::CancellationToken;

use crate::settings::{ControlSettings, StoreChoice};

use super::{
    context::{ControlContext, ControlTimes},
    reader::to_millis,
    run,
    state::ControlState,
    traffic::LinkPurpose,
};

/// Time between heartbeats on a control link. Probes detect failures of these
/// links, so heartbeats are only needed for links on which nothing else is sent.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(15);

/// Time within which a heartbeat has to be answered; otherwise the control link
/// counts as silent.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time for opening a control link.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two attempts to create the log client.
const CLIENT_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the control loops of a node until `cancel` is cancelled.
pub async fn start(
    state: Arc<ControlState>,
    settings: ControlSettings,
    store: StoreChoice,
    source: IpAddr,
    metrics: Metrics,
    cancel: CancellationToken,
) {
    let setup = ControlSetup { state, settings, source, metrics };
    match store {
        StoreChoice::LogService(base) => {
            let log = create_log_client(&setup.state.logger, base).await;
            run_with(log, setup, cancel).await;
        }
        StoreChoice::Platform(settings) => {
            run_with(PlatformStore::new(&settings), setup, cancel).await;
        }
    }
}

/// What the control loops need to start, apart from the store.
struct ControlSetup {
    state: Arc<ControlState>,
    settings: ControlSettings,
    source: IpAddr,
    metrics: Metrics,
}

async fn create_log_client(logger: &Logger, base: Arc<str>) -> HttpLog {
    loop {
        match HttpLog::new(base.clone()).await {
            Ok(log) => return log,
            Err(e) => error!(logger, "no client for the log service"; "problem" => %e),
        }
        sleep(to_millis(CLIENT_RETRY_INTERVAL)).await;
    }
}

async fn run_with<L>(log: L, setup: ControlSetup, cancel: CancellationToken)
where
    L: LogService + DesiredState + 'static,
{
    let ControlSetup { state, settings, source, metrics } = setup;
    let byte_counter_of = state.byte_counter_of(LinkPurpose::Control);
    let links = RpcLinks::new(link_settings(source), byte_counter_of, cancel.child_token());
    let links_to_reset = links.clone();
    let cx = ControlContext {
        state,
        log,
        links,
        reset_link: Rc::new(move |addr| links_to_reset.retain(|other| *other != addr)),
        unanswered: RefCell::default(),
        metrics,
        mode: settings.mode,
        times: ControlTimes {
            checkpoint: settings.checkpoint,
            presence: settings.presence,
            ..ControlTimes::default()
        },
    };
    run(cx, cancel).await;
}

fn link_settings(source: IpAddr) -> LinkSettings {
    LinkSettings {
        source,
        connect_timeout: CONNECT_TIMEOUT,
        heartbeat_interval: HEARTBEAT_INTERVAL,
        heartbeat_timeout: HEARTBEAT_TIMEOUT,
        // A message that stays unanswered closes its link.
        overdue: HEARTBEAT_TIMEOUT,
        // The failure detector counts attempts, so each message makes one.
        unreachable_memory: Duration::ZERO,
    }
}
