//! Connections to targets, made by this VM or, where it has no path, through another entry VM.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use primrosepin_core::fleet::Path;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::node::Node;
use super::tunnel::{CONNECT_TIMEOUT as TARGET_TIMEOUT, Refusal};
use crate::account::{Kind, Stage};
use crate::http::Connection;
use crate::link::{encode_frame, read_frame};
use crate::message::Message;
use crate::net;

/// Time limit for opening a connection to a target. Connecting takes a few ms; a lost SYN is
/// retransmitted only after a second, and trying another target is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which another VM is asked for a connection that is not established yet.
const TUNNEL_DELAY: Duration = Duration::from_millis(150);

/// Time limit for opening a connection to another entry VM.
const HELPER_TIMEOUT: Duration = Duration::from_millis(150);

/// Time limit for the answer of another entry VM, which connects to the target in the meantime.
const ANSWER_TIMEOUT: Duration = TARGET_TIMEOUT.saturating_add(Duration::from_millis(100));

/// Maximum size of the answer of another entry VM, bytes.
pub(super) const MAX_FRAME_BYTES: usize = 1_024;

/// Opens a connection to a target. `request` is the ID of the request, for logs.
pub(super) async fn connect(
    node: &Rc<Node>,
    request: &str,
    target: SocketAddr,
) -> io::Result<Connection> {
    let now = primrosepin_process::now();
    let path = node.reach.borrow().path(now, target);
    match path {
        Path::Direct => connect_by_either(node, request, target).await,
        Path::Tunnel => match open_tunnel(node, request, target).await {
            Some(connection) => Ok(connection),
            None if node.reach.borrow().is_cut() => Err(io::ErrorKind::NetworkUnreachable.into()),
            None => connect_directly(node, target).await,
        },
    }
}

/// Connects directly, and through another VM if that takes long or fails.
async fn connect_by_either(
    node: &Rc<Node>,
    request: &str,
    target: SocketAddr,
) -> io::Result<Connection> {
    let direct = connect_directly(node, target);
    tokio::pin!(direct);
    tokio::select! {
        result = &mut direct => return match result {
            Err(error) if is_conclusive(node, &error) => Err(error),
            Err(error) => open_tunnel(node, request, target).await.ok_or(error),
            connected => connected,
        },
        () = sleep(TUNNEL_DELAY) => {}
    }
    node.record_failed_connection(target);
    let tunnel = open_tunnel(node, request, target);
    tokio::pin!(tunnel);
    tokio::select! {
        result = &mut direct => match result {
            Ok(connection) => Ok(connection),
            Err(error) => tunnel.await.ok_or(error),
        },
        opened = &mut tunnel => match opened {
            Some(connection) => Ok(connection),
            None => direct.await,
        },
    }
}

/// Returns whether a failed connection shows that the target has ended: it refuses connections while others are
/// established.
fn is_conclusive(node: &Node, error: &io::Error) -> bool {
    let now = primrosepin_process::now();
    error.kind() == io::ErrorKind::ConnectionRefused && node.reach.borrow().is_connected(now)
}

async fn connect_directly(node: &Node, target: SocketAddr) -> io::Result<Connection> {
    let client = node.account.open_when_possible(Kind::Target).await;
    client.set_stage(Stage::Busy);
    match net::connect_from(node.settings.common.ip, target, CONNECT_TIMEOUT).await {
        Ok(stream) => {
            node.record_connection(target);
            Ok(Connection::with_client(stream, client))
        }
        Err(error) => {
            node.record_failed_connection(target);
            Err(error)
        }
    }
}

/// Connects through one of the other entry VMs; returns `None` if none of them can.
async fn open_tunnel(node: &Rc<Node>, request: &str, target: SocketAddr) -> Option<Connection> {
    let helpers = node.helpers();
    if helpers.is_empty() {
        return None;
    }
    for (vm, address) in helpers {
        let labels = |outcome| [crate::metrics::label("outcome", outcome)];
        let client = node.account.open_when_possible(Kind::Target).await;
        client.set_stage(Stage::Busy);
        match ask(address, request, target).await {
            Ok(Ok(stream)) => {
                node.instruments.tunnels.add(1, &labels("opened"));
                log::info!(
                    request = request, helper = &*vm, target_address = target.to_string();
                    "connected through another entry VM"
                );
                node.record_tunnel(target, &vm);
                return Some(Connection::with_client(stream, client).through_tunnel());
            }
            Ok(Err(Refusal::Unreachable)) => {
                node.instruments.tunnels.add(1, &labels("unreachable"));
                return None;
            }
            Ok(Err(refusal @ (Refusal::CutOff | Refusal::Busy))) => {
                node.instruments.tunnels.add(1, &labels("refused"));
                log::info!(
                    request = request, helper = &*vm, target_address = target.to_string();
                    "another entry VM does not connect: {refusal:?}"
                );
            }
            Err(error) => {
                node.instruments.tunnels.add(1, &labels("failed"));
                log::info!(
                    request = request, helper = &*vm, target_address = target.to_string();
                    "another entry VM does not answer: {error:#}"
                );
            }
        }
        let now = primrosepin_process::now();
        node.reach.borrow_mut().record_unhelpful(now, &vm);
    }
    node.record_no_path(target);
    None
}

/// Asks another entry VM for a connection to a target.
async fn ask(
    helper: SocketAddr,
    request: &str,
    target: SocketAddr,
) -> eyre::Result<Result<TcpStream, Refusal>> {
    let mut stream = net::connect(helper, HELPER_TIMEOUT).await?;
    let mut bytes = Vec::new();
    let message = Message::TunnelRequest {
        request: request.into(),
        target,
    };
    encode_frame(&mut bytes, &message)?;
    stream.write_all(&bytes).await?;
    let answer = timeout(ANSWER_TIMEOUT, read_frame(&mut stream, MAX_FRAME_BYTES)).await;
    let answer = answer.map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
    let Message::TunnelAnswer(answer) = answer else {
        eyre::bail!("not an answer");
    };
    Ok(answer.map(|()| stream))
}

/// Checks whether this VM can connect to a target, and if not, whether another one can.
pub(super) fn check(node: &Rc<Node>, target: SocketAddr) {
    let node = Rc::clone(node);
    actix_rt::spawn(async move {
        let connected = if node.reach.borrow().is_cut() {
            connect_directly(&node, target).await
        } else {
            connect_by_either(&node, "path check", target).await
        };
        if let Err(error) = connected {
            log::debug!("path check: cannot connect to {target}: {error}");
        }
    });
}

/// Checks paths while this VM has none, so that it uses its own again soon after they are back.
pub(super) fn check_lost(node: &Rc<Node>) {
    let now = primrosepin_process::now();
    let mut reach = node.reach.borrow_mut();
    reach.expire(now);
    let due = reach.is_cut() && reach.take_check(now);
    drop(reach);
    if due && let Some(target) = node.next_target() {
        check(node, target);
    }
}
