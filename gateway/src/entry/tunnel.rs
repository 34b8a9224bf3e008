//! Connections to targets for entry VMs that have no path to them.
//!
//! Another entry VM opens a connection to the internal port and sends a [`Message::TunnelRequest`]. This VM connects
//! to the target and answers with a [`Message::TunnelAnswer`]; then it forwards bytes in both directions until one side
//! closes. The other VM keeps all decisions on its requests: placement, limits, retries, deadlines and keys.
//!
//! # Invariants
//!
//! - Only announced targets are connected, and only directly, so tunnels do not chain.
//! - Nothing of a request is sent before the tunnel is open, so a refused one has not run.
//! - A target's connection that fails is reset towards the other VM, never closed as if it had ended well.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use super::node::{Node, Phase};
use super::path::MAX_FRAME_BYTES;
use crate::account::{Client, Kind, Stage};
use crate::link::{encode_frame, read_frame};
use crate::message::Message;
use crate::net;

/// Time limit for connecting to a target.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time within which the request of another VM must be complete.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which a tunnel whose target has closed its side stays open, so that its last bytes are delivered.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// Memory of an open tunnel beside that of its connection, bytes: buffers in both directions, here and in the kernel.
const FORWARD_BYTES: usize = 64 * 1024;

/// Largest number of tunnels. Each takes two file descriptors and a share of the VM's processor.
pub const MAX_TUNNELS: usize = 256;

/// Why a tunnel is not opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The target does not accept connections from this VM, which has paths to other targets.
    Unreachable,
    /// This VM has no path to targets either, or does not know the target.
    CutOff,
    /// This VM has too many tunnels, or shuts down.
    Busy,
}

/// Opens tunnels for other entry VMs; never returns.
pub(super) async fn accept(node: Rc<Node>, listener: TcpListener) {
    loop {
        let (stream, peer, client) = net::accept(&listener, &node.account, Kind::Tunnel).await;
        let node = Rc::clone(&node);
        let eviction = client.eviction();
        actix_rt::spawn(eviction.guard(async move {
            if let Err(error) = serve(&node, stream, &client).await {
                log::info!(peer = peer.to_string(); "tunnel for another entry VM failed: {error:#}");
            }
        }));
    }
}

async fn serve(node: &Rc<Node>, mut stream: TcpStream, client: &Client) -> eyre::Result<()> {
    net::set_options(&stream);
    client.set_stage(Stage::Reading);
    let message = timeout(REQUEST_TIMEOUT, read_frame(&mut stream, MAX_FRAME_BYTES)).await??;
    let Message::TunnelRequest { request, target } = message else {
        eyre::bail!("not a request for a tunnel");
    };
    client.set_stage(Stage::Busy);
    let connected = connect(node, target).await;
    let answer = match &connected {
        Ok(_) => Ok(()),
        Err(refusal) => Err(*refusal),
    };
    log::info!(
        request = &*request, target_address = target.to_string(), tunnels = node.tunnels.get();
        "another entry VM asks for a connection: {answer:?}"
    );
    let mut bytes = Vec::new();
    encode_frame(&mut bytes, &Message::TunnelAnswer(answer))?;
    stream.write_all(&bytes).await?;
    let Ok(target) = connected else {
        return Ok(());
    };
    let mut share = client.share();
    share.set(FORWARD_BYTES);
    // The process does not exit before requests in its tunnels have ended.
    let active = node.mark_active();
    node.tunnels.set(node.tunnels.get() + 1);
    forward(stream, target).await;
    node.tunnels.set(node.tunnels.get() - 1);
    drop(active);
    Ok(())
}

/// Connects to a target, if this VM knows it and takes tunnels.
async fn connect(node: &Node, target: SocketAddr) -> Result<TcpStream, Refusal> {
    if *node.phase.borrow() != Phase::Serving || node.tunnels.get() >= MAX_TUNNELS {
        return Err(Refusal::Busy);
    }
    if node.reach.borrow().is_cut() || !node.is_target(target) {
        return Err(Refusal::CutOff);
    }
    match net::connect_from(node.settings.common.ip, target, CONNECT_TIMEOUT).await {
        Ok(stream) => {
            node.record_connection(target);
            Ok(stream)
        }
        Err(error) => {
            log::debug!("cannot connect to {target} for another entry VM: {error}");
            node.record_failed_connection(target);
            let now = primrosepin_process::now();
            Err(if node.reach.borrow().is_connected(now) {
                Refusal::Unreachable
            } else {
                Refusal::CutOff
            })
        }
    }
}

/// Forwards bytes until the other VM or the target closes its side.
async fn forward(mut vm: TcpStream, mut target: TcpStream) {
    let (mut from_vm, mut to_vm) = vm.split();
    let (mut from_target, mut to_target) = target.split();
    let ended = tokio::select! {
        // A VM closes a connection to a target to cancel the request.
        _ = copy(&mut from_vm, &mut to_target) => return,
        ended = copy(&mut from_target, &mut to_vm) => ended,
    };
    if ended.is_ok() && to_vm.shutdown().await.is_ok() {
        let mut rest = [0; 1024];
        let closed = async { while matches!(from_vm.read(&mut rest).await, Ok(1..)) {} };
        // The VM closes its side once it has the response.
        let _ = timeout(LINGER_TIME, closed).await;
    } else if let Err(error) = SockRef::from(&vm).set_linger(Some(Duration::ZERO)) {
        log::warn!("cannot reset a tunnel: {error}");
    }
}
