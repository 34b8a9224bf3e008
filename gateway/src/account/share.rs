//! Memory that one message or buffer of a client uses.

use std::time::Duration;

use tokio::time::timeout;

use super::{Account, Id, Limit};

/// A message waited too long for memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exhausted;

/// Memory charged to a client. Dropping it returns the memory.
#[derive(Debug, Default)]
pub struct Share {
    owner: Option<(Account, Id)>,
    bytes: usize,
    has_overdraft: bool,
}

impl Share {
    pub(super) fn new(account: Account, id: Id) -> Self {
        Self {
            owner: Some((account, id)),
            bytes: 0,
            has_overdraft: false,
        }
    }

    /// Returns a share that is charged to nobody, for messages that are small or few.
    pub fn uncounted() -> Self {
        Self::default()
    }

    /// Returns the size, bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Waits until the share may have this size, bytes. Closes clients that make no progress for it.
    pub async fn resize(&mut self, bytes: usize) {
        let Some((account, id)) = self.owner.clone() else {
            return;
        };
        let mut has_waited = false;
        loop {
            if bytes <= self.bytes || self.has_overdraft || self.make_memory(bytes) {
                break;
            }
            if !account.0.is_overdrawn.replace(true) {
                self.has_overdraft = true;
                break;
            }
            if !has_waited {
                has_waited = true;
                self.set_waiting(true);
                let kind = account.0.book.borrow().kind(id);
                if let Some(kind) = kind {
                    account.record_wait(kind, Limit::Memory);
                }
            }
            account.wait_for_memory().await;
        }
        self.set(bytes);
        if has_waited {
            self.set_waiting(false);
            account.signal_memory();
        }
    }

    /// Resizes like [`Share::resize`]; fails if the memory is not there within the limit.
    pub async fn resize_within(&mut self, bytes: usize, limit: Duration) -> Result<(), Exhausted> {
        // Growth that fits needs no timer.
        if bytes <= self.bytes || self.owner.is_none() || self.make_memory(bytes) {
            self.set(bytes);
            return Ok(());
        }
        let resized = timeout(limit, self.resize(bytes)).await;
        self.set_waiting(false);
        resized.map_err(|_elapsed| Exhausted)
    }

    /// Sets the size of memory that is already in use, bytes, and closes clients that make no progress if it does
    /// not fit.
    pub fn set(&mut self, bytes: usize) {
        let Some((account, id)) = &self.owner else {
            return;
        };
        if bytes == self.bytes {
            return;
        }
        if bytes > self.bytes && !self.has_overdraft {
            self.make_memory(bytes);
        }
        let mut book = account.0.book.borrow_mut();
        book.charge(*id, self.bytes, bytes);
        drop(book);
        if bytes < self.bytes {
            account.signal_memory();
        }
        self.bytes = bytes;
    }

    /// Returns whether more memory fits, without closing anyone.
    pub fn has_room(&self, bytes: usize) -> bool {
        let Some((account, id)) = &self.owner else {
            return true;
        };
        account.0.book.borrow().has_memory(*id, 0, bytes)
    }

    /// Returns the time that a request waits for memory.
    pub fn memory_wait(&self) -> Duration {
        let owner = self.owner.as_ref();
        owner.map_or(Duration::MAX, |(account, _)| account.0.limits.memory_wait)
    }

    /// Closes clients that make no progress until this size fits. Returns whether it does.
    fn make_memory(&self, bytes: usize) -> bool {
        let Some((account, id)) = &self.owner else {
            return true;
        };
        let now = primrosepin_process::now();
        let mut book = account.0.book.borrow_mut();
        if book.has_memory(*id, self.bytes, bytes) {
            return true;
        }
        let closed = book.make_memory(now, *id, self.bytes, bytes);
        let fits = book.has_memory(*id, self.bytes, bytes);
        drop(book);
        account.evict(&closed);
        fits
    }

    fn set_waiting(&self, is_waiting: bool) {
        if let Some((account, id)) = &self.owner {
            let now = primrosepin_process::now();
            let mut book = account.0.book.borrow_mut();
            book.set_waiting(now, *id, is_waiting);
        }
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        if let Some((account, _)) = &self.owner
            && self.has_overdraft
        {
            account.0.is_overdrawn.set(false);
        }
        self.set(0);
    }
}
