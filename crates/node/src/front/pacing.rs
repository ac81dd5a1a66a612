//! Sends the bodies of large answers to callers in pieces, as the link of the instance has room.

use ntex::{
    http::{Response, body::BodySize},
    io::Io,
    util::Bytes,
};
use savorykeel_policy::calls::link_schedule::PART_BYTES;

use crate::calls::{link::LinkShaper, outgoing::AnswerOrder};

/// Bytes of the head of an answer, as a guess.
const HEAD_BYTES: u64 = 300;

/// Paces the body of one answer.
pub(super) struct AnswerPacer {
    /// The link and what the order of the pieces depends on; `None` if the body is sent at once.
    link: Option<(LinkShaper, AnswerOrder)>,
    unsent: u64,
}

impl AnswerPacer {
    /// Creates the pacer of an answer with a body of `size`, and counts an answer that is sent
    /// at once.
    pub(super) fn new(link: Option<&LinkShaper>, head: &Response<()>, size: BodySize) -> Self {
        let unsent = match size {
            BodySize::Sized(bytes) => bytes,
            _ => 0,
        };
        let order = head.extensions().get::<AnswerOrder>().cloned();
        let is_large = unsent > PART_BYTES as u64;
        if let Some(link) = link.filter(|_| !is_large) {
            link.count_sent((unsent + HEAD_BYTES) as usize);
        }
        Self { link: link.cloned().zip(order).filter(|_| is_large), unsent }
    }

    /// Returns whether each piece has to be handed to the kernel before the next one is read.
    pub(super) fn is_paced(&self) -> bool {
        self.link.is_some()
    }

    /// Returns the next piece of `chunk` once it may be sent, or `None` if the caller is gone.
    ///
    /// The one before it must have been handed to the kernel, so that a caller that stops reading
    /// takes no room from others, and no further part of a streamed answer is requested for it.
    pub(super) async fn next_piece(&mut self, io: &Io, chunk: &mut Bytes) -> Option<Bytes> {
        let Some((link, order)) = &self.link else { return Some(std::mem::take(chunk)) };
        let piece = chunk.split_to(chunk.len().min(PART_BYTES));
        let disconnected = io.on_disconnect();
        tokio::select! {
            () = link.wait_for(order.part(piece.len(), self.unsent)) => {}
            () = disconnected => return None,
        }
        self.unsent = self.unsent.saturating_sub(piece.len() as u64);
        Some(piece)
    }
}
