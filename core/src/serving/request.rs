//! Requests between arrival and final outcome.

use std::net::SocketAddr;

use smallvec::SmallVec;

use crate::request::{Arrival, Attempt, Class};
use crate::target::Id;
use crate::time::Instant;

use super::cost::Cost;

/// A request that has no final outcome yet.
#[derive(Debug)]
pub(super) struct Request {
    pub arrival: Box<Arrival>,
    pub deadline: Instant,
    pub class: Class,
    pub cost: Cost,
    /// Index of the targets that serve the request's service and model.
    pub group: u32,
    pub stage: Stage,
    /// Number of the next attempt.
    pub next_attempt: u16,
    /// Whether an attempt was sent whose end does not prove that it was not run.
    pub may_have_run: bool,
    /// Whether an engine began to answer.
    pub started: bool,
    /// Generated tokens that reached the caller.
    pub delivered: u32,
    /// Targets on which an attempt failed.
    pub failed_on: SmallVec<[Id; 2]>,
}

/// What a request waits for.
#[derive(Debug)]
pub(super) enum Stage {
    /// A target.
    Queued,
    /// The end of an attempt.
    Running(Run),
}

/// An attempt that was sent to a target.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub attempt: Attempt,
    /// Attempt that the engine knows; differs from `attempt` after a resume.
    pub engine_attempt: Attempt,
    pub target: Id,
    pub address: SocketAddr,
    /// Whether the target is an engine, which holds memory until a cancel.
    pub engine: bool,
    pub first_token: bool,
}

impl Request {
    /// Returns the next attempt and counts it.
    pub fn attempt(&mut self) -> Attempt {
        let attempt = Attempt {
            request: self.arrival.id,
            number: self.next_attempt,
        };
        self.next_attempt += 1;
        attempt
    }
}
