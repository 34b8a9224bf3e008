//! State of a request between arrival and final outcome.

use std::net::SocketAddr;
use std::sync::Arc;

use smallvec::SmallVec;

use crate::request::{Arrival, Attempt, Class};
use crate::target::Id;
use crate::time::Instant;

use super::cost::Cost;
use super::credit::HeldCredit;
use super::placement::Choice;
use super::span::Parts;

/// A request without a final outcome.
#[derive(Debug)]
pub(super) struct Request {
    pub arrival: Box<Arrival>,
    /// Arrival sequence number.
    pub order: u64,
    pub arrived: Instant,
    pub deadline: Instant,
    pub class: Class,
    pub cost: Cost,
    /// Index of the group of targets that serve the request's service and model.
    pub group: u32,
    pub stage: Stage,
    /// Number of the next attempt.
    pub next_attempt: u16,
    /// Whether an earlier attempt ended without proof that the target did not run it.
    pub may_have_run: bool,
    /// Whether a target has started to answer.
    pub started: bool,
    /// Generated tokens delivered to the caller.
    pub delivered: u32,
    /// Targets on which an attempt failed. They are avoided while others are available.
    pub failed_on: SmallVec<[Id; 2]>,
    /// Earliest time of the next request for a cold credit. Delayed after a denial so that other
    /// requests get a chance.
    pub credit_request_from: Instant,
    /// Zones that refused to take the request over.
    pub refused_by: SmallVec<[Arc<str>; 1]>,
    /// Whether the ledger may hold a claim for the request.
    pub claimed: bool,
    /// Whether any attempt has been dispatched.
    pub dispatched: bool,
    /// Whether the request exceeds one engine's memory and must span several targets.
    pub spanning: bool,
}

/// What the request is waiting for.
#[derive(Debug)]
pub(super) enum Stage {
    /// The ledger's answer to the claim.
    Claiming,
    /// Placement on a target.
    Queued,
    /// A cold credit from the coordinator.
    Credit {
        attempt: Attempt,
        choice: Choice,
        generation: u64,
        incarnation: u64,
        requested: Instant,
    },
    /// The coordinator's allocation for a spanning request.
    Span {
        attempt: Attempt,
        requested: Instant,
    },
    /// The engines' answers to the reservations.
    Reserving {
        attempt: Attempt,
        head: Id,
        parts: Parts,
        since: Instant,
    },
    /// The end of the running attempt.
    Running(Run),
    /// The outcome from another zone.
    HandedOver {
        /// Name of that zone.
        zone: Arc<str>,
    },
}

/// An attempt that was dispatched to a target.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub attempt: Attempt,
    /// Attempt id known to the engine. Differs from `attempt` after a resume.
    pub engine_attempt: Attempt,
    pub target: Id,
    pub generation: u64,
    pub name: Arc<str>,
    pub address: SocketAddr,
    /// Whether the target is an engine, which holds memory for the attempt until it is cancelled.
    pub engine: bool,
    /// Prompt tokens that the target has to prefill.
    pub prefill_tokens: u64,
    pub sent: Instant,
    /// Predicted time from dispatch to the first token, microseconds.
    pub ttft_us: u64,
    /// Predicted time from the first token to the end of an answer of maximum length, microseconds.
    pub decode_us: u64,
    pub last_progress: Instant,
    /// Whether the response header has arrived.
    pub header: bool,
    pub first_token: bool,
    /// Whether the first token arrived within the predicted time.
    pub healthy: bool,
    /// Whether a probe is in progress that decides about this attempt.
    pub probe_pending: bool,
    /// How often the attempt stalled while its target answered probes.
    pub stalls: u8,
    /// Resumes since the last progress.
    pub resumes: u8,
    /// Cold credit held by the attempt.
    pub credit: Option<HeldCredit>,
    /// Memory reservations of a spanning request.
    pub parts: Parts,
}

impl Request {
    /// Creates the id of the next attempt.
    pub const fn new_attempt(&mut self) -> Attempt {
        let attempt = Attempt {
            request: self.arrival.id,
            number: self.next_attempt,
        };
        self.next_attempt += 1;
        attempt
    }

    /// Returns the running attempt, if any.
    pub const fn run(&self) -> Option<&Run> {
        match &self.stage {
            Stage::Running(run) => Some(run),
            _ => None,
        }
    }

    /// Returns the running attempt, if any.
    pub const fn run_mut(&mut self) -> Option<&mut Run> {
        match &mut self.stage {
            Stage::Running(run) => Some(run),
            _ => None,
        }
    }
}
