//! Contacts nodes of which many may be gone.

use std::{future::Future, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use ntex::time::{Millis, sleep};

/// How many nodes are contacted, and how fast.
#[derive(Debug, Clone, Copy)]
pub struct ContactLimits {
    /// Number of answers that suffice; as many nodes are contacted at a time.
    pub wanted: usize,
    /// Time after which further nodes are contacted beside those that have not answered.
    pub hedge_delay: Duration,
}

/// Contacts nodes with `contact`, which returns whether the node answered, until enough have
/// answered or all have been contacted and have answered or failed.
///
/// After a power cut, a third of the nodes that were running may not return. A connection to a
/// machine that is gone hangs, so that waiting for each node in turn would take a time-out each.
pub async fn contact_enough<T, F>(
    nodes: impl IntoIterator<Item = T>,
    limits: ContactLimits,
    contact: impl Fn(T) -> F,
) where
    F: Future<Output = bool>,
{
    let mut nodes = nodes.into_iter().peekable();
    let mut pending = FuturesUnordered::new();
    let mut answered = 0;
    let hedge_delay = Millis(limits.hedge_delay.as_millis() as u32);
    while answered < limits.wanted {
        pending.extend(nodes.by_ref().take(limits.wanted - answered).map(&contact));
        let hedge = sleep(hedge_delay);
        tokio::pin!(hedge);
        loop {
            tokio::select! {
                result = pending.next() => match result {
                    Some(is_answered) => answered += usize::from(is_answered),
                    None if nodes.peek().is_none() => return,
                    None => break,
                },
                () = &mut hedge, if nodes.peek().is_some() => break,
            }
            if answered >= limits.wanted {
                return;
            }
        }
    }
}
