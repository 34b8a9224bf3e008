//! Fault injection.

use serde::{Deserialize, Serialize};

/// A fault to inject. `count` is the number of following answers, streams or requests affected.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Crashes: drops all connections and all state, and restarts as a new incarnation.
    Die {
        /// Time until the restart, milliseconds.
        for_ms: u64,
        /// Whether the target is cold after the restart.
        cold: bool,
    },
    /// Makes the target cold without a new incarnation.
    GoCold {
        /// Whether announcements still say `warm`. An engine is then slow for a while before excess
        /// load makes it crash; a plain service ignores this field.
        silent: bool,
    },
    /// Stops all work while connections stay open.
    Stall {
        /// Duration, milliseconds.
        for_ms: u64,
    },
    /// Stops announcements while serving continues.
    Mute {
        /// Duration, milliseconds.
        for_ms: u64,
    },
    /// Delays responses.
    Late {
        /// Delay before the response header, milliseconds.
        by_ms: u64,
        /// Answers affected.
        count: u32,
    },
    /// Sends the answer of another attempt.
    Cross {
        /// Answers affected.
        count: u32,
    },
    /// Closes the connection in the middle of an answer.
    Cut {
        /// Events sent before the connection is closed; a plain service sends half of the body.
        after_events: u64,
        /// Streams affected.
        count: u32,
    },
    /// Omits one event of a stream.
    DropEvent {
        /// Streams affected.
        count: u32,
    },
    /// Sends one event of a stream twice.
    DuplicateEvent {
        /// Streams affected.
        count: u32,
    },
    /// Stops all traffic on the connections that are open now, without closing them; new
    /// connections work.
    Silence,
    /// Refuses requests.
    Refuse {
        /// Whether the refusal states that the request was not run (`x-primrosepin-ran: 0`).
        proof: bool,
        /// Whether the request is run in spite of the refusal; ignored with `proof`.
        run: bool,
        /// Requests affected.
        count: u32,
    },
    /// Misreports the load in announcements.
    LieLoad {
        /// Factor on the reported load; 1 reports the actual load.
        factor: f64,
    },
    /// Removes all faults that are pending or active for a time.
    Clear,
}

/// Injected faults that apply to following answers or for a time.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pending {
    /// Delay in milliseconds, and number of answers.
    pub(crate) late: (u64, u32),
    pub(crate) cross: u32,
    /// Events before the connection is closed, and number of streams.
    pub(crate) cut: (u64, u32),
    pub(crate) drop_event: u32,
    pub(crate) duplicate_event: u32,
    /// Whether the refusal states that the request was not run, whether it is run, and number of
    /// requests.
    pub(crate) refuse: (bool, bool, u32),
    pub(crate) stalled_until_us: u64,
    pub(crate) muted_until_us: u64,
    pub(crate) load_factor: f64,
}

impl Pending {
    pub(crate) fn new() -> Self {
        Self {
            load_factor: 1.0,
            ..Self::default()
        }
    }

    /// Stores a fault that applies to answers or for a time. The server handles the others.
    pub(crate) fn set(&mut self, fault: &Fault, now_us: u64) {
        match *fault {
            Fault::Stall { for_ms } => self.stalled_until_us = now_us + for_ms * 1000,
            Fault::Mute { for_ms } => self.muted_until_us = now_us + for_ms * 1000,
            Fault::Late { by_ms, count } => self.late = (by_ms, count),
            Fault::Cross { count } => self.cross = count,
            Fault::Cut {
                after_events,
                count,
            } => self.cut = (after_events, count),
            Fault::DropEvent { count } => self.drop_event = count,
            Fault::DuplicateEvent { count } => self.duplicate_event = count,
            Fault::Refuse { proof, run, count } => self.refuse = (proof, run && !proof, count),
            Fault::LieLoad { factor } => self.load_factor = factor,
            Fault::Clear => *self = Self::new(),
            Fault::Die { .. } | Fault::GoCold { .. } | Fault::Silence => {}
        }
    }

    /// Decrements a count; returns whether it was above zero.
    pub(crate) fn take(count: &mut u32) -> bool {
        let some = *count > 0;
        *count = count.saturating_sub(1);
        some
    }
}
