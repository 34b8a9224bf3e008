//! Messages between the processes of primrosepin.
//!
//! A [`Frame`] is a versioned envelope around a [`Message`]. A frame is encoded with `postcard` after
//! a two-byte version; a decoder refuses other versions and oversized input before it allocates.

use eyre::{bail, ensure};
use primrosepin_core::message::Message;
use primrosepin_core::vm::Instance;
use serde::{Deserialize, Serialize};

/// Version of the message format. A process refuses frames of other versions.
pub const VERSION: u16 = 1;

/// Largest encoded frame, bytes. Configurations and snapshots are the largest messages.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// A message with its sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// Sender.
    pub from: Instance,
    /// The message.
    pub message: Message,
}

impl Frame {
    /// Creates a frame.
    pub fn new(from: Instance, message: Message) -> Self {
        Self { from, message }
    }

    /// Encodes the frame.
    pub fn encode(&self) -> eyre::Result<Vec<u8>> {
        let bytes = postcard::to_extend(self, VERSION.to_le_bytes().to_vec())?;
        ensure!(
            bytes.len() <= MAX_FRAME_BYTES,
            "frame of {} bytes exceeds the limit",
            bytes.len()
        );
        Ok(bytes)
    }

    /// Decodes a frame.
    pub fn decode(bytes: &[u8]) -> eyre::Result<Self> {
        ensure!(
            bytes.len() <= MAX_FRAME_BYTES,
            "frame of {} bytes exceeds the limit",
            bytes.len()
        );
        let Some((version, body)) = bytes.split_first_chunk::<2>() else {
            bail!("frame is shorter than its version");
        };
        let version = u16::from_le_bytes(*version);
        ensure!(
            version == VERSION,
            "frame has version {version}, expected {VERSION}"
        );
        let (frame, rest) = postcard::take_from_bytes(body)?;
        ensure!(
            rest.is_empty(),
            "frame has {} bytes after its end",
            rest.len()
        );
        Ok(frame)
    }
}
