//! Encoding of the messages that primrosepin processes exchange.
//!
//! A [`Frame`] is a [`Message`] with its sender. Its encoding is a two-byte little-endian version followed
//! by the `postcard` encoding of the frame. The decoder rejects other versions and oversized input before
//! it allocates.

use eyre::{bail, ensure};
use primrosepin_core::message::Message;
use primrosepin_core::vm::Instance;
use serde::{Deserialize, Serialize};

/// Version of the encoding. Frames of any other version are rejected.
pub const VERSION: u16 = 1;

/// Maximum size of an encoded frame, in bytes. Configurations and snapshots are the largest messages.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// A message with its sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// Process that sent the message.
    pub from: Instance,
    /// Payload.
    pub message: Message,
}

impl Frame {
    /// Wraps a message of the process `from`.
    pub fn new(from: Instance, message: Message) -> Self {
        Self { from, message }
    }

    /// Encodes the frame. Fails if the encoding exceeds [`MAX_FRAME_BYTES`].
    pub fn encode(&self) -> eyre::Result<Vec<u8>> {
        let bytes = postcard::to_extend(self, VERSION.to_le_bytes().to_vec())?;
        ensure!(
            bytes.len() <= MAX_FRAME_BYTES,
            "frame of {} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes",
            bytes.len()
        );
        Ok(bytes)
    }

    /// Decodes a frame. Fails on any other version, on oversized, truncated or malformed input, and on
    /// trailing bytes.
    pub fn decode(bytes: &[u8]) -> eyre::Result<Self> {
        ensure!(
            bytes.len() <= MAX_FRAME_BYTES,
            "frame of {} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes",
            bytes.len()
        );
        let Some((version, body)) = bytes.split_first_chunk::<2>() else {
            bail!("frame is too short to contain a version");
        };
        let version = u16::from_le_bytes(*version);
        ensure!(
            version == VERSION,
            "unsupported frame version {version}, expected {VERSION}"
        );
        let (frame, rest) = postcard::take_from_bytes(body)?;
        ensure!(
            rest.is_empty(),
            "{} trailing bytes after the frame",
            rest.len()
        );
        Ok(frame)
    }
}
