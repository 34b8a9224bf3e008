//! QUIC endpoint of a process: accepts connections, sends messages and receives them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use eyre::{Context, ensure};
use primrosepin_core::message::Message;
use primrosepin_core::vm::Instance;
use primrosepin_wire::{Frame, MAX_FRAME_BYTES};
use quinn::VarInt;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::identity::Subject;
use crate::incoming::{Incoming, Reply};
use crate::link::Link;
use crate::{Faults, Identity, Settings};

/// Time without any received packet after which a connection is closed. Failure detection declares a peer
/// gone after 3 s, so a dead connection must be replaced before that.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval of QUIC keep-alive packets. Several fit into the idle timeout, so the loss of one does not
/// close a connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit for writing a one-way message; when it expires, the connection is replaced.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Capacity of the send queue of one address, in messages. When the queue is full, one-way messages are
/// dropped, which is allowed because delivery is not guaranteed.
const SEND_QUEUE_MESSAGES: usize = 1_024;

/// Capacity of the receive queue, in messages. While it is full, received messages wait in their tasks.
const RECEIVE_QUEUE_MESSAGES: usize = 4_096;

/// Maximum number of concurrent streams that a peer may open on one connection, for each direction type.
const MAX_STREAMS: u32 = 1_024;

/// Sends and receives messages. Clones share the socket and the connections.
#[derive(Debug, Clone)]
pub struct Endpoint {
    quic: quinn::Endpoint,
    instance: Instance,
    client_config: Arc<RwLock<quinn::ClientConfig>>,
    peers: Arc<Mutex<HashMap<SocketAddr, Peer>>>,
    faults: Faults,
}

#[derive(Debug, Clone)]
struct Peer {
    link: Arc<Link>,
    queue: mpsc::Sender<Message>,
}

impl Endpoint {
    /// Binds the socket and starts to accept connections; received messages arrive on the returned channel.
    /// Must be called inside a `tokio` or `actix-rt` runtime.
    pub fn start(settings: Settings) -> eyre::Result<(Self, mpsc::Receiver<Incoming>)> {
        let mut server = settings.identity.server_config()?;
        server.transport_config(transport_config()?);
        let quic = quinn::Endpoint::server(server, settings.bind)
            .wrap_err_with(|| format!("cannot bind {}", settings.bind))?;
        let (sender, receiver) = mpsc::channel(RECEIVE_QUEUE_MESSAGES);
        let endpoint = Self {
            quic,
            instance: settings.instance,
            client_config: Arc::new(RwLock::new(client_config(&settings.identity)?)),
            peers: Arc::default(),
            faults: Faults::default(),
        };
        tokio::spawn(endpoint.clone().accept(sender));
        Ok((endpoint, receiver))
    }

    /// Returns the bound address.
    pub fn local_address(&self) -> eyre::Result<SocketAddr> {
        Ok(self.quic.local_addr()?)
    }

    /// Returns the controls for fault injection at this endpoint.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Replaces the identity used for new connections. Open connections keep the previous one.
    pub fn set_identity(&self, identity: &Identity) -> eyre::Result<()> {
        let mut server = identity.server_config()?;
        server.transport_config(transport_config()?);
        let client = client_config(identity)?;
        self.quic.set_server_config(Some(server));
        *self
            .client_config
            .write()
            .unwrap_or_else(PoisonError::into_inner) = client;
        Ok(())
    }

    /// Queues a one-way message. It is dropped if the send queue of the address is full.
    pub fn send(&self, to: SocketAddr, message: Message) {
        if self.faults.is_blocked(to) {
            return;
        }
        if self.peer(to).queue.try_send(message).is_err() {
            log::debug!("send queue for {to} is full; message dropped");
        }
    }

    /// Sends a message and waits up to `time_limit` for the reply. After an error, the message may or may not
    /// have been delivered.
    pub async fn call(
        &self,
        to: SocketAddr,
        message: Message,
        time_limit: Duration,
    ) -> eyre::Result<Message> {
        ensure!(
            !self.faults.is_blocked(to),
            "{to} is blocked by fault injection"
        );
        let link = self.peer(to).link;
        let exchange = async {
            let connection = link.connection(&self.quic).await?;
            let reply = self.exchange(&connection, message).await;
            if reply.is_err() {
                link.discard(&connection).await;
            }
            reply
        };
        let reply = timeout(time_limit, exchange)
            .await
            .wrap_err("no reply to the call within its time limit")??;
        ensure!(
            !self.faults.is_blocked(to),
            "{to} is blocked by fault injection"
        );
        Ok(reply)
    }

    /// Closes all connections and waits until the peers have been notified or the connections have timed out.
    pub async fn close(&self) {
        self.peers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
        self.quic.close(VarInt::from_u32(0), b"shutdown");
        self.quic.wait_idle().await;
    }

    async fn exchange(
        &self,
        connection: &quinn::Connection,
        message: Message,
    ) -> eyre::Result<Message> {
        let bytes = Frame::new(self.instance.clone(), message).encode()?;
        let (mut send_stream, mut recv_stream) = connection.open_bi().await?;
        send_stream.write_all(&bytes).await?;
        send_stream.finish()?;
        let reply = recv_stream.read_to_end(MAX_FRAME_BYTES).await?;
        Ok(Frame::decode(&reply)?.message)
    }

    fn peer(&self, to: SocketAddr) -> Peer {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        let peer = peers.entry(to).or_insert_with(|| {
            let link = Arc::new(Link::new(to, Arc::clone(&self.client_config)));
            let (queue, messages) = mpsc::channel(SEND_QUEUE_MESSAGES);
            tokio::spawn(send_queued(
                self.quic.clone(),
                Arc::clone(&link),
                self.instance.clone(),
                messages,
            ));
            Peer { link, queue }
        });
        peer.clone()
    }

    async fn accept(self, sender: mpsc::Sender<Incoming>) {
        while let Some(connecting) = self.quic.accept().await {
            let endpoint = self.clone();
            let sender = sender.clone();
            tokio::spawn(async move {
                let Ok(connection) = connecting.await else {
                    return;
                };
                let subject = match Subject::from_connection(&connection) {
                    Ok(subject) => subject,
                    Err(error) => {
                        log::warn!(
                            "connection from {} rejected: {error}",
                            connection.remote_address()
                        );
                        connection.close(VarInt::from_u32(1), b"certificate");
                        return;
                    }
                };
                endpoint.serve(connection, subject, sender).await;
            });
        }
    }

    async fn serve(
        self,
        connection: quinn::Connection,
        subject: Subject,
        sender: mpsc::Sender<Incoming>,
    ) {
        loop {
            let (reply, stream) = tokio::select! {
                stream = connection.accept_uni() => match stream {
                    Ok(stream) => (None, stream),
                    Err(_) => return,
                },
                streams = connection.accept_bi() => match streams {
                    Ok((send_stream, recv_stream)) => (Some(send_stream), recv_stream),
                    Err(_) => return,
                },
            };
            let reply = reply.map(|stream| Reply {
                instance: self.instance.clone(),
                stream,
            });
            let receive = receive(
                connection.clone(),
                subject.clone(),
                stream,
                reply,
                self.faults.clone(),
                sender.clone(),
            );
            tokio::spawn(receive);
        }
    }
}

/// Reads one message, checks its sender against the certificate and queues it for the process.
async fn receive(
    connection: quinn::Connection,
    subject: Subject,
    mut stream: quinn::RecvStream,
    reply: Option<Reply>,
    faults: Faults,
    sender: mpsc::Sender<Incoming>,
) {
    let address = connection.remote_address();
    let Ok(bytes) = stream.read_to_end(MAX_FRAME_BYTES).await else {
        return;
    };
    if faults.is_blocked(address) {
        return;
    }
    let frame = match Frame::decode(&bytes) {
        Ok(frame) if *frame.from.name == *subject.vm => frame,
        Ok(frame) => {
            log::warn!(
                "message from {address} rejected: the certificate names VM {}, the frame names {}",
                subject.vm,
                frame.from.name
            );
            return;
        }
        Err(error) => {
            log::warn!("message from {address} rejected: {error}");
            return;
        }
    };
    let incoming = Incoming {
        from: frame.from,
        role: subject.role,
        address,
        message: frame.message,
        reply,
    };
    // Fails only if the receiver was dropped, during shutdown.
    let _ = sender.send(incoming).await;
}

/// Sends the queued one-way messages of one address until the queue is closed.
async fn send_queued(
    quic: quinn::Endpoint,
    link: Arc<Link>,
    instance: Instance,
    mut messages: mpsc::Receiver<Message>,
) {
    while let Some(message) = messages.recv().await {
        let Ok(bytes) = Frame::new(instance.clone(), message).encode() else {
            continue;
        };
        let Ok(connection) = link.connection(&quic).await else {
            // Messages queued during the failed connection attempt are outdated by now, so they are dropped.
            while messages.try_recv().is_ok() {}
            continue;
        };
        let write = async {
            let mut stream = connection.open_uni().await?;
            stream.write_all(&bytes).await?;
            stream.finish()?;
            eyre::Ok(())
        };
        if !matches!(timeout(SEND_TIMEOUT, write).await, Ok(Ok(()))) {
            link.discard(&connection).await;
        }
    }
}

fn client_config(identity: &Identity) -> eyre::Result<quinn::ClientConfig> {
    let mut client = identity.client_config()?;
    client.transport_config(transport_config()?);
    Ok(client)
}

fn transport_config() -> eyre::Result<Arc<quinn::TransportConfig>> {
    let mut transport = quinn::TransportConfig::default();
    transport.max_idle_timeout(Some(IDLE_TIMEOUT.try_into()?));
    transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    transport.max_concurrent_uni_streams(VarInt::from_u32(MAX_STREAMS));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS));
    Ok(Arc::new(transport))
}
