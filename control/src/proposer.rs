//! Proposes commands at the leader.

use std::sync::Arc;
use std::sync::mpsc::SyncSender;
use std::time::{Duration, Instant};

use primrosepin_core::consensus::Role;
use primrosepin_core::message::Message;
use primrosepin_core::registry::{Command, Outcome};
use primrosepin_telemetry::metrics::Label;
use primrosepin_transport::Endpoint;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use crate::meters::Meters;
use crate::node::{Decision, Input};
use crate::shared::Shared;

/// Timeout of one proposal. A commit takes one round trip and two syncs; a leader without a quorum steps
/// down after 0.6 s.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before a proposal is retried; a change of the node's view ends it early.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Proposes commands at the leader, which is this replica or another one.
#[derive(Debug, Clone)]
pub(crate) struct Proposer {
    pub(crate) shared: Arc<Shared>,
    pub(crate) node: SyncSender<Input>,
    pub(crate) endpoint: Endpoint,
    pub(crate) meters: Meters,
}

impl Proposer {
    /// Proposes a command on this replica only.
    pub(crate) async fn propose(&self, command: Command) -> Decision {
        let (reply, decision) = oneshot::channel();
        // The queue is full because the node waits for its disk.
        if self.node.try_send(Input::Propose(command, reply)).is_err() {
            return Decision::NotAccepted;
        }
        match timeout(PROPOSE_TIMEOUT, decision).await {
            Ok(Ok(decision)) => decision,
            // The node dropped the command after a store error, or did not answer in time.
            Ok(Err(_)) | Err(_) => Decision::Unknown,
        }
    }

    /// Proposes a command at the leader and retries until an outcome is known or `within` has passed.
    /// Retries are safe: commands carry an id, so a second copy in the log gets the outcome of the first.
    pub(crate) async fn submit(&self, command: Command, within: Duration) -> Decision {
        let start = Instant::now();
        let deadline = start + within;
        let mut changes = self.shared.watch();
        let mut maybe_accepted = false;
        let decision = loop {
            match self.propose_at_leader(&command).await {
                decided @ Decision::Committed(_) => break decided,
                Decision::Unknown => maybe_accepted = true,
                Decision::NotAccepted => {}
            }
            if Instant::now() + RETRY_DELAY >= deadline {
                break if maybe_accepted {
                    Decision::Unknown
                } else {
                    Decision::NotAccepted
                };
            }
            tokio::select! {
                _ = changes.changed() => {}
                () = sleep(RETRY_DELAY) => {}
            }
        };
        let outcome = match &decision {
            Decision::Committed(_) => "decided",
            Decision::NotAccepted => "not_accepted",
            Decision::Unknown => "unknown",
        };
        self.meters
            .proposals
            .add(1, &[Label::new("outcome", outcome)]);
        let elapsed = start.elapsed().as_secs_f64();
        self.meters.commit.record(elapsed, &[]);
        decision
    }

    async fn propose_at_leader(&self, command: &Command) -> Decision {
        let view = self.shared.view();
        let Some((_, address)) = view.leader else {
            return Decision::NotAccepted;
        };
        let mut changes = self.shared.watch();
        let leader_changed = changes.wait_for(|view| {
            let leader = view.leader.as_ref();
            leader.is_none_or(|(_, other)| *other != address)
        });
        let proposed = async {
            if view.role == Role::Leader {
                return self.propose(command.clone()).await;
            }
            let message = Message::Propose(command.clone());
            let answer = self
                .endpoint
                .call(address, message, PROPOSE_TIMEOUT * 2)
                .await;
            match answer {
                Ok(Message::Proposed(Some(Outcome::Undecided))) => Decision::Unknown,
                Ok(Message::Proposed(Some(outcome))) => Decision::Committed(outcome),
                Ok(Message::Proposed(None)) => Decision::NotAccepted,
                Ok(_) | Err(_) => Decision::Unknown,
            }
        };
        tokio::select! {
            biased;
            decision = proposed => decision,
            // A leader that lost its network may never answer.
            _ = leader_changed => Decision::Unknown,
        }
    }
}
