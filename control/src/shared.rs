//! State that the parts of a replica share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

use primrosepin_core::consensus::{Id, Members, Role};
use primrosepin_core::registry::State;
use primrosepin_core::time::Instant;
use primrosepin_core::vm;
use tokio::sync::watch;

/// Status that the node publishes to the other parts of the process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct View {
    pub(crate) id: Id,
    pub(crate) role: Role,
    pub(crate) term: u64,
    /// Name and address of the leader, if known.
    pub(crate) leader: Option<(vm::Name, SocketAddr)>,
    pub(crate) members: Members,
    /// Addresses at which members were heard, while this replica has no data.
    pub(crate) contacts: Vec<SocketAddr>,
    /// Index of the last applied entry.
    pub(crate) applied: u64,
    /// Whether all entries known to be committed are applied; see
    /// [`primrosepin_core::consensus::Reducer::has_caught_up`].
    pub(crate) is_current: bool,
    /// Store error after which the replica acknowledges nothing until the store is reopened.
    pub(crate) failure: Option<String>,
}

/// State that the parts of a replica share.
#[derive(Debug)]
pub(crate) struct Shared {
    state: RwLock<State>,
    view: watch::Sender<View>,
    /// Last time at which a quorum was known to follow this leader, microseconds of
    /// [`primrosepin_process::now`]; zero unless leader.
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
            contacts: Vec::new(),
            applied: 0,
            is_current: false,
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

    /// Returns the state machine for writing; only the node thread may call this.
    pub(crate) fn state_mut(&self) -> RwLockWriteGuard<'_, State> {
        self.state.write().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the view that the node published last.
    pub(crate) fn view(&self) -> View {
        self.view.borrow().clone()
    }

    /// Publishes the node's view; notifies watchers only if it changed.
    pub(crate) fn publish_view(&self, view: View) {
        self.view.send_if_modified(|published| {
            let changed = *published != view;
            if changed {
                *published = view;
            }
            changed
        });
    }

    /// Returns the last time at which a quorum was known to follow this leader; none unless leader.
    pub(crate) fn last_quorum_contact(&self) -> Option<Instant> {
        let micros = self.last_quorum_contact_us.load(Ordering::Relaxed);
        (micros > 0).then(|| Instant::from_micros(micros))
    }

    /// Publishes the last time at which a quorum was known to follow this leader.
    pub(crate) fn publish_quorum_contact(&self, at: Option<Instant>) {
        self.last_quorum_contact_us
            .store(at.map_or(0, Instant::as_micros), Ordering::Relaxed);
    }

    /// Returns a receiver that is notified of changes of the view.
    pub(crate) fn watch(&self) -> watch::Receiver<View> {
        self.view.subscribe()
    }
}
