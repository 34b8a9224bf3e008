//! State that the parts of a replica share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

use primrosepin_core::consensus::{Id, Members, Role};
use primrosepin_core::registry::State;
use primrosepin_core::time::Instant;
use primrosepin_core::vm;
use tokio::sync::watch;

/// What the node shows of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct View {
    pub(crate) id: Id,
    pub(crate) role: Role,
    pub(crate) term: u64,
    /// Name and address of the leader.
    pub(crate) leader: Option<(vm::Name, SocketAddr)>,
    pub(crate) members: Members,
    pub(crate) applied: u64,
    /// Why the replica acknowledges nothing.
    pub(crate) failure: Option<String>,
}

/// State that the parts of a replica share.
#[derive(Debug)]
pub(crate) struct Shared {
    state: RwLock<State>,
    view: watch::Sender<View>,
    /// Time up to which a quorum followed this leader, microseconds of [`primrosepin_process::now`]; zero
    /// unless leader.
    last_quorum_contact_us: AtomicU64,
}

impl Shared {
    pub(crate) fn new() -> Self {
        let view = View {
            id: Id(0),
            role: Role::Blank,
            term: 0,
            leader: None,
            members: Members::default(),
            applied: 0,
            failure: None,
        };
        Self {
            state: RwLock::default(),
            view: watch::Sender::new(view),
            last_quorum_contact_us: AtomicU64::new(0),
        }
    }

    /// Returns the state machine.
    pub(crate) fn state(&self) -> RwLockReadGuard<'_, State> {
        self.state.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the state machine for the node thread.
    pub(crate) fn state_mut(&self) -> RwLockWriteGuard<'_, State> {
        self.state.write().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the node's view.
    pub(crate) fn view(&self) -> View {
        self.view.borrow().clone()
    }

    /// Publishes the node's view.
    pub(crate) fn publish_view(&self, view: View) {
        self.view.send_if_modified(|shown| {
            let changed = *shown != view;
            if changed {
                *shown = view;
            }
            changed
        });
    }

    /// Returns the time up to which a quorum is known to have followed this leader.
    pub(crate) fn last_quorum_contact(&self) -> Option<Instant> {
        let micros = self.last_quorum_contact_us.load(Ordering::Relaxed);
        (micros > 0).then(|| Instant::from_micros(micros))
    }

    /// Publishes the time up to which a quorum followed.
    pub(crate) fn publish_quorum_contact(&self, at: Option<Instant>) {
        self.last_quorum_contact_us
            .store(at.map_or(0, Instant::as_micros), Ordering::Relaxed);
    }

    /// Returns a receiver of changes of the view.
    pub(crate) fn watch(&self) -> watch::Receiver<View> {
        self.view.subscribe()
    }
}
