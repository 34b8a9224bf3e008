//! Sockets.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Time without an acknowledgement of sent bytes after which a connection is broken. Peers answer within
/// milliseconds; a VM that is cut off never does.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause after which the peer is probed, and between probes; a peer that answers none is gone.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Pause after a connection could not be accepted: descriptors are free again when others end, and the log
/// stays bounded.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Listens on an address.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Accepts the next connection. After an error, such as a lack of descriptors, it pauses and tries again.
pub async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(error) => {
                let port = listener.local_addr().map_or(0, |address| address.port());
                log::warn!(port = port; "cannot accept a connection: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Connects within a time.
pub async fn connect(to: SocketAddr, within: Duration) -> io::Result<TcpStream> {
    let socket = if to.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    let connected = timeout(within, socket.connect(to)).await;
    let stream = connected.map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
    set_options(&stream);
    Ok(stream)
}

/// Sets the options that all connections need.
pub fn set_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(2);
    let set = socket
        .set_tcp_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(USER_TIMEOUT)))
        .and_then(|()| socket.set_tcp_keepalive(&keepalive));
    if let Err(error) = set {
        log::warn!("cannot set options of a connection: {error}");
    }
}
