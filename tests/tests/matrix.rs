//! Fault matrix of the request path: injects each fault at each stage of each kind of request.
//!
//! The test compares its table with `docs/fault-matrix.md`, and writes that file first if
//! `PRIMROSEPIN_UPDATE_DOCS` is set.

use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

use primrosepin_tests::world::{Options, Stage};
use primrosepin_tests::{Promise, Step, Violation, World};

/// Seed of every cell.
const SEED: u64 = 7;

/// Time limit for a request to reach a stage; longer than the queueing deadline of the longest prompt.
const STAGE_LIMIT: Duration = Duration::from_secs(90);

/// Kind of the request, which selects a table of the matrix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Repeatable,
    AtMostOnce,
    Cold,
    Spanning,
}

impl Kind {
    const ALL: [Self; 4] = [
        Self::Repeatable,
        Self::AtMostOnce,
        Self::Cold,
        Self::Spanning,
    ];

    const fn name(self) -> &'static str {
        match self {
            Self::Repeatable => "repeatable request of 2,000 tokens",
            Self::AtMostOnce => "at-most-once request of 2,000 tokens, resent after each fault",
            Self::Cold => "request of 2,000 tokens while all targets of the zone are cold",
            Self::Spanning => "request of 900,000 tokens over several targets",
        }
    }

    const fn send(self, node: u8) -> Step {
        match self {
            Self::Repeatable | Self::Cold => Step::Send {
                node,
                kilotokens: 2,
                key: None,
            },
            Self::AtMostOnce => Step::Send {
                node,
                kilotokens: 2,
                key: Some(1),
            },
            Self::Spanning => Step::Send {
                node,
                kilotokens: 900,
                key: None,
            },
        }
    }
}

/// Fault or pair of faults, which selects a row of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    EngineDies,
    EngineCold,
    ConnectionSilent,
    StreamCut,
    EngineDrains,
    ProcessDies,
    ProcessPauses,
    VmIsolated,
    ControlCut,
    ZoneOut,
    TargetOut,
    Shutdown,
    CallerGone,
    DieAndColdStart,
    IsolatedThenDies,
    TwoEnginesDie,
}

impl Fault {
    const ALL: [Self; 16] = [
        Self::EngineDies,
        Self::EngineCold,
        Self::ConnectionSilent,
        Self::StreamCut,
        Self::EngineDrains,
        Self::ProcessDies,
        Self::ProcessPauses,
        Self::VmIsolated,
        Self::ControlCut,
        Self::ZoneOut,
        Self::TargetOut,
        Self::Shutdown,
        Self::CallerGone,
        Self::DieAndColdStart,
        Self::IsolatedThenDies,
        Self::TwoEnginesDie,
    ];

    const fn name(self) -> &'static str {
        match self {
            Self::EngineDies => "engine dies",
            Self::EngineCold => "engine turns cold",
            Self::ConnectionSilent => "connection goes silent",
            Self::StreamCut => "stream is cut",
            Self::EngineDrains => "engine drains",
            Self::ProcessDies => "entry process dies",
            Self::ProcessPauses => "entry process pauses 5 s",
            Self::VmIsolated => "entry VM isolated 6 s",
            Self::ControlCut => "zone cut off from control 6 s",
            Self::ZoneOut => "zone taken out",
            Self::TargetOut => "target taken out",
            Self::Shutdown => "graceful shutdown",
            Self::CallerGone => "caller disconnects",
            Self::DieAndColdStart => "entry process dies, engine turns cold",
            Self::IsolatedThenDies => "entry VM isolated, engine dies",
            Self::TwoEnginesDie => "two engines die",
        }
    }

    fn inject(self, world: &mut World, node: u8) {
        let engine = world.last_engine().unwrap_or(0) as u8;
        let wait = Step::Wait(6_000);
        let steps: Vec<Step> = match self {
            Self::EngineDies => vec![Step::Kill(engine)],
            Self::EngineCold => vec![Step::Cold(engine)],
            Self::ConnectionSilent => vec![Step::Silence(engine)],
            Self::StreamCut => vec![Step::Cut(engine)],
            Self::EngineDrains => vec![Step::Drain(engine), wait],
            Self::ProcessDies => vec![Step::Crash(node), wait, Step::Restart(node)],
            Self::ProcessPauses => vec![Step::Pause(node), Step::Wait(5_000), Step::Resume(node)],
            Self::VmIsolated => vec![Step::Isolate(node), wait, Step::Heal],
            Self::ControlCut => vec![Step::CutControl(0), wait, Step::Heal],
            Self::ZoneOut => vec![Step::ZoneOut(0), wait],
            Self::TargetOut => vec![Step::TargetOut(engine), wait],
            Self::Shutdown => vec![Step::Shutdown(node)],
            Self::CallerGone => vec![Step::CallerGone(node)],
            Self::DieAndColdStart => {
                vec![Step::Crash(node), Step::Cold(engine), Step::Restart(node)]
            }
            Self::IsolatedThenDies => {
                vec![Step::Isolate(node), Step::Kill(engine), wait, Step::Heal]
            }
            Self::TwoEnginesDie => vec![Step::Kill(engine), Step::Kill((engine + 1) % 3)],
        };
        for step in steps {
            world.step(step);
        }
    }
}

/// Result of one fault at one stage.
enum Cell {
    /// This kind of request never reaches the stage.
    Absent,
    Kept,
    Broken(Violation),
}

fn run(kind: Kind, stage: Stage, fault: Fault) -> Cell {
    let mut reached = false;
    for node in 0..3u8 {
        let mut world = World::new(Options::default(), SEED);
        if kind == Kind::Cold {
            for engine in 0..3 {
                world.step(Step::Cold(engine));
            }
            world.step(Step::Wait(1_000));
        }
        world.step(kind.send(node));
        if !world.run_until(stage, STAGE_LIMIT) {
            continue;
        }
        reached = true;
        fault.inject(&mut world, node);
        // More requests after the fault; with an idempotency key they are resends by a caller that got no
        // answer.
        world.step(kind.send((node + 1) % 3));
        world.step(kind.send(4));
        world.step(Step::Wait(4_000));
        world.step(Kind::Repeatable.send((node + 1) % 3));
        world.settle();
        if let Some(violation) = world.violations().first() {
            return Cell::Broken(violation.clone());
        }
    }
    if reached { Cell::Kept } else { Cell::Absent }
}

const fn stage_name(stage: Stage) -> &'static str {
    match stage {
        Stage::Admitted => "admitted",
        Stage::LedgerAsked => "ledger asked",
        Stage::LedgerCommitted => "ledger committed",
        Stage::CoordinatorAsked => "coordinator asked",
        Stage::Reserved => "parts reserved",
        Stage::Dispatched => "dispatched",
        Stage::Running => "running",
        Stage::FirstToken => "first token",
        Stage::Streaming => "streaming",
        Stage::Ended => "ended",
    }
}

/// Guards against a fault, or one of some pairs of faults, that breaks a promise at any stage of a request.
#[test]
fn every_fault_at_every_stage_keeps_the_promises() {
    let mut failures = String::new();
    let mut table = String::new();
    let mut kept = 0;
    for kind in Kind::ALL {
        let stages: Vec<Stage> = Stage::ALL
            .into_iter()
            .filter(|&stage| !matches!(run(kind, stage, Fault::CallerGone), Cell::Absent))
            .collect();
        let names: Vec<_> = stages.iter().map(|&stage| stage_name(stage)).collect();
        writeln!(table, "## {}\n", kind.name()).unwrap();
        writeln!(table, "| fault | {} |", names.join(" | ")).unwrap();
        writeln!(table, "|---|{}", "---|".repeat(stages.len())).unwrap();
        let rows: Vec<Vec<Cell>> = std::thread::scope(|scope| {
            let stages = &stages;
            let rows = Fault::ALL.map(|fault| {
                scope.spawn(move || {
                    stages
                        .iter()
                        .map(|&stage| run(kind, stage, fault))
                        .collect()
                })
            });
            rows.into_iter().map(|row| row.join().unwrap()).collect()
        });
        for (fault, row) in Fault::ALL.into_iter().zip(rows) {
            write!(table, "| {} |", fault.name()).unwrap();
            for (&stage, cell) in stages.iter().zip(row) {
                match cell {
                    Cell::Absent => table.push_str(" – |"),
                    Cell::Kept => {
                        kept += 1;
                        table.push_str(" kept |");
                    }
                    Cell::Broken(violation) => {
                        write!(table, " **{}** |", violation.promise.as_str()).unwrap();
                        writeln!(failures, "{kind:?}, {fault:?} at {stage:?}: {violation}")
                            .unwrap();
                    }
                }
            }
            table.push('\n');
        }
        table.push('\n');
    }
    let promises: Vec<_> = Promise::ALL
        .iter()
        .map(|promise| promise.as_str())
        .collect();
    let page = format!(
        "# Fault matrix of the request path\n\nWritten by `PRIMROSEPIN_UPDATE_DOCS=1 cargo test -p \
         primrosepin-tests --test matrix` (seed {SEED}). Each cell runs the request through each of \
         three entry VMs, injects the fault when the request reaches the stage, sends more work, \
         heals all faults and checks the promises {}. Stages that a kind of request never reaches \
         have no column. {kept} cells kept all promises.\n\n{table}",
        promises.join(", ")
    );
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/fault-matrix.md");
    if std::env::var_os("PRIMROSEPIN_UPDATE_DOCS").is_some() {
        std::fs::write(&path, &page).unwrap();
    }
    assert!(failures.is_empty(), "broken promises:\n{failures}");
    assert!(kept > 300, "expected more than 300 cells, got {kept}");
    assert_eq!(
        std::fs::read_to_string(&path).unwrap(),
        page,
        "docs/fault-matrix.md is out of date"
    );
}
