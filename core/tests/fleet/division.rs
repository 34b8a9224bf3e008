//! Division of targets between medium and long prompts.

use std::sync::Arc;
use std::time::Duration;

use primrosepin_core::fleet::{Config, Event, Id, Limits};

use crate::support::{Fleet, ms, organisations, request, routes, services};

const VMS: usize = 24;
const ENGINES: usize = 24;

/// Objective of the route for medium prompts.
const OBJECTIVE: Duration = Duration::from_millis(1_500);

/// Creates a fleet; with priorities, the routes are the more urgent the shorter their objective.
fn fleet(has_priorities: bool) -> Fleet {
    let mut routes = routes();
    if has_priorities {
        for (priority, route) in routes.iter_mut().take(3).enumerate() {
            route.priority = priority as u8;
        }
    }
    let organisations = Some(organisations());
    let config = Config::new(2, routes, services(), organisations, Limits::default());
    let mut fleet = Fleet::new(VMS, ENGINES);
    fleet.apply_to_all(&Event::Configured {
        revision: 2,
        config: Arc::new(config.unwrap()),
        zones_out: Vec::new(),
    });
    fleet.confirm(2);
    fleet.run(ms(300));
    fleet
}

/// Returns how many of 16 medium prompts are sent to targets in time to meet their objective while long prompts fill the
/// region and a zone is out. The VMs in `cut` hear nothing of the others from the middle of the burst on.
fn medium_prompts_in_time(has_priorities: bool, cut: &[usize]) -> usize {
    let mut fleet = fleet(has_priorities);
    let config = fleet.vms[0].config().cloned().unwrap();
    fleet.apply_to_all(&Event::Configured {
        revision: 3,
        config,
        zones_out: vec!["zone-2".into()],
    });
    fleet.confirm(3);
    let mut medium = Vec::new();
    for round in 0..16 {
        if round == 8 {
            fleet.partitioned.extend_from_slice(cut);
        }
        fleet.arrive(round % VMS, request("long", 260_000));
        fleet.run(ms(40));
        medium.push(fleet.arrive((round + 5) % VMS, request("medium", 45_000)));
        fleet.run(ms(40));
    }
    fleet.run(ms(400));
    let in_time = |id: &&Id| {
        let dispatch = fleet.dispatch(**id);
        dispatch.is_some_and(|dispatch| dispatch.predicted <= OBJECTIVE)
    };
    medium.iter().filter(in_time).count()
}

/// Guards against medium prompts that a burst of long, less urgent ones keeps from their objective while a zone is out.
#[test]
fn long_prompts_leave_room_for_more_urgent_medium_ones() {
    assert_eq!(medium_prompts_in_time(true, &[]), 16);
    // Without priorities the usual reserve holds, which is too small for this load.
    assert!(medium_prompts_in_time(false, &[]) < 16);
}

/// Guards against medium prompts that are late because VMs are cut off from the others, the planner among them, in the
/// middle of the burst.
#[test]
fn medium_prompts_start_also_while_vms_are_cut_off() {
    let cut: Vec<usize> = (0..VMS).filter(|vm| vm % 3 == 1).collect();
    let in_time = medium_prompts_in_time(true, &cut);
    assert!(in_time >= 14, "{in_time} of 16 in time");
}
