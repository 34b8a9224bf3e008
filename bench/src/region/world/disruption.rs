//! Disruptions: engines and VMs that crash, restart, slow down and drain.

use std::time::Duration;

use primrosepin_core::fleet::Id;
use rand::RngExt;

use super::super::Disruption;
use super::{
    ANNOUNCE_DELAY, COLD_START, CONFIG_DELAY, CallerEvent, Pending, SimEvent, World, address,
};

impl World<'_> {
    /// Samples a share of the indexes below `of`, without replacement.
    fn sample(&mut self, of: usize, share: f64) -> Vec<usize> {
        let mut all: Vec<usize> = (0..of).collect();
        let count = (of as f64 * share).round() as usize;
        (0..count.min(of))
            .map(|_| {
                let index = self.random.random_range(0..all.len());
                all.swap_remove(index)
            })
            .collect()
    }

    pub(super) fn begin_disruption(&mut self, index: usize) {
        let targets = self.targets.len();
        match self.day.disruptions[index] {
            Disruption::ZoneOut { zone, .. } => {
                self.zones_out.push(zone);
                self.reconfigure();
            }
            Disruption::ZoneCold { zone, .. } => {
                let zone = (0..targets).filter(|target| self.targets[*target].zone == zone);
                self.affected[index] = zone.collect();
                self.crash_targets(index);
            }
            Disruption::Crash { share, .. } => {
                self.affected[index] = self.sample(targets, share);
                self.crash_targets(index);
            }
            Disruption::Slow { share, factor, .. } => {
                self.affected[index] = self.sample(targets, share);
                for target in self.affected[index].clone() {
                    self.targets[target].engine.set_slowdown(factor);
                }
            }
            Disruption::Leave { share, .. } => {
                self.affected[index] = self.sample(targets, share);
                for target in self.affected[index].clone() {
                    self.targets[target].draining = true;
                    let event = self.announcement(target);
                    self.broadcast(ANNOUNCE_DELAY, &event);
                }
            }
            Disruption::Lossy { share, .. } => self.loss = share,
            Disruption::VmsLost { share, .. } => {
                self.affected[index] = self.sample(self.vms.len(), share);
                for vm in self.affected[index].clone() {
                    self.kill_vm(vm);
                }
            }
        }
    }

    pub(super) fn end_disruption(&mut self, index: usize) {
        match self.day.disruptions[index] {
            Disruption::ZoneOut { zone, .. } => {
                self.zones_out.retain(|other| *other != zone);
                self.reconfigure();
            }
            Disruption::ZoneCold { .. } | Disruption::Crash { .. } => {
                for target in self.affected[index].clone() {
                    self.restart_target(target);
                }
            }
            Disruption::Slow { .. } => {
                for target in self.affected[index].clone() {
                    self.targets[target].engine.set_slowdown(1.0);
                }
            }
            Disruption::Leave { .. } => self.crash_targets(index),
            Disruption::Lossy { .. } => self.loss = 0.0,
            Disruption::VmsLost { .. } => {
                for vm in self.affected[index].clone() {
                    let reducer = self.reducer(vm, self.vms[vm].zone);
                    let state = &mut self.vms[vm];
                    state.reducer = reducer;
                    state.up = true;
                    self.initialize(vm);
                }
            }
        }
    }

    fn reconfigure(&mut self) {
        self.revision += 1;
        let event = self.config();
        self.broadcast(CONFIG_DELAY, &event);
    }

    /// Crashes the engines affected by a disruption, without notice to the VMs.
    fn crash_targets(&mut self, index: usize) {
        for target in self.affected[index].clone() {
            self.targets[target].up = false;
            self.targets[target].engine.crash();
            // If the engine was a helper, its part of the prompt is lost, and the request stalls at
            // its primary until the stall timeout of the VM.
        }
    }

    /// Restarts an engine, in cold start and under a new name and address.
    fn restart_target(&mut self, number: usize) {
        let now = self.now;
        let seed = self.seed;
        let target = &mut self.targets[number];
        target.up = true;
        target.incarnation += 1;
        target.sequence = 0;
        target.name = format!("{seed}-{number}-{}", target.incarnation).into();
        target.cold_until = now + COLD_START;
        let incarnation = target.incarnation;
        self.by_address
            .insert(address(number, incarnation), (number, incarnation));
        self.push(now, SimEvent::Announce(number, incarnation));
    }

    /// Kills an entry VM: its connections to callers and engines close.
    fn kill_vm(&mut self, vm: usize) {
        self.vms[vm].up = false;
        self.vms[vm].incarnation += 1;
        let lost: Vec<(Id, Pending)> = self
            .pending
            .iter()
            .filter(|((other, _), _)| *other == vm)
            .map(|((_, id), pending)| (*id, *pending))
            .collect();
        for (id, pending) in lost {
            self.pending.remove(&(vm, id));
            if let Some(attempt) = pending.attempt {
                self.cancel(attempt, Duration::ZERO);
            }
            self.send_caller(Duration::ZERO, pending.call, CallerEvent::Closed);
        }
    }
}
