//! Memory for the bodies that a process buffers, shared by all its requests.
//!
//! A message may use `FREE_BYTES` without accounting. Beyond that it takes blocks of a common pool as it
//! grows. When the pool is empty its reader waits, so that the sender blocks; nothing is lost.
//!
//! # Invariants
//!
//! - The memory in use exceeds the pool by at most one message beside the uncounted bytes: a message that
//!   waits may take the only overdraft, so that messages that wait for each other's blocks still end.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes of a message that are not counted. Most messages are smaller.
const FREE_BYTES: usize = 16 * 1024;

/// Size of a block, bytes.
const BLOCK_BYTES: usize = 16 * 1024;

/// Memory of a process for buffered messages.
#[derive(Debug, Clone)]
pub struct Memory {
    blocks: Arc<Semaphore>,
    /// Held by the message that may grow without blocks.
    overdraft: Arc<Semaphore>,
}

impl Memory {
    /// Creates a pool of this many bytes, rounded down to blocks.
    pub fn new(bytes: usize) -> Self {
        Self {
            blocks: Arc::new(Semaphore::new(bytes / BLOCK_BYTES)),
            overdraft: Arc::new(Semaphore::new(1)),
        }
    }

    /// Returns the account of a new message, which has no blocks yet.
    pub fn share(&self) -> Share {
        Share {
            memory: Some(self.clone()),
            blocks: None,
            overdraft: None,
        }
    }

    /// Returns the free blocks of the pool, bytes.
    pub fn free_bytes(&self) -> usize {
        self.blocks.available_permits() * BLOCK_BYTES
    }
}

/// Memory that one message uses. Dropping it returns its blocks.
#[derive(Debug, Default)]
pub struct Share {
    memory: Option<Memory>,
    blocks: Option<OwnedSemaphorePermit>,
    overdraft: Option<OwnedSemaphorePermit>,
}

impl Share {
    /// Returns an account without a pool, for messages that are small or few.
    pub fn uncounted() -> Self {
        Self::default()
    }

    /// Waits until the message may buffer `bytes` in all. A smaller size than before returns blocks.
    pub async fn resize(&mut self, bytes: usize) {
        let Some(memory) = &self.memory else {
            return;
        };
        let needed = bytes.saturating_sub(FREE_BYTES).div_ceil(BLOCK_BYTES);
        let held = self
            .blocks
            .as_ref()
            .map_or(0, OwnedSemaphorePermit::num_permits);
        if needed < held {
            if let Some(blocks) = &mut self.blocks {
                drop(blocks.split(held - needed));
            }
            return;
        }
        if needed == held || self.overdraft.is_some() {
            return;
        }
        let missing = (needed - held).min(u32::MAX as usize) as u32;
        tokio::select! {
            biased;
            blocks = Arc::clone(&memory.blocks).acquire_many_owned(missing) => {
                // The semaphores are never closed, so the blocks are always there.
                match (&mut self.blocks, blocks) {
                    (Some(known), Ok(blocks)) => known.merge(blocks),
                    (known, blocks) => *known = blocks.ok(),
                }
            }
            overdraft = Arc::clone(&memory.overdraft).acquire_owned() => {
                self.overdraft = overdraft.ok();
            }
        }
    }
}
