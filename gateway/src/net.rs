//! TCP sockets with the options that all processes use.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

use crate::account::{Account, Client, Kind};

/// Length of the accept queue of a listener, connections.
const BACKLOG_CONNECTIONS: i32 = 1_024;

/// Time for which sent data may stay unacknowledged before the connection is closed (`TCP_USER_TIMEOUT`).
/// Reachable peers acknowledge within milliseconds; a partitioned VM never does.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Idle time before the first TCP keepalive probe, and time between probes. A peer that answers no probe is
/// considered lost.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Delay after a failed accept. It lets other connections release file descriptors and bounds the log rate.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Receive buffer of connections from clients, bytes. The kernel doubles it, and holds up to one and a half times
/// the value unread for each connection. Connections inherit it from their listener: set on an open connection, it
/// is smaller than the window that the peer already knows, and the peer waits for retransmissions. An ordinary
/// request of 31 kB fits into it, so it is read at once.
const CLIENT_RECEIVE_BYTES: usize = 32 * 1024;

/// Receive buffer of connections from probes and collectors of metrics, bytes. Their requests are short.
const PROBE_RECEIVE_BYTES: usize = 8 * 1024;

/// Receive buffer of connections from other VMs of the deployment and to targets, bytes.
const PEER_RECEIVE_BYTES: usize = 32 * 1024;

/// Send buffer of connections from clients and to targets, bytes. The kernel doubles it.
const SEND_BYTES: usize = 64 * 1024;

/// Opens a non-blocking listener with `SO_REUSEADDR` for connections of a kind, which bounds their buffers.
pub fn listen(address: SocketAddr, kind: Kind) -> io::Result<TcpListener> {
    let receive_bytes = match kind {
        Kind::Caller | Kind::Call => CLIENT_RECEIVE_BYTES,
        Kind::Probe | Kind::Scrape => PROBE_RECEIVE_BYTES,
        Kind::Tunnel | Kind::Link | Kind::Target => PEER_RECEIVE_BYTES,
    };
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.set_recv_buffer_size(receive_bytes)?;
    socket.set_send_buffer_size(SEND_BYTES)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG_CONNECTIONS)?;
    TcpListener::from_std(socket.into())
}

/// Accepts the next connection, once the account has room for it. Retries after `ACCEPT_RETRY_DELAY` on errors such
/// as exhausted file descriptors.
pub async fn accept(
    listener: &TcpListener,
    account: &Account,
    kind: Kind,
) -> (TcpStream, SocketAddr, Client) {
    loop {
        account.wait_for_room(kind).await;
        match listener.accept().await {
            Ok((stream, peer)) => return (stream, peer, account.open(kind)),
            Err(error) => {
                let port = listener.local_addr().map_or(0, |address| address.port());
                log::warn!(port = port; "cannot accept a connection, retrying: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Opens a connection. Fails with [`io::ErrorKind::TimedOut`] if it is not established within `limit`.
pub async fn connect(to: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    establish(new_socket(to)?, to, limit).await
}

/// Opens a connection to a target like [`connect`], from a local address, by which the peer knows the VM. Its
/// buffers in the kernel are bounded, since a target may read slowly, or send faster than a caller reads.
pub async fn connect_from(from: IpAddr, to: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let socket = new_socket(to)?;
    socket.set_recv_buffer_size(PEER_RECEIVE_BYTES as u32)?;
    socket.set_send_buffer_size(SEND_BYTES as u32)?;
    socket.bind(SocketAddr::new(from, 0))?;
    establish(socket, to, limit).await
}

fn new_socket(to: SocketAddr) -> io::Result<TcpSocket> {
    if to.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }
}

async fn establish(socket: TcpSocket, to: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let connected = timeout(limit, socket.connect(to)).await;
    let stream = connected.map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
    set_options(&stream);
    Ok(stream)
}

/// Sets no-delay, the user timeout and keepalive on a connection.
pub fn set_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    let set = socket
        .set_tcp_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(USER_TIMEOUT)))
        .and_then(|()| socket.set_tcp_keepalive(&keepalive));
    if let Err(error) = set {
        log::warn!("cannot set socket options: {error}");
    }
}
