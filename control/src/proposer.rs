//! Brings a command to the leader.

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

/// Time for one try. A commit takes one round trip and two syncs; a leader without a quorum steps down
/// after 0.6 s.
const TRY_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest pause before a new try, if nothing is heard of a new leader.
const PAUSE: Duration = Duration::from_millis(50);

/// Brings commands to the leader, on this replica or another one.
#[derive(Debug, Clone)]
pub(crate) struct Proposer {
    pub(crate) shared: Arc<Shared>,
    pub(crate) node: SyncSender<Input>,
    pub(crate) endpoint: Endpoint,
    pub(crate) meters: Meters,
}

impl Proposer {
    /// Proposes on this replica only.
    pub(crate) async fn propose(&self, command: Command) -> Decision {
        let (respond, decision) = oneshot::channel();
        // A full queue means that the node waits for its disk.
        if self
            .node
            .try_send(Input::Propose(command, respond))
            .is_err()
        {
            return Decision::NotAccepted;
        }
        match timeout(TRY_TIMEOUT, decision).await {
            Ok(Ok(decision)) => decision,
            // The node dropped the command after an error of the store, or is slow.
            Ok(Err(_)) | Err(_) => Decision::Unknown,
        }
    }

    /// Proposes wherever the leader is, again and again until an outcome is known or time is up. Commands
    /// carry an id, so that a second copy in the log gets the first one's outcome.
    pub(crate) async fn submit(&self, command: Command, within: Duration) -> Decision {
        let start = Instant::now();
        let end = start + within;
        let mut changes = self.shared.watch();
        let mut doubt = false;
        let decision = loop {
            match self.attempt(&command).await {
                decided @ Decision::Committed(_) => break decided,
                Decision::Unknown => doubt = true,
                Decision::NotAccepted => {}
            }
            if Instant::now() + PAUSE >= end {
                break if doubt {
                    Decision::Unknown
                } else {
                    Decision::NotAccepted
                };
            }
            tokio::select! {
                _ = changes.changed() => {}
                () = sleep(PAUSE) => {}
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

    async fn attempt(&self, command: &Command) -> Decision {
        let view = self.shared.view();
        let Some((_, address)) = view.leader else {
            return Decision::NotAccepted;
        };
        let mut changes = self.shared.watch();
        let moved = changes.wait_for(|view| {
            let leader = view.leader.as_ref();
            leader.is_none_or(|(_, other)| *other != address)
        });
        let tried = async {
            if view.role == Role::Leader {
                return self.propose(command.clone()).await;
            }
            let message = Message::Propose(command.clone());
            let answer = self.endpoint.call(address, message, TRY_TIMEOUT * 2).await;
            match answer {
                Ok(Message::Proposed(Some(Outcome::Undecided))) => Decision::Unknown,
                Ok(Message::Proposed(Some(outcome))) => Decision::Committed(outcome),
                Ok(Message::Proposed(None)) => Decision::NotAccepted,
                Ok(_) | Err(_) => Decision::Unknown,
            }
        };
        tokio::select! {
            biased;
            decision = tried => decision,
            // A leader that was cut off silently may never answer.
            _ = moved => Decision::Unknown,
        }
    }
}
