//! In-memory part of the replicated log.

use std::collections::VecDeque;

use super::{Entry, Members, Payload, Snapshot};

/// Entries after a base index, with the history of membership changes.
#[derive(Debug, Clone, Default)]
pub(super) struct Log {
    base_index: u64,
    base_term: u64,
    entries: VecDeque<Entry>,
    /// Members with the index from which they are in force, ascending; the last are in force now.
    members: Vec<(u64, Members)>,
}

impl Log {
    /// Creates an empty log that continues after a snapshot.
    pub(super) fn from_snapshot(snapshot: &Snapshot) -> Self {
        Self {
            base_index: snapshot.index,
            base_term: snapshot.term,
            entries: VecDeque::new(),
            members: vec![(snapshot.index, snapshot.members.clone())],
        }
    }

    pub(super) fn base_index(&self) -> u64 {
        self.base_index
    }

    pub(super) fn last_index(&self) -> u64 {
        self.entries
            .back()
            .map_or(self.base_index, |entry| entry.index)
    }

    pub(super) fn last_term(&self) -> u64 {
        self.entries
            .back()
            .map_or(self.base_term, |entry| entry.term)
    }

    /// Returns the members in force.
    pub(super) fn members(&self) -> Option<&Members> {
        self.members.last().map(|(_, members)| members)
    }

    /// Returns the index from which the members are in force.
    pub(super) fn members_index(&self) -> u64 {
        self.members.last().map_or(0, |(index, _)| *index)
    }

    /// Returns the members at an index.
    pub(super) fn members_at(&self, at: u64) -> Option<&Members> {
        let members = self.members.iter().rev().find(|(index, _)| *index <= at);
        members.map(|(_, members)| members)
    }

    pub(super) fn get(&self, index: u64) -> Option<&Entry> {
        let position = index.checked_sub(self.base_index + 1)?;
        self.entries.get(position as usize)
    }

    /// Returns the term at an index, if it is known.
    pub(super) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns entries starting at an index, up to a total size. Returns at least one entry if there is
    /// one, even if it exceeds the size.
    pub(super) fn entries_from(&self, index: u64, max_bytes: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let skip = index.saturating_sub(self.base_index + 1) as usize;
        let fits = |entry: &&Entry| {
            let is_first = bytes == 0;
            bytes += entry.payload.approximate_size();
            is_first || bytes <= max_bytes
        };
        self.entries
            .iter()
            .skip(skip)
            .take_while(fits)
            .cloned()
            .collect()
    }

    /// Appends an entry; its index must follow the last index.
    pub(super) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if let Payload::Members(members) = &entry.payload {
            self.members.push((entry.index, members.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes the entry at an index and all after it.
    pub(super) fn truncate(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base_index + 1) as usize;
        self.entries.truncate(keep);
        while self.members.len() > 1 && self.members_index() >= index {
            self.members.pop();
        }
    }

    /// Returns the first index of the run of entries around `index` that have the same term.
    pub(super) fn first_of_term(&self, index: u64) -> u64 {
        let mut first = index;
        while first > self.base_index + 1 && self.term_at(first - 1) == self.term_at(index) {
            first -= 1;
        }
        first
    }

    /// Drops entries covered by a snapshot at `index`, except for the last `retained` ones.
    pub(super) fn compact(&mut self, index: u64, retained: u64) {
        let base = index.saturating_sub(retained).max(self.base_index);
        if let Some(term) = self.term_at(base) {
            self.entries.drain(..(base - self.base_index) as usize);
            self.base_term = term;
            self.base_index = base;
        }
        while self.members.get(1).is_some_and(|(at, _)| *at <= base) {
            self.members.remove(0);
        }
    }

    /// Returns the entries, oldest first.
    pub(super) fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }
}
