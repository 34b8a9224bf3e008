//! Command line of the load driver and its experiments.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::Bpaf;
use eyre::WrapErr;
use primrosepin_bench::report::{Report, compare};
use primrosepin_bench::scenario::{self, Scenario};
use primrosepin_bench::{capacity, changes, plot, quickstart, region, relay};
use primrosepin_core::serving::Policy;
use primrosepin_process::Shutdown;

/// Load driver, experiments, tables, plots and JSON reports
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Runs a deployment in one process: two zones, four engines, one plain service
    #[bpaf(command)]
    Quickstart {
        /// Sends prompts of 1k, 10k, 100k and 1M tokens and plain calls, then stops
        once: bool,
        /// Writes the result of --once as JSON
        #[bpaf(argument("FILE"))]
        json: Option<PathBuf>,
    },
    /// Runs an experiment: mixed-lengths, zone-out, cold-start, failover, overload, long-only,
    /// relay, config
    #[bpaf(command)]
    Run {
        /// Placement policy: length, round-robin, least-load
        #[bpaf(argument("NAME"), fallback("length".into()))]
        policy: String,
        /// Seed of the arrivals and of all other random choices
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
        /// Duration of the load, seconds
        #[bpaf(argument("N"), fallback(60))]
        duration_s: u64,
        /// Speed of the engines, as a factor on their rates
        #[bpaf(argument("F"), fallback(2.0))]
        speed: f64,
        /// Load relative to the capacity of the engines; the default depends on the scenario
        #[bpaf(argument("F"))]
        load: Option<f64>,
        /// Number of control replicas; with 0, the entry VMs get the configuration directly
        #[bpaf(argument("N"), fallback(3))]
        controls: usize,
        /// Drops calls with longer prompts from the arrivals
        #[bpaf(argument("TOKENS"))]
        prompt_tokens_max: Option<u64>,
        /// Writes the report as JSON
        #[bpaf(argument("FILE"))]
        json: Option<PathBuf>,
        /// Name of the scenario
        #[bpaf(positional("SCENARIO"))]
        scenario: String,
    },
    /// Measures the cost of the control traffic in one zone by zone size
    #[bpaf(command)]
    Capacity {
        /// Writes the result as JSON
        #[bpaf(argument("FILE"))]
        json: Option<PathBuf>,
    },
    /// Simulates days of a region in virtual time: placement on a model of the engines, without
    /// sockets
    #[bpaf(command)]
    Region {
        /// Placement policy: product, product-without-prefixes,
        /// product-with-own-prefixes, round-robin, least-load
        #[bpaf(argument("NAME"), fallback(region::Policy::Product))]
        policy: region::Policy,
        /// First seed
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
        /// Number of seeds
        #[bpaf(argument("N"), fallback(20))]
        seeds: u64,
        /// Also computes an upper bound for any placement
        bound: bool,
        /// Writes the report of each seed as JSON
        #[bpaf(argument("FILE"))]
        json: Option<PathBuf>,
        /// Writes plots to this folder
        #[bpaf(argument("FOLDER"))]
        plots: Option<PathBuf>,
        /// Files of days, JSON with comments
        #[bpaf(positional("DAY.jsonc"), some("expected at least one file of a day"))]
        days: Vec<PathBuf>,
    },
    /// Prints the figures of the second report relative to the first
    #[bpaf(command)]
    Compare {
        /// First report
        #[bpaf(positional("A.json"))]
        first: PathBuf,
        /// Second report
        #[bpaf(positional("B.json"))]
        second: PathBuf,
    },
    /// Writes plots of reports as SVG
    #[bpaf(command)]
    Plot {
        /// Folder for the plots
        #[bpaf(argument("FOLDER"), fallback("out".into()))]
        out: PathBuf,
        /// Reports
        #[bpaf(positional("REPORT.json"))]
        reports: Vec<PathBuf>,
    },
}

fn read(file: &Path) -> eyre::Result<Report> {
    let text = std::fs::read_to_string(file).wrap_err_with(|| file.display().to_string())?;
    serde_json::from_str(&text).wrap_err_with(|| file.display().to_string())
}

fn write<T>(file: Option<&Path>, value: &T) -> eyre::Result<()>
where
    T: serde::Serialize,
{
    let Some(file) = file else {
        return Ok(());
    };
    let text = serde_json::to_string_pretty(value)?;
    std::fs::write(file, text).wrap_err_with(|| file.display().to_string())
}

fn parse_policy(name: &str) -> eyre::Result<Policy> {
    [Policy::Length, Policy::RoundRobin, Policy::LeastLoad]
        .into_iter()
        .find(|policy| scenario::policy_name(*policy) == name)
        .ok_or_else(|| {
            eyre::eyre!("unknown policy {name:?}; expected length, round-robin, least-load")
        })
}

fn parse_scenario(name: &str) -> eyre::Result<Scenario> {
    [
        Scenario::MixedLengths,
        Scenario::ZoneOut,
        Scenario::ColdStart,
        Scenario::Failover,
        Scenario::Overload,
        Scenario::LongOnly,
    ]
    .into_iter()
    .find(|scenario| scenario.as_str() == name)
    .ok_or_else(|| eyre::eyre!("unknown scenario {name:?}"))
}

#[actix_rt::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> eyre::Result<ExitCode> {
    match command().run() {
        Command::Quickstart { once, json } => {
            let cluster = quickstart::start().await?;
            if !once {
                println!("{}", quickstart::help(&cluster));
                Shutdown::new()?.wait().await;
                cluster.stop().await?;
                return Ok(ExitCode::SUCCESS);
            }
            let result = quickstart::once(&cluster).await;
            cluster.stop().await?;
            println!("Prompts of one million tokens span the two engines of a zone.");
            print!("{}", result.table);
            write(json.as_deref(), &result.json)?;
            if !result.all_answered {
                return Ok(ExitCode::FAILURE);
            }
        }
        Command::Run {
            policy,
            seed,
            duration_s,
            speed,
            load,
            controls,
            prompt_tokens_max,
            json,
            scenario,
        } => {
            let options = scenario::Options {
                policy: parse_policy(&policy)?,
                seed,
                duration_s,
                speed,
                load,
                controls,
                prompt_tokens_max,
            };
            let report = match scenario.as_str() {
                "relay" => relay::run(&options).await?,
                "config" => changes::run(&options).await?,
                name => scenario::run(parse_scenario(name)?, &options).await?,
            };
            print!("{}", report.table());
            write(json.as_deref(), &report)?;
        }
        Command::Capacity { json } => {
            let (table, costs) = capacity::run()?;
            print!("{table}");
            let mut transports = Vec::new();
            for bytes in [100, 1_000, 10_000] {
                let cost = capacity::transport(bytes).await?;
                println!(
                    "a message of {bytes} bytes between two processes takes {:.1} us on both sides together",
                    cost.micros
                );
                transports.push(cost);
            }
            write(json.as_deref(), &(costs, transports))?;
        }
        Command::Region {
            policy,
            seed,
            seeds,
            bound,
            json,
            plots,
            days,
        } => {
            let mut all = Vec::new();
            let mut broken = 0;
            for file in days {
                let day = region::Day::read(&file)?;
                let reports = region::run(&day, policy, seed..seed + seeds);
                let bounds: Vec<f64> = if bound {
                    let arrivals = (seed..seed + seeds).map(|seed| day.arrivals(seed));
                    arrivals.map(|calls| region::bound(&day, &calls)).collect()
                } else {
                    Vec::new()
                };
                print!("{}", region::Report::table(&day, &reports, &bounds));
                broken += reports.iter().map(|r| r.audit.violations()).sum::<u64>();
                all.extend(reports);
            }
            write(json.as_deref(), &all)?;
            if let Some(folder) = plots {
                for file in region::plot(&all, &folder)? {
                    println!("{}", file.display());
                }
            }
            if broken > 0 {
                return Ok(ExitCode::FAILURE);
            }
        }
        Command::Compare { first, second } => {
            print!("{}", compare(&read(&first)?, &read(&second)?));
        }
        Command::Plot { out, reports } => {
            let reports = reports
                .iter()
                .map(|file| read(file))
                .collect::<eyre::Result<Vec<_>>>()?;
            for name in plot::write(&reports, &out)? {
                println!("{}", out.join(name).display());
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}
