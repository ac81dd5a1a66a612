//! Sends a control message to another node and processes the reply.

use std::{net::SocketAddr, time::Duration};

use savorykeel_policy::{
    distribution::message::{
        ControlMessage, ControlReply, MessageBody, MessageError, ReplyBody, decode, encode,
    },
    time::Tick,
};
use savorykeel_ports::peer::{PeerError, PeerLinks};

use super::{
    context::ControlContext,
    reader::to_millis,
    state::{ControlState, Counters},
    traffic::message_kind,
};

/// Why an exchange failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ExchangeError {
    /// The link failed.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// No reply came in time.
    #[error("no reply in time")]
    TimedOut,
    /// The reply can't be decoded.
    #[error(transparent)]
    Message(#[from] MessageError),
}

impl<L, P: PeerLinks> ControlContext<L, P> {
    /// Sends a message, processes the state of the other node that every reply
    /// carries and returns the body of the reply.
    ///
    /// A link on which no reply came within `timeout` is closed, because it may never
    /// deliver one although a new link would work.
    pub(crate) async fn exchange(
        &self,
        addr: SocketAddr,
        body: MessageBody,
        timeout: Duration,
    ) -> Result<ReplyBody, ExchangeError> {
        let sent_at = self.state.now();
        let (kind, reach) = (message_kind(&body), self.state.reach_of(addr));
        let message = encode(&ControlMessage { from: self.state.sender(), body });
        Counters::add(&self.state.counters.messages_sent, 1);
        Counters::add(&self.state.counters.bytes_sent, message.len());
        self.state.traffic.add_message(kind, reach, message.len());
        let request = self.links.control(addr, message);
        let Ok(result) = ntex::time::timeout(to_millis(timeout), request).await else {
            (self.reset_link)(addr);
            return Err(ExchangeError::TimedOut);
        };
        let bytes = result?;
        Counters::add(&self.state.counters.bytes_received, bytes.len());
        self.state.traffic.add_message(kind, reach, bytes.len());
        let reply: ControlReply = decode(&bytes)?;
        self.state.process_reply(&reply, sent_at);
        Ok(reply.body)
    }
}

impl ControlState {
    /// Processes the parts that every reply carries, independent of the request.
    fn process_reply(&self, reply: &ControlReply, sent_at: Tick) {
        self.record_sender(&reply.from);
        if reply.from.recovered {
            self.record_evacuations_known(sent_at);
        }
        if !self.is_serving() || !self.announced.are_members_known() {
            let digest = self.with_members(|members| members.digest());
            let is_confirmed = reply.from.recovered && reply.from.members == digest;
            self.with_recovery(|recovery| {
                recovery.record_answer(&reply.from, reply.your_floor);
                if is_confirmed {
                    recovery.confirm_members();
                }
            });
            if is_confirmed {
                self.announced.confirm_members();
            }
        }
        if let Some(ago) = reply.from.current_ago {
            let ago = u64::try_from(ago.as_millis()).unwrap_or(u64::MAX);
            self.confirm_log_end(reply.from.position, Tick(sent_at.0.saturating_sub(ago)));
        }
        if let ReplyBody::Ack { about_you } = &reply.body {
            self.refute_if_outranked(*about_you);
        }
        if !self.is_serving() {
            self.rebuild();
        }
    }
}
