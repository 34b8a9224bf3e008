//! Taking zones, targets and this VM out of service: no new work is accepted and running work
//! finishes.

use std::sync::Arc;

use crate::membership::Override;

use super::effect::Effect;
use super::reducer::Reducer;

impl Reducer {
    /// Returns whether a zone is out of service, by configuration or by a local order given at an
    /// entry VM while the control VMs were unreachable.
    pub fn is_zone_out(&self, zone: &str) -> bool {
        if let Some(order) = self.members.overrides.get(zone) {
            return order.out;
        }
        self.is_zone_out_by_config(zone)
    }

    fn is_zone_out_by_config(&self, zone: &str) -> bool {
        let config = self.config.as_ref();
        config.is_some_and(|config| config.zones_out.iter().any(|out| **out == *zone))
    }

    /// Returns whether this VM's zone is out of service.
    pub(super) fn zone_out(&self) -> bool {
        self.is_zone_out(&self.settings.zone)
    }

    /// Applies an order for a zone given at an entry VM. The higher sequence number wins.
    ///
    /// Of two orders with the same number, the one that takes the zone out wins, because new work
    /// in a zone that should be out does more harm than an idle zone.
    pub(super) fn apply_local_order(&mut self, order: Override) {
        let known = self.members.overrides.get(&order.zone);
        let newer =
            known.is_none_or(|known| (order.sequence, order.out) > (known.sequence, known.out));
        if !newer || self.is_superseded(&order) {
            return;
        }
        let zone = Arc::clone(&order.zone);
        self.members.overrides.insert(zone, order);
        self.reschedule = true;
    }

    /// Returns whether the configuration in force supersedes a local order.
    ///
    /// A later order for the zone ends any local order. Any later configuration ends a local order
    /// that put the zone back into service. An unrelated configuration change does not put a zone
    /// back that was taken out locally.
    fn is_superseded(&self, order: &Override) -> bool {
        let later = self.config_version() > order.config;
        later && (!order.out || self.zone_ordered_at(&order.zone) > order.config)
    }

    /// Returns the configuration version of the latest order for a zone; zero if there was none.
    fn zone_ordered_at(&self, zone: &str) -> u64 {
        let orders = self.config.iter().flat_map(|config| &config.zone_orders);
        orders
            .filter(|(name, _)| **name == *zone)
            .map(|(_, version)| *version)
            .max()
            .unwrap_or(0)
    }

    /// Applies which zones and targets a new configuration takes out of service.
    pub(super) fn update_availability(&mut self) {
        let Some(config) = self.config.clone() else {
            return;
        };
        for id in self.table.ids() {
            if let Some(target) = self.table.get_mut(id) {
                target.out = config.targets_out.contains(&target.announcement.name);
            }
        }
        let superseded: Vec<Arc<str>> = self
            .members
            .overrides
            .values()
            .filter(|order| self.is_superseded(order))
            .map(|order| Arc::clone(&order.zone))
            .collect();
        for zone in superseded {
            self.members.overrides.remove(&zone);
        }
    }

    /// Hands over or refuses the waiting requests that this zone cannot serve, for example because
    /// it is out of service.
    pub(super) fn evict_queue(&mut self, effects: &mut Vec<Effect>) {
        for id in self.queue.waiting_ids() {
            if let Some(denial) = self.check_admission(id) {
                self.deny(id, denial, effects);
            }
        }
    }

    /// Begins a graceful shutdown: readiness is withdrawn and running requests finish.
    pub(super) fn begin_drain(&mut self, effects: &mut Vec<Effect>) {
        self.draining = true;
        self.update_ready(effects);
    }
}
