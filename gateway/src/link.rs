//! A connection between two processes that carries messages both ways.
//!
//! Each side sends a pulse when it has nothing else to send, and gives the connection up when nothing
//! arrives: a connection may go silent for good while new ones work. Messages are framed by their
//! length, four bytes in little-endian order.

use std::io;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::message::{MAX_BYTES, Message};

/// Pause after which a pulse is sent.
const PULSE: Duration = Duration::from_millis(500);

/// Silence after which a link is given up: three pulses are missing.
const SILENCE: Duration = Duration::from_millis(1_800);

/// Messages that wait to be written. Senders drop further ones, as on a lossy network.
pub const QUEUE_MESSAGES: usize = 1_024;

/// Runs a link until one side closes it, goes silent or drops `outgoing`. `take` gets each message.
pub async fn run<F>(
    stream: TcpStream,
    mut outgoing: mpsc::Receiver<Message>,
    mut take: F,
) -> eyre::Result<()>
where
    F: FnMut(Message),
{
    let (mut reader, mut writer) = stream.into_split();
    let receive = async {
        loop {
            match timeout(SILENCE, read(&mut reader)).await {
                Ok(Ok(Message::Heartbeat)) => {}
                Ok(Ok(message)) => take(message),
                Ok(Err(error)) => return Err(error),
                Err(_) => return Err(io::Error::from(io::ErrorKind::TimedOut).into()),
            }
        }
    };
    let send = async {
        let mut bytes = Vec::new();
        loop {
            match timeout(PULSE, outgoing.recv()).await {
                Ok(None) => return Ok(()),
                Ok(Some(message)) => append(&mut bytes, &message)?,
                Err(_) => append(&mut bytes, &Message::Heartbeat)?,
            }
            // Messages that wait share one write.
            while let Ok(message) = outgoing.try_recv() {
                append(&mut bytes, &message)?;
            }
            writer.write_all(&bytes).await?;
            bytes.clear();
        }
    };
    tokio::select! {
        ended = receive => ended,
        ended = send => ended,
    }
}

fn append(bytes: &mut Vec<u8>, message: &Message) -> eyre::Result<()> {
    let body = message.encode()?;
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&body);
    Ok(())
}

async fn read(reader: &mut OwnedReadHalf) -> eyre::Result<Message> {
    let mut length = [0; 4];
    reader.read_exact(&mut length).await?;
    let length = u32::from_le_bytes(length) as usize;
    eyre::ensure!(length <= MAX_BYTES, "message of {length} bytes");
    let mut bytes = vec![0; length];
    reader.read_exact(&mut bytes).await?;
    Message::decode(&bytes)
}
