//! Sliding-window counter.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Instant;

/// Counts the events in the last `window`.
#[derive(Debug, Clone)]
pub struct SlidingWindow {
    window: Duration,
    times: VecDeque<Instant>,
}

impl SlidingWindow {
    /// Creates an empty window.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            times: VecDeque::new(),
        }
    }

    /// Returns the number of events in the window that ends now.
    pub fn count(&mut self, now: Instant) -> usize {
        while let Some(first) = self.times.front()
            && now.since(*first) > self.window
        {
            self.times.pop_front();
        }
        self.times.len()
    }

    /// Adds an event.
    pub fn add(&mut self, now: Instant) {
        self.times.push_back(now);
    }

    /// Returns whether fewer than `limit` events are in the window.
    pub fn has_room(&mut self, now: Instant, limit: f64) -> bool {
        (self.count(now) as f64) < limit.floor()
    }

    /// Adds an event if fewer than `limit` are in the window; returns whether it did.
    pub fn take(&mut self, now: Instant, limit: f64) -> bool {
        let free = self.has_room(now, limit);
        if free {
            self.add(now);
        }
        free
    }
}
