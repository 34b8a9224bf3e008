//! The operators' client.
//!
//! [`options`] is the command line, [`client`] talks to the admin ports, [`change`] sends a change until
//! its outcome is known, [`in_force`] waits until each VM has it. A command ends in a
//! [`report::Report`], which is printed as text or JSON and carries the exit code.
//!
//! Invariants:
//! - A change has one id for all its sends, so a resend never applies it twice.
//! - A change whose outcome is not known is reported as unknown, never as refused.
//! - Operator keys appear in no output.

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
use report::{Exit, Report, Stop};

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
                sending,
                file,
            } => config::apply(&server, base, &sending, &file).await,
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
            let pace = top::Pace { interval_s, count };
            top::top(&server, &entries, pace, options.json).await
        }
        Command::Explain { request, files } => explain::run(&request, &files),
        Command::Keys(command) => keys::run(command),
        Command::Inventory(InventoryCommand::New) => Ok(inventory::new()),
    };
    let report = result.unwrap_or_else(|Stop(report)| report);
    report.print(options.json);
    report.exit
}

/// Shorthand for the result of a command.
pub type Result<T = Report> = std::result::Result<T, Stop>;
