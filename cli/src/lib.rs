//! Command-line client for operators.
//!
//! [`options`] defines the command line, [`client`] sends HTTP requests to admin ports, [`change`] sends a
//! change and resends it until its outcome is known, and [`in_force`] waits until every reachable VM uses
//! it. Each command returns a [`report::Report`], which is printed as text or JSON and determines the exit
//! code.
//!
//! Invariants:
//! - All sends of a change carry the same id, so a resend is never applied a second time.
//! - A change whose outcome is not known is reported as unknown, never as refused.
//! - Operator keys never appear in output.

pub mod change;
pub mod client;
pub mod config;
pub mod difference;
pub mod document;
pub mod explain;
pub mod in_force;
pub mod inventory;
pub mod keys;
pub mod options;
pub mod progress;
pub mod report;
pub mod status;
pub mod top;

use options::{Command, ConfigCommand, InventoryCommand, Options};
use report::{Exit, Failure, Report};

/// Runs a command, prints its report and returns the exit code.
pub async fn run(options: Options) -> Exit {
    let result = match options.command {
        Command::Config(command) => match command {
            ConfigCommand::Check { kind, file } => config::check(kind, &file),
            ConfigCommand::Show { server } => config::show(&server).await,
            ConfigCommand::Diff { server, file } => config::diff(&server, &file).await,
            ConfigCommand::Apply {
                server,
                base,
                send_options,
                file,
            } => config::apply(&server, base, &send_options, &file).await,
            ConfigCommand::History { server } => config::history(&server).await,
            ConfigCommand::Status { server } => config::status(&server).await,
        },
        Command::Zone(command) => change::zone(command).await,
        Command::Target(command) => change::target(command).await,
        Command::Status { server } => status::status(&server).await,
        Command::Top {
            server,
            entries,
            interval_s,
            count,
        } => {
            let refresh = top::Refresh { interval_s, count };
            top::top(&server, &entries, refresh, options.json).await
        }
        Command::Explain { request, files } => explain::run(&request, &files),
        Command::Keys(command) => keys::run(command),
        Command::Inventory(InventoryCommand::New) => Ok(inventory::new()),
    };
    let report = result.unwrap_or_else(|Failure(report)| report);
    report.print(options.json);
    report.exit
}

/// Result of a command, or of a step of one.
pub type Result<T = Report> = std::result::Result<T, Failure>;
