//! Announcements that must reach those that route before the call of a target is answered.
//!
//! A target that leaves stops serving some time after its call was answered, so the answer is a promise: entry
//! VMs place no further request on it. This VM may end right after the answer, and it may know little: neither
//! the target, whose earlier announcements went to other control VMs, nor the entry VMs.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use primrosepin_core::fleet::Entry;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use super::hub::{Hub, LinkId};

/// Time to wait for acknowledgements before a target's call fails. The target waits one second for the
/// response, and then asks another control VM.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(700);

/// Acknowledgement of a relayed announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Acknowledgement {
    /// A control VM stores it and has passed it on to its entry VMs.
    Control,
    /// The entry VM at the other end of this link uses it.
    Entry(LinkId),
}

/// Relays that await acknowledgement, by number.
#[derive(Debug, Default)]
pub(super) struct Relays {
    pending: RefCell<HashMap<u64, mpsc::UnboundedSender<Acknowledgement>>>,
    next: Cell<u64>,
}

impl Relays {
    /// Assigns a number to a relay; the returned channel receives its acknowledgements.
    fn begin(&self) -> (u64, mpsc::UnboundedReceiver<Acknowledgement>) {
        let number = self.next.get();
        self.next.set(number + 1);
        let (sender, acknowledgements) = mpsc::unbounded_channel();
        self.pending.borrow_mut().insert(number, sender);
        (number, acknowledgements)
    }

    /// Records an acknowledgement.
    pub(super) fn acknowledge(&self, number: u64, acknowledgement: Acknowledgement) {
        if let Some(relay) = self.pending.borrow().get(&number) {
            // Fails only if the wait has ended.
            let _ = relay.send(acknowledgement);
        }
    }

    fn end(&self, number: u64) {
        self.pending.borrow_mut().remove(&number);
    }
}

/// Relays an announcement to the other control VMs and to the linked entry VMs. Returns whether those that
/// route know of it: another control VM has passed it on, or all linked entry VMs have acknowledged it.
pub(super) async fn relay(hub: &Hub, entry: &Entry) -> bool {
    let (number, mut acknowledgements) = hub.relays.begin();
    hub.relay_to_control(number, entry);
    let mut entry_vms = hub.relay_to_entry_vms(number, entry);
    let has_entry_vms = !entry_vms.is_empty();
    let deadline = Instant::now() + ACKNOWLEDGEMENT_TIMEOUT;
    let mut known = false;
    while !known
        && let Ok(Some(acknowledgement)) = timeout_at(deadline, acknowledgements.recv()).await
    {
        known = match acknowledgement {
            Acknowledgement::Control => true,
            Acknowledgement::Entry(link) => {
                entry_vms.remove(&link);
                has_entry_vms && entry_vms.is_empty()
            }
        };
    }
    hub.relays.end(number);
    known
}
