//! Zones, targets and this VM leaving service: no new work, running work finishes.

use std::sync::Arc;

use crate::membership::Override;

use super::effect::Effect;
use super::reducer::Reducer;

impl Reducer {
    /// Returns whether a zone takes no new work, by configuration or by an order given at an entry
    /// VM while control was unreachable.
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

    /// Returns whether this zone takes no new work.
    pub(super) fn zone_out(&self) -> bool {
        self.is_zone_out(&self.settings.zone)
    }

    /// Takes a zone order given at an entry VM; the higher sequence number wins.
    ///
    /// Of two orders with the same number the one that takes the zone out wins, because work for a
    /// zone that should be out does more harm than an idle zone.
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

    /// Returns whether the configuration in force replaces a local order.
    ///
    /// A later order for the zone ends any local order, and any later configuration ends one that brought
    /// the zone back. An unrelated change does not bring a zone back that was taken out locally.
    fn is_superseded(&self, order: &Override) -> bool {
        let later = self.config_version() > order.config;
        later && (!order.out || self.zone_ordered_at(&order.zone) > order.config)
    }

    /// Returns the version of the latest accepted order for a zone; zero if there was none.
    fn zone_ordered_at(&self, zone: &str) -> u64 {
        let orders = self.config.iter().flat_map(|config| &config.zone_orders);
        orders
            .filter(|(name, _)| **name == *zone)
            .map(|(_, version)| *version)
            .max()
            .unwrap_or(0)
    }

    /// Applies the availability of zones and targets of a new configuration.
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

    /// Hands waiting requests to other zones when this zone is out, or refuses them.
    pub(super) fn evict_queue(&mut self, effects: &mut Vec<Effect>) {
        for id in self.queue.waiting_ids() {
            if let Some(denial) = self.check_admission(id) {
                self.deny(id, denial, effects);
            }
        }
    }

    /// Begins a graceful shutdown: the balancer stops sending, running requests finish.
    pub(super) fn begin_drain(&mut self, effects: &mut Vec<Effect>) {
        self.draining = true;
        self.update_ready(effects);
    }
}
