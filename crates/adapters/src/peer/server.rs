//! Serves the messages of other nodes.

use std::{net, rc::Rc};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures_util::{AsyncReadExt, future::LocalBoxFuture};
use savorykeel_policy::{calls::settle::NodeStamp, code::Code, ids::RequestId};
use savorykeel_ports::peer::{AnswerPart, Attempt, LoadHint, PeerCall, PeerReply, Settlement};
use tokio::net::TcpStream;
use tokio_util::{compat::TokioAsyncReadCompatExt, sync::CancellationToken};

use crate::peer_capnp::peer;

use super::{
    CompressedReader, CompressedWriter,
    decode::{read_call, request_id},
    encode::{write_answer_part, write_reply, write_settlement},
    reader_options,
};

/// A part of a large answer, or why there is none.
pub type AnswerPartFuture = LocalBoxFuture<'static, Result<AnswerPart, Code>>;

/// Handlers for the messages of other nodes.
///
/// A call continues when its connection ends, because the entry node may settle it over
/// another connection. `call` must therefore do its work in a separate task.
#[derive(Clone)]
pub struct PeerHandler {
    /// Runs a call.
    pub call: Rc<dyn Fn(PeerCall) -> LocalBoxFuture<'static, (PeerReply, LoadHint)>>,
    /// Returns the status of an attempt and fences one that has not arrived.
    pub settle: Rc<dyn Fn(Attempt) -> Settlement>,
    /// Returns the node's current stamp: its incarnation and tick.
    pub stamp: Rc<dyn Fn() -> NodeStamp>,
    /// Cancels a request.
    pub cancel: Rc<dyn Fn(RequestId)>,
    /// Returns the part of a large answer that begins at an offset.
    pub answer_part: Rc<dyn Fn(RequestId, u64) -> AnswerPartFuture>,
    /// Answers a control message.
    pub control: Rc<dyn Fn(Vec<u8>) -> LocalBoxFuture<'static, Vec<u8>>>,
    /// Answers a ledger message.
    pub ledger: Rc<dyn Fn(Vec<u8>) -> LocalBoxFuture<'static, Vec<u8>>>,
}

struct PeerServer {
    handler: PeerHandler,
}

impl peer::Server for PeerServer {
    async fn call(
        self: Rc<Self>,
        params: peer::CallParams,
        mut results: peer::CallResults,
    ) -> Result<(), capnp::Error> {
        let call = read_call(params.get()?.get_call()?)?;
        // The message holds another copy of the request's body.
        drop(params);
        let (reply, load) = (self.handler.call)(call).await;
        write_reply(&reply, load, results.get().init_reply());
        Ok(())
    }

    async fn settle(
        self: Rc<Self>,
        params: peer::SettleParams,
        mut results: peer::SettleResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let attempt = Attempt {
            id: request_id(params.get_id_high(), params.get_id_low()),
            stamp: NodeStamp { incarnation: params.get_aim_life(), tick: params.get_aim_tick() },
        };
        let settlement = (self.handler.settle)(attempt);
        write_settlement(&settlement, results.get().init_settlement());
        Ok(())
    }

    async fn cancel(
        self: Rc<Self>,
        params: peer::CancelParams,
        _: peer::CancelResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        (self.handler.cancel)(request_id(params.get_id_high(), params.get_id_low()));
        Ok(())
    }

    async fn heartbeat(
        self: Rc<Self>,
        _: peer::HeartbeatParams,
        mut results: peer::HeartbeatResults,
    ) -> Result<(), capnp::Error> {
        let stamp = (self.handler.stamp)();
        results.get().set_life(stamp.incarnation);
        results.get().set_tick(stamp.tick);
        Ok(())
    }

    async fn answer_part(
        self: Rc<Self>,
        params: peer::AnswerPartParams,
        mut results: peer::AnswerPartResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let id = request_id(params.get_id_high(), params.get_id_low());
        let part = (self.handler.answer_part)(id, params.get_offset()).await;
        write_answer_part(&part, results.get().init_part());
        Ok(())
    }

    async fn control(
        self: Rc<Self>,
        params: peer::ControlParams,
        mut results: peer::ControlResults,
    ) -> Result<(), capnp::Error> {
        let body = params.get()?.get_body()?.to_vec();
        let answer = (self.handler.control)(body).await;
        results.get().set_body(&answer);
        Ok(())
    }

    async fn ledger(
        self: Rc<Self>,
        params: peer::LedgerParams,
        mut results: peer::LedgerResults,
    ) -> Result<(), capnp::Error> {
        let body = params.get()?.get_body()?.to_vec();
        let answer = (self.handler.ledger)(body).await;
        results.get().set_body(&answer);
        Ok(())
    }
}

/// Serves one connection of another node until it ends or `cancel` is cancelled.
pub async fn serve_connection(
    stream: net::TcpStream,
    handler: PeerHandler,
    cancel: CancellationToken,
) -> std::io::Result<()> {
    stream.set_nonblocking(true)?;
    let stream = TcpStream::from_std(stream)?;
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.compat().split();
    let (reader, writer) = (CompressedReader::new(reader), CompressedWriter::new(writer));
    let network = VatNetwork::new(reader, writer, Side::Server, reader_options());
    let client: peer::Client = capnp_rpc::new_client(PeerServer { handler });
    let rpc = RpcSystem::new(Box::new(network), Some(client.client));
    tokio::select! {
        result = rpc => result.map_err(std::io::Error::other),
        () = cancel.cancelled() => Ok(()),
    }
}
