//! TCP sockets with the options that all processes use.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

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

/// Opens a non-blocking listener with `SO_REUSEADDR`.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG_CONNECTIONS)?;
    TcpListener::from_std(socket.into())
}

/// Accepts the next connection. Retries after `ACCEPT_RETRY_DELAY` on errors such as exhausted file
/// descriptors.
pub async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
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

/// Opens a connection like [`connect`], from a local address, by which the peer knows the VM.
pub async fn connect_from(from: IpAddr, to: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let socket = new_socket(to)?;
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
