//! Tests of the example settings and inventories.

use std::path::Path;

use primrosepin_config::load;
use primrosepin_config::settings::{Control, Entry};
use primrosepin_core::inventory::Inventory;

/// Guards against examples that are invalid, or whose settings and inventory contradict each other.
#[test]
fn examples_are_valid_and_consistent() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../examples");
    for user in ["kolesar-sport-divizia", "kasturi-loomworks"] {
        let file = |name: &str| Path::new(root).join(user).join(name);
        let inventory: Inventory = load(&file("inventory.json")).expect("inventory");
        let entry: Entry = load(&file("entry.json")).expect("entry");
        let control: Control = load(&file("control.json")).expect("control");

        let zones: Vec<_> = inventory.zones.iter().map(|zone| &zone.name).collect();
        assert!(zones.contains(&&control.zone));
        let zone = inventory.zones.iter().find(|zone| zone.name == entry.zone);
        let entries = &zone.expect("the entry VM's zone").entries;
        assert!(entries.contains(&entry.vm));
        assert_eq!(entries.len(), entry.seeds.len() + 1);
        let all: usize = inventory.zones.iter().map(|zone| zone.entries.len()).sum();
        assert_eq!(all - entries.len(), entry.other_zones.len());

        let replicas: Vec<_> = control
            .replicas
            .iter()
            .map(|replica| replica.peers)
            .collect();
        assert_eq!(entry.control, replicas);
        assert_eq!(entry.operator_keys_sha256, control.operator_keys_sha256);
        assert!((9..=11).contains(&inventory.organisations.len()));
    }
}
