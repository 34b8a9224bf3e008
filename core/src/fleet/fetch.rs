//! From which control VM an entry VM fetches a new configuration, and when.
//!
//! A change is told to all entry VMs at the same moment. If each of them asked the VM that told first, one
//! link would carry all copies, and impatient repeats would multiply them. So an entry VM asks the control
//! VM of its own zone where there is one, has one request in flight at a time, and fetches the newest
//! revision only.
//!
//! # Invariants
//!
//! - At most one request is in flight within [`RESPONSE_TIMEOUT`].
//! - As long as some source that tells of a newer revision answers, the newest revision is fetched within
//!   [`LOCAL_WAIT`] and one [`RESPONSE_TIMEOUT`] for each source that does not.

use std::time::Duration;

use smallvec::SmallVec;

use crate::time::Instant;

/// How long a source in another zone waits for one in this zone to tell of the same revision.
const LOCAL_WAIT: Duration = Duration::from_millis(80);

/// Time without a response after which another source is asked.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Shortest interval between two requests, so that changes in quick succession are fetched together.
const MIN_INTERVAL: Duration = Duration::from_millis(200);

/// The time between two requests is at least this many times that of applying a configuration, so that
/// large ones in quick succession leave the VM its processor for requests.
const APPLY_FACTOR: u32 = 8;

/// Longest interval that the time of applying a configuration may cause.
const MAX_INTERVAL: Duration = Duration::from_millis(800);

/// A control VM that told of a revision.
#[derive(Debug, Clone)]
struct Source<S> {
    id: S,
    local: bool,
    revision: u64,
    /// When it was last asked without a response so far.
    asked_at: Option<Instant>,
}

/// Fetches of the configuration by one entry VM. `S` identifies a control VM.
#[derive(Debug, Clone)]
pub struct Fetch<S> {
    sources: SmallVec<[Source<S>; 8]>,
    /// When a revision was first told that is newer than the applied one.
    outdated_since: Option<Instant>,
    in_flight: Option<(S, Instant)>,
    asked_at: Option<Instant>,
    interval: Duration,
}

impl<S> Default for Fetch<S> {
    fn default() -> Self {
        Self {
            sources: SmallVec::new(),
            outdated_since: None,
            in_flight: None,
            asked_at: None,
            interval: MIN_INTERVAL,
        }
    }
}

impl<S> Fetch<S>
where
    S: Copy + PartialEq,
{
    /// Records that a control VM told of a revision. `local` tells whether it is in the zone of this VM.
    pub fn heard(&mut self, now: Instant, id: S, local: bool, revision: u64, applied: u64) {
        match self.sources.iter_mut().find(|source| source.id == id) {
            Some(source) => {
                source.local = local;
                source.revision = source.revision.max(revision);
            }
            None => self.sources.push(Source {
                id,
                local,
                revision,
                asked_at: None,
            }),
        }
        if revision > applied && self.outdated_since.is_none() {
            self.outdated_since = Some(now);
        }
    }

    /// Removes a control VM whose link was lost.
    pub fn lost(&mut self, id: S) {
        self.sources.retain(|source| source.id != id);
        if self
            .in_flight
            .as_ref()
            .is_some_and(|(asked, _)| *asked == id)
        {
            self.in_flight = None;
        }
    }

    /// Records a response, and how long it took to apply it.
    pub fn received(&mut self, now: Instant, id: S, applied: u64, apply_time: Duration) {
        if self
            .in_flight
            .as_ref()
            .is_some_and(|(asked, _)| *asked == id)
        {
            self.in_flight = None;
        }
        if let Some(source) = self.sources.iter_mut().find(|source| source.id == id) {
            source.asked_at = None;
        }
        self.interval = (apply_time * APPLY_FACTOR).clamp(MIN_INTERVAL, MAX_INTERVAL);
        let outdated = self.sources.iter().any(|source| source.revision > applied);
        self.outdated_since = outdated.then_some(now);
    }

    /// Returns the control VM to ask now, if any; counts as asked.
    pub fn next(&mut self, now: Instant, applied: u64) -> Option<S> {
        let outdated_since = self.outdated_since?;
        let newest = self.sources.iter().map(|source| source.revision).max()?;
        if newest <= applied {
            self.outdated_since = None;
            return None;
        }
        let waits = |at: Instant, time: Duration| now.since(at) < time;
        if self
            .in_flight
            .as_ref()
            .is_some_and(|(_, at)| waits(*at, RESPONSE_TIMEOUT))
            || self.asked_at.is_some_and(|at| waits(at, self.interval))
        {
            return None;
        }
        let may_be_remote =
            !waits(outdated_since, LOCAL_WAIT) || !self.sources.iter().any(|source| source.local);
        let source = self
            .sources
            .iter_mut()
            .filter(|source| source.revision == newest && (source.local || may_be_remote))
            // A source that did not respond is asked again only after all others.
            .min_by_key(|source| (source.asked_at, !source.local))?;
        source.asked_at = Some(now);
        self.asked_at = Some(now);
        self.in_flight = Some((source.id, now));
        Some(source.id)
    }
}
