//! Which replicas of a deployment with open membership vote.
//!
//! VMs are replaced at new addresses, the new one first or the old one first, and their disks are lost. A voter
//! that will not return costs as much as the loss of a sound one: two of them among five voters leave no further
//! loss that is tolerated, and after that loss nobody can change the members any more. [`Voters`] therefore keeps
//! no lost voter for which there is another replica, and no voter more than needed.
//!
//! # Rules
//!
//! - The number of voters is odd, at most [`MAX_VOTERS`], and as high as the live replicas allow. One more would
//!   raise the quorum and tolerate no further loss.
//! - Lost voters count as voters only up to a minimum, which is twice the number of tolerated losses plus one: with
//!   fewer, a command could be committed on too few disks.
//! - The other replicas are learners. They hold all data and take the place of a lost voter at once.
//! - A learner that joined after all voters of its zone takes the place of the first of them, before any of them is
//!   lost: in a planned replacement the new VM starts first. The voters are also spread over the zones.
//! - A lost voter becomes a learner, so that it can vote again when it returns; a lost learner is removed.
//!
//! Each change adds or removes one voter, and the live voters that remain form a quorum.

use std::time::Duration;

use smallvec::SmallVec;

use super::{Id, Member, Members};
use crate::zone;

/// Maximum number of voters. Five voters tolerate the loss of two.
const MAX_VOTERS: usize = 5;

/// Time without contact after which a member does not count as live: ten heartbeats.
const LOST_AFTER: Duration = Duration::from_secs(1);

/// Time without contact after which a member does not count towards the quorum that must remain after a
/// change, and a learner does not become a voter.
const SILENT_AFTER: Duration = Duration::from_millis(600);

/// Time without contact after which a learner is removed. If it returns later, it joins again without data.
const REMOVE_AFTER: Duration = Duration::from_secs(3);

/// What the leader knows of a member.
#[derive(Debug, Clone)]
pub(super) struct Health {
    /// Time since the member last responded to the leader.
    pub(super) silent_for: Duration,
    /// Whether it announced that it shuts down.
    pub(super) is_leaving: bool,
    /// Whether it has synced everything that is committed.
    pub(super) has_caught_up: bool,
    /// Its availability zone, if known.
    pub(super) zone: Option<zone::Name>,
}

impl Health {
    fn is_live(&self) -> bool {
        self.silent_for < LOST_AFTER && !self.is_leaving
    }

    /// Returns whether the member responds right now.
    fn responds(&self) -> bool {
        self.silent_for < SILENT_AFTER && !self.is_leaving
    }
}

/// The choice of voters.
#[derive(Debug)]
pub(super) struct Voters<'m> {
    members: &'m Members,
    /// All members with their health, in the order in which they joined.
    replicas: SmallVec<[(&'m Member, Health); 8]>,
    /// Number of voters below which lost ones are kept, unless a learner takes their place.
    min_voters: usize,
}

impl<'m> Voters<'m> {
    pub(super) fn new<F>(members: &'m Members, min_voters: usize, health: F) -> Self
    where
        F: Fn(&Member) -> Health,
    {
        let replicas = members.list.iter().map(|member| (member, health(member)));
        Self {
            members,
            replicas: replicas.collect(),
            min_voters: min_voters.min(MAX_VOTERS),
        }
    }

    /// Returns the members after the next change; none if no change is needed or possible.
    pub(super) fn next(&self) -> Option<Members> {
        self.without_lost_disk()
            .or_else(|| self.without_lost_voter())
            .or_else(|| self.with_promoted_learner())
            .or_else(|| self.without_surplus_voter())
            .or_else(|| self.without_lost_learner())
    }

    fn voters(&self) -> impl Iterator<Item = &(&'m Member, Health)> {
        self.replicas.iter().filter(|(member, _)| member.voter)
    }

    /// Returns the learners that may become voters now.
    fn candidates(&self) -> impl Iterator<Item = &(&'m Member, Health)> {
        let learners = self.replicas.iter().filter(|(member, _)| !member.voter);
        learners.filter(|(_, health)| health.responds() && health.has_caught_up)
    }

    /// Returns the number of voters to reach.
    fn wanted(&self) -> usize {
        let is_usable = |member: &Member, health: &Health| member.voter || health.has_caught_up;
        let live = self
            .replicas
            .iter()
            .filter(|(member, health)| health.is_live() && is_usable(member, health))
            .count();
        let odd = if live > 2 && live.is_multiple_of(2) {
            live - 1
        } else {
            live
        };
        odd.min(MAX_VOTERS).max(self.min_voters)
    }

    /// Removes a replica whose VM has joined again without data. It cannot respond any more, so this never raises the
    /// number of live replicas that a quorum needs. A voter stays until its successor can vote.
    fn without_lost_disk(&self) -> Option<Members> {
        let has_successor = |lost: &Member| {
            // Members are listed in the order in which they joined.
            let later = self.replicas.iter().rev();
            later
                .take_while(|(member, _)| member.id != lost.id)
                .any(|(member, health)| {
                    member.vm == lost.vm && (!lost.voter || health.has_caught_up)
                })
        };
        let (lost, _) = self
            .replicas
            .iter()
            .find(|(member, health)| !health.responds() && has_successor(member))?;
        let mut next = self.members.clone();
        next.remove(|member| member.id == lost.id);
        Some(next)
    }

    /// Makes a learner of a voter that is lost or leaves, if there are enough voters without it or another
    /// learner can vote in its place.
    fn without_lost_voter(&self) -> Option<Members> {
        let is_dispensable =
            self.voters().count() > self.min_voters || self.candidates().next().is_some();
        let (lost, _) = self.voters().find(|(_, health)| !health.is_live())?;
        is_dispensable.then(|| self.without_voter(lost.id))?
    }

    /// Makes a voter of a learner, if there are too few voters or it is a better choice than one of them.
    fn with_promoted_learner(&self) -> Option<Members> {
        // Prefers zones without a voter, and then replicas that joined late.
        let learner = if self.voters().count() < self.wanted() {
            self.candidates()
                .max_by_key(|(_, health)| !self.has_voter_in(health.zone.as_ref()))
        } else {
            self.candidates()
                .filter(|learner| self.improves(learner))
                .last()
        };
        let (learner, _) = learner?;
        let mut next = self.members.clone();
        next.set_voter(learner.id, true);
        Some(next)
    }

    /// Returns whether a learner should vote instead of a voter: it joined after all voters of its zone, or no
    /// voter is in its zone while several share another one.
    fn improves(&self, (learner, health): &(&'m Member, Health)) -> bool {
        let Some(zone) = &health.zone else {
            return false;
        };
        if self.voters().any(|(_, health)| health.zone.is_none()) {
            return false;
        }
        if !self.has_voter_in(Some(zone)) {
            return self.largest_zone().is_some();
        }
        // Members are listed in the order in which they joined.
        let last = self.replicas.iter().rfind(|(member, health)| {
            (member.voter || member.id == learner.id) && health.zone.as_ref() == Some(zone)
        });
        last.is_some_and(|(member, _)| member.id == learner.id)
    }

    fn has_voter_in(&self, zone: Option<&zone::Name>) -> bool {
        zone.is_some() && self.voters_in(zone) > 0
    }

    fn voters_in(&self, zone: Option<&zone::Name>) -> usize {
        self.voters()
            .filter(|(_, health)| health.zone.as_ref() == zone)
            .count()
    }

    /// Returns the zone with the most voters, if it has several.
    fn largest_zone(&self) -> Option<&zone::Name> {
        let zones = self.voters().filter_map(|(_, health)| health.zone.as_ref());
        zones
            .max_by_key(|zone| self.voters_in(Some(*zone)))
            .filter(|zone| self.voters_in(Some(*zone)) > 1)
    }

    /// Makes a learner of a voter that is not needed: the one that joined first in the zone with the most voters,
    /// or the one that joined last if no two share a zone.
    fn without_surplus_voter(&self) -> Option<Members> {
        if self.voters().count() <= self.wanted() {
            return None;
        }
        let (surplus, _) = match self.largest_zone() {
            Some(zone) => self
                .voters()
                .find(|(_, health)| health.zone.as_ref() == Some(zone))?,
            None => self.voters().last()?,
        };
        self.without_voter(surplus.id)
    }

    fn without_voter(&self, id: Id) -> Option<Members> {
        let mut next = self.members.clone();
        next.set_voter(id, false);
        let remaining = self.voters().filter(|(voter, _)| voter.id != id);
        let responding = remaining.filter(|(_, health)| health.responds()).count();
        (responding > 0 && responding >= next.quorum()).then_some(next)
    }

    fn without_lost_learner(&self) -> Option<Members> {
        let (lost, _) = self
            .replicas
            .iter()
            .find(|(member, health)| !member.voter && health.silent_for >= REMOVE_AFTER)?;
        let mut next = self.members.clone();
        next.remove(|member| member.id == lost.id);
        Some(next)
    }
}
