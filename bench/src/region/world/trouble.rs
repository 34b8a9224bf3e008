//! Troubles: engines and VMs that stop, start, slow down and leave.

use std::time::Duration;

use primrosepin_core::fleet::Id;
use rand::RngExt;

use super::super::Trouble;
use super::{ANNOUNCED, COLD, CONFIGURED, Held, ToCaller, What, World, address};

impl World<'_> {
    /// Draws a share of numbers.
    fn draw(&mut self, of: usize, share: f64) -> Vec<usize> {
        let mut all: Vec<usize> = (0..of).collect();
        let count = (of as f64 * share).round() as usize;
        (0..count.min(of))
            .map(|_| {
                let index = self.random.random_range(0..all.len());
                all.swap_remove(index)
            })
            .collect()
    }

    pub(super) fn begin(&mut self, index: usize) {
        let workers = self.workers.len();
        match self.day.troubles[index] {
            Trouble::ZoneOut { zone, .. } => {
                self.zones_out.push(zone);
                self.reconfigure();
            }
            Trouble::ZoneCold { zone, .. } => {
                let zone = (0..workers).filter(|worker| self.workers[*worker].zone == zone);
                self.chosen[index] = zone.collect();
                self.stop(index);
            }
            Trouble::Crash { share, .. } => {
                self.chosen[index] = self.draw(workers, share);
                self.stop(index);
            }
            Trouble::Slow { share, factor, .. } => {
                self.chosen[index] = self.draw(workers, share);
                for worker in self.chosen[index].clone() {
                    self.workers[worker].engine.set_slowdown(factor);
                }
            }
            Trouble::Leave { share, .. } => {
                self.chosen[index] = self.draw(workers, share);
                for worker in self.chosen[index].clone() {
                    self.workers[worker].leaving = true;
                    let event = self.announcement(worker);
                    self.send_all(ANNOUNCED, &event);
                }
            }
            Trouble::Lossy { share, .. } => self.loss = share,
            Trouble::VmsLost { share, .. } => {
                self.chosen[index] = self.draw(self.vms.len(), share);
                for vm in self.chosen[index].clone() {
                    self.lose(vm);
                }
            }
        }
    }

    pub(super) fn end_trouble(&mut self, index: usize) {
        match self.day.troubles[index] {
            Trouble::ZoneOut { zone, .. } => {
                self.zones_out.retain(|other| *other != zone);
                self.reconfigure();
            }
            Trouble::ZoneCold { .. } | Trouble::Crash { .. } => {
                for worker in self.chosen[index].clone() {
                    self.start(worker);
                }
            }
            Trouble::Slow { .. } => {
                for worker in self.chosen[index].clone() {
                    self.workers[worker].engine.set_slowdown(1.0);
                }
            }
            Trouble::Leave { .. } => self.stop(index),
            Trouble::Lossy { .. } => self.loss = 0.0,
            Trouble::VmsLost { .. } => {
                for vm in self.chosen[index].clone() {
                    let reducer = self.reducer(vm, self.vms[vm].zone);
                    let state = &mut self.vms[vm];
                    state.reducer = reducer;
                    state.up = true;
                    self.introduce(vm);
                }
            }
        }
    }

    fn reconfigure(&mut self) {
        self.revision += 1;
        let event = self.config();
        self.send_all(CONFIGURED, &event);
    }

    /// Stops the engines that a trouble has chosen, without a word.
    fn stop(&mut self, index: usize) {
        for worker in self.chosen[index].clone() {
            self.workers[worker].up = false;
            self.workers[worker].engine.crash();
            // Heads lose the parts of their helpers; the requests stall until their VMs give them up.
        }
    }

    /// Starts an engine again, cold and under another name.
    fn start(&mut self, number: usize) {
        let now = self.now;
        let seed = self.seed;
        let worker = &mut self.workers[number];
        worker.up = true;
        worker.born += 1;
        worker.sequence = 0;
        worker.name = format!("{seed}-{number}-{}", worker.born).into();
        worker.cold_until = now + COLD;
        let born = worker.born;
        self.by_address
            .insert(address(number, born), (number, born));
        self.push(now, What::Announce(number, born));
    }

    /// Kills an entry VM: its callers see their connections close, its engines those of theirs.
    fn lose(&mut self, vm: usize) {
        self.vms[vm].up = false;
        self.vms[vm].start += 1;
        let lost: Vec<(Id, Held)> = self
            .held
            .iter()
            .filter(|((other, _), _)| *other == vm)
            .map(|((_, id), held)| (*id, *held))
            .collect();
        for (id, held) in lost {
            self.held.remove(&(vm, id));
            if let Some(attempt) = held.attempt {
                self.cancel(attempt, Duration::ZERO);
            }
            self.tell_caller(Duration::ZERO, held.call, ToCaller::Closed);
        }
    }
}
