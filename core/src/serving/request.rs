//! Requests between arrival and final outcome.

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

/// A request that has no final outcome yet.
#[derive(Debug)]
pub(super) struct Request {
    pub arrival: Box<Arrival>,
    /// Grows with arrival.
    pub order: u64,
    pub arrived: Instant,
    pub deadline: Instant,
    pub class: Class,
    pub cost: Cost,
    /// Index of the targets that serve the request's service and model.
    pub group: u32,
    pub stage: Stage,
    /// Number of the next attempt.
    pub next_attempt: u16,
    /// Whether an earlier attempt ended without proof that it was not run.
    pub may_have_run: bool,
    /// Whether a target began to answer.
    pub started: bool,
    /// Generated tokens that reached the caller.
    pub delivered: u32,
    /// Targets on which an attempt failed.
    pub failed_on: SmallVec<[Id; 2]>,
    /// From when the request may ask for a cold credit, so that others can ask after a denial.
    pub credit_request_from: Instant,
    /// Zones that refused the request.
    pub refused_by: SmallVec<[Arc<str>; 1]>,
    /// Whether the ledger may hold a claim for the request.
    pub claimed: bool,
    /// Whether an attempt was sent.
    pub dispatched: bool,
    /// Whether the request must be spread over several targets.
    pub spanning: bool,
}

/// What a request waits for.
#[derive(Debug)]
pub(super) enum Stage {
    /// The ledger's answer to the claim.
    Claiming,
    /// A target.
    Queued,
    /// A cold credit.
    Credit {
        attempt: Attempt,
        choice: Choice,
        generation: u64,
        incarnation: u64,
        requested: Instant,
    },
    /// Parts of a spanning request at the coordinator.
    Span {
        attempt: Attempt,
        requested: Instant,
    },
    /// The engines' answers to reservations.
    Reserving {
        attempt: Attempt,
        head: Id,
        parts: Parts,
        since: Instant,
    },
    /// The end of an attempt.
    Running(Run),
    /// The end of its run in another zone.
    HandedOver {
        /// Name of the zone.
        zone: Arc<str>,
    },
}

/// An attempt that was sent to a target.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub attempt: Attempt,
    /// Attempt that the engine knows; differs from `attempt` after a resume.
    pub engine_attempt: Attempt,
    pub target: Id,
    pub generation: u64,
    pub name: Arc<str>,
    pub address: SocketAddr,
    /// Whether the target is an engine, which holds memory until a cancel.
    pub engine: bool,
    /// Prompt tokens that the target has to prefill.
    pub prefill_tokens: u64,
    pub sent: Instant,
    /// Predicted time from dispatch to the first token, microseconds.
    pub ttft_us: u64,
    /// Predicted time from the first token to the end of the longest possible answer, microseconds.
    pub decode_us: u64,
    pub last_progress: Instant,
    /// Whether the response header arrived.
    pub header: bool,
    pub first_token: bool,
    /// Whether the first token came within the predicted time.
    pub healthy: bool,
    /// Whether a probe decides about the attempt.
    pub probe_pending: bool,
    /// Times that the attempt was silent and its target alive.
    pub stalls: u8,
    /// Resumes since the last progress.
    pub resumes: u8,
    /// Cold credit that the attempt holds.
    pub credit: Option<HeldCredit>,
    /// Reservations of a spanning request.
    pub parts: Parts,
}

impl Request {
    /// Returns the next attempt and counts it.
    pub const fn new_attempt(&mut self) -> Attempt {
        let attempt = Attempt {
            request: self.arrival.id,
            number: self.next_attempt,
        };
        self.next_attempt += 1;
        attempt
    }

    /// Returns the running attempt.
    pub const fn run(&self) -> Option<&Run> {
        match &self.stage {
            Stage::Running(run) => Some(run),
            _ => None,
        }
    }

    /// Returns the running attempt.
    pub const fn run_mut(&mut self) -> Option<&mut Run> {
        match &mut self.stage {
            Stage::Running(run) => Some(run),
            _ => None,
        }
    }
}
