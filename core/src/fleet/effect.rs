//! Effects of the serving decisions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::{Helper, Id, Load, PlannerMessage, RetryPolicy, Target};

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    BadKey,
    /// No configuration is known yet, or it is not known to be fresh.
    StaleConfig,
    /// No target of the service takes work.
    NoTarget,
    /// No target can serve the request in time.
    Busy,
    /// This VM stops before the request could end.
    ShuttingDown,
    /// The attempts or the budget for repeats are used up; the request did not run.
    NotRun,
    /// A target failed; the request may have run.
    Failed,
    /// The time is over.
    DeadlineExceeded,
}

/// Refuses a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Reason.
    pub reason: Reason,
    /// Whether the request certainly did not run and never will.
    pub not_run: bool,
    /// When a new try may succeed.
    pub retry_after: Option<Duration>,
}

/// Sends a request to a target.
#[derive(Debug, Clone)]
pub struct Dispatch {
    /// The target.
    pub target: Target,
    /// Its name, so that another target at the address refuses the request.
    pub name: Arc<str>,
    /// Its address.
    pub address: SocketAddr,
    /// Work there before this request, own and peers'.
    pub load: Load,
    /// Targets that read parts of the prompt.
    pub helpers: SmallVec<[Helper; 4]>,
    /// Organisation of the caller.
    pub organisation: Option<Arc<str>>,
    /// Rank at the target; 0 comes first.
    pub priority: u8,
    /// Name for memory that is held for this attempt.
    pub reservation: Arc<str>,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Time that is left for the answer.
    pub time_left: Duration,
    /// Longest silence before the answer and within it after which another target is tried.
    pub stall_timeout: Duration,
    /// Time in which the first byte is expected.
    pub predicted: Duration,
    /// How often the request may run.
    pub retry_policy: RetryPolicy,
    /// Whether another target may be tried if this one is silent.
    pub retryable: bool,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// Name of the route, for logs and metrics.
    pub route: Arc<str>,
    /// VM that chose the targets, if it is not this one.
    pub planner: Option<Arc<str>>,
}

/// Work of a VM at the targets, for its peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Grows with each message of one process.
    pub sequence: u64,
    /// Targets by name hash with the work there. A target that is not listed has none.
    pub loads: Vec<(u64, Load)>,
    /// How long the most urgent long prompt in line can wait and be on time, ms; none without any.
    pub min_slack_ms: Option<u32>,
    /// Short prompts in line for a slot.
    pub waiting: u16,
    /// Whether the VM may place long prompts of others.
    pub can_plan: bool,
    /// Requests that run at targets which the planner gave, by their numbers at the VM.
    pub used_grants: Vec<u64>,
}

/// A decision on a request of a peer, for logs.
#[derive(Debug, Clone)]
pub struct PlannerDecision {
    /// Id that the caller gave.
    pub request_id: Arc<str>,
    /// VM that asked.
    pub peer: Arc<str>,
    /// Name of the target that answers; none if the request gets no targets.
    pub target: Option<Arc<str>>,
    /// Targets that read parts of the prompt.
    pub helpers: usize,
    /// Prompt, tokens.
    pub prompt_tokens: u64,
    /// Time since the request arrived.
    pub waited: Duration,
    /// Predicted time to the first event.
    pub predicted: Duration,
    /// Requests in line.
    pub queue_length: usize,
}

/// An effect.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Sends a request to a target.
    Dispatch(Id, Box<Dispatch>),
    /// A request waits in line for the first time, with the length of the line.
    Queue(Id, usize),
    /// Ends a request with a refusal.
    Refuse(Id, Refusal),
    /// Tells peers of the work at targets.
    ReportLoad(LoadReport),
    /// Tells one peer of a long prompt.
    SendToPeer(Arc<str>, PlannerMessage),
    /// The planner gives no answer to a request's question; this VM places the request.
    PlannerTimedOut(Id, Arc<str>),
    /// This VM decided on a request of a peer.
    PlannerDecision(Box<PlannerDecision>),
    /// Another VM places long prompts from now on; none if this VM places its own.
    PlannerChanged(Option<Arc<str>>),
}
