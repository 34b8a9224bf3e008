//! Command line of the entry process.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use eyre::WrapErr;
use primrosepin_config::settings::Entry;
use primrosepin_entry::{Options, Server};
use primrosepin_process::Shutdown;
use primrosepin_telemetry::log::init;

/// Entry process of primrosepin: accepts callers' requests and relays them to targets.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Settings file of the process, JSON with comments
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Check the settings, print a summary and exit; exit code 2 if they are invalid
    check: bool,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    let settings: Entry = match primrosepin_config::load(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    if arguments.check {
        let listen = settings.listen;
        println!(
            "entry VM {} in zone {}: callers {}, targets {}, admin {}, peers {}; {} control replicas",
            settings.vm,
            settings.zone,
            listen.callers,
            listen.targets,
            listen.admin,
            listen.peers,
            settings.control.len()
        );
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:?}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: Entry) -> eyre::Result<()> {
    init(&settings.log.level, settings.log.form)?;
    let runtime = actix_rt::Runtime::new().wrap_err("cannot start the async runtime")?;
    runtime.block_on(async {
        let shutdown = Shutdown::new()?;
        let server = Server::start(settings, Options::default()).await?;
        shutdown.wait().await;
        server.stop().await
    })
}
