//! Bidirectional message connection between two processes.
//!
//! Each side sends heartbeats while it has nothing else to send, and closes the connection if it receives
//! nothing for `RECEIVE_TIMEOUT`: an established connection can stop delivering while new connections
//! work. Each message is preceded by its length as a little-endian `u32`.

use std::io;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::account::Share;
use crate::message::{self, MAX_BYTES, Message};

/// Time without outgoing messages after which a heartbeat is sent.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Time without incoming messages after which the link is closed: three missed heartbeats.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(1_800);

/// First size of the buffer of a message that is being received, bytes. Most messages are smaller.
const FIRST_BUFFER_BYTES: usize = 4 * 1024;

/// Capacity of the send queue. Senders drop messages when it is full; the protocols tolerate message loss.
pub const QUEUE_MESSAGES: usize = 1_024;

/// Runs a link until the connection is closed or times out, or all senders of `outgoing` are dropped. Calls
/// `on_message` for each received message other than heartbeats.
///
/// `share` is charged for the message that is being received.
pub async fn run<F>(
    stream: TcpStream,
    mut share: Share,
    mut outgoing: mpsc::Receiver<Message>,
    mut on_message: F,
) -> eyre::Result<()>
where
    F: FnMut(Message),
{
    let (mut reader, mut writer) = stream.into_split();
    let receive_loop = async {
        let mut skipped = 0_u64;
        loop {
            let read = timeout(
                RECEIVE_TIMEOUT,
                read_bytes(&mut reader, MAX_BYTES, &mut share),
            )
            .await;
            let bytes = read.map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
            match Message::decode(&bytes) {
                Ok(Message::Heartbeat) => {}
                Ok(message) => on_message(message),
                // A newer build may send kinds that this one does not know; the link serves the others.
                Err(error) if message::has_known_version(&bytes) => {
                    skipped += 1;
                    if skipped == 1 {
                        log::warn!(
                            "skipping messages on a link that this build cannot read: {error:#}"
                        );
                    }
                }
                Err(error) => return Err(error),
            }
        }
    };
    let send_loop = async {
        let mut bytes = Vec::new();
        loop {
            match timeout(HEARTBEAT_INTERVAL, outgoing.recv()).await {
                Ok(None) => return Ok(()),
                Ok(Some(message)) => encode_frame(&mut bytes, &message)?,
                Err(_) => encode_frame(&mut bytes, &Message::Heartbeat)?,
            }
            // Batches all queued messages into one write.
            while let Ok(message) = outgoing.try_recv() {
                encode_frame(&mut bytes, &message)?;
            }
            writer.write_all(&bytes).await?;
            bytes.clear();
        }
    };
    tokio::select! {
        ended = receive_loop => ended,
        ended = send_loop => ended,
    }
}

/// Appends a message, preceded by its length.
pub(crate) fn encode_frame(bytes: &mut Vec<u8>, message: &Message) -> eyre::Result<()> {
    let body = message.encode()?;
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&body);
    Ok(())
}

/// Reads a message. Fails if it is larger than `max_bytes`.
pub(crate) async fn read_frame<R>(reader: &mut R, max_bytes: usize) -> eyre::Result<Message>
where
    R: AsyncRead + Unpin,
{
    let mut share = Share::uncounted();
    Message::decode(&read_bytes(reader, max_bytes, &mut share).await?)
}

/// Reads an encoded message. Fails if it is larger than `max_bytes`. The buffer grows with what arrives, since the
/// length is only a claim.
async fn read_bytes<R>(reader: &mut R, max_bytes: usize, share: &mut Share) -> eyre::Result<Vec<u8>>
where
    R: AsyncRead + Unpin,
{
    let mut length = [0; 4];
    reader.read_exact(&mut length).await?;
    let length = u32::from_le_bytes(length) as usize;
    eyre::ensure!(
        length <= max_bytes,
        "message of {length} bytes exceeds the limit of {max_bytes}"
    );
    let mut bytes = Vec::with_capacity(length.min(FIRST_BUFFER_BYTES));
    while bytes.len() < length {
        if bytes.len() == bytes.capacity() {
            bytes.reserve_exact(bytes.len().min(length - bytes.len()));
        }
        share.set(bytes.capacity());
        let missing = (length - bytes.len()) as u64;
        if (&mut *reader).take(missing).read_buf(&mut bytes).await? == 0 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
    }
    Ok(bytes)
}
