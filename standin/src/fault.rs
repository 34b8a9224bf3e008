//! Faults on request.

use serde::{Deserialize, Serialize};

/// A fault. Counts say how many of the next answers are affected.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Drops all connections and all state, and returns as a new incarnation.
    Die {
        /// Time until the return, milliseconds.
        for_ms: u64,
        /// Whether it returns cold.
        cold: bool,
    },
    /// Turns cold without a new incarnation.
    GoCold {
        /// Whether announcements still say `warm`; the engine is then slow for a while before it
        /// falls over.
        silent: bool,
    },
    /// Makes no progress while connections stay open.
    Stall {
        /// Duration, milliseconds.
        for_ms: u64,
    },
    /// Stops announcing while it continues to serve.
    Mute {
        /// Duration, milliseconds.
        for_ms: u64,
    },
    /// Delays answers.
    Late {
        /// Delay before the response header, milliseconds.
        by_ms: u64,
        /// Answers affected.
        count: u32,
    },
    /// Sends another attempt's answer.
    Cross {
        /// Answers affected.
        count: u32,
    },
    /// Closes the connection in the middle of a stream.
    Cut {
        /// Events before the cut.
        after_events: u64,
        /// Streams affected.
        count: u32,
    },
    /// Leaves out one event of a stream.
    DropEvent {
        /// Streams affected.
        count: u32,
    },
    /// Sends one event of a stream twice.
    DuplicateEvent {
        /// Streams affected.
        count: u32,
    },
    /// Holds all connections that are open now silent for good; new ones work.
    Silence,
    /// Refuses requests.
    Refuse {
        /// Whether the refusal carries the proof that the request was not run.
        proof: bool,
        /// Whether the request is run in spite of the refusal; only without proof.
        run: bool,
        /// Requests affected.
        count: u32,
    },
    /// Multiplies the reported load.
    LieLoad {
        /// Factor; 1 is the truth.
        factor: f64,
    },
    /// Ends all faults that wait for answers.
    Clear,
}

/// Faults that wait for answers.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pending {
    pub(crate) late: (u64, u32),
    pub(crate) cross: u32,
    pub(crate) cut: (u64, u32),
    pub(crate) drop_event: u32,
    pub(crate) duplicate_event: u32,
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

    /// Records a fault that waits for answers or time; the others are for the server.
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

    /// Takes one from a count.
    pub(crate) fn take(count: &mut u32) -> bool {
        let some = *count > 0;
        *count = count.saturating_sub(1);
        some
    }
}
