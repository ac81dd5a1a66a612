//! Sends the body of an answer to a caller.

use std::{error::Error, future::poll_fn, io, rc::Rc, task::Poll};

use ntex::{
    http::{
        body::{Body, MessageBody, ResponseBody},
        h1::{Codec, Message},
    },
    io::Io,
    util::Bytes,
};

use super::{intake::CallerBounds, pacing::AnswerPacer};

/// Sends a body, paced where the link of the instance has to be shared; returns whether the whole
/// of it was sent.
pub(super) async fn send_body(
    io: &Io,
    codec: &Codec,
    mut body: ResponseBody<Body>,
    mut pacer: AnswerPacer,
    bounds: &CallerBounds,
) -> bool {
    if !matches!(body.size(), ntex::http::body::BodySize::None | ntex::http::body::BodySize::Empty)
    {
        while let Some(chunk) = next_chunk(io, &mut body).await {
            let Ok(mut chunk) = chunk else { return false };
            while !chunk.is_empty() {
                let Some(piece) = pacer.next_piece(io, &mut chunk).await else { return false };
                if io.encode(Message::Chunk(Some(piece)), codec).is_err()
                    || !bounds.flush(io, pacer.is_paced()).await
                {
                    return false;
                }
            }
        }
        if io.encode(Message::Chunk(None), codec).is_err() {
            return false;
        }
    }
    bounds.flush(io, false).await
}

/// Returns the next chunk of a body, or an error if the caller leaves while it waits for one.
async fn next_chunk(
    io: &Io,
    body: &mut ResponseBody<Body>,
) -> Option<Result<Bytes, Rc<dyn Error>>> {
    let mut next = poll_fn(|cx| body.poll_next_chunk(cx));
    if let Poll::Ready(chunk) = futures_util::poll!(&mut next) {
        return chunk;
    }
    // Each call registers one more task with the connection until its end, so only chunks that
    // are awaited do.
    let disconnected = io.on_disconnect();
    tokio::select! {
        biased;
        chunk = next => chunk,
        () = disconnected => Some(Err(Rc::new(io::Error::from(io::ErrorKind::ConnectionReset)))),
    }
}
