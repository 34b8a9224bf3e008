//! Binary of the control process.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use eyre::WrapErr;
use primrosepin_config::settings::Control;
use primrosepin_control::{Options, Server};
use primrosepin_process::Shutdown;
use primrosepin_telemetry::log::init;

/// Control process of primrosepin: keeps configuration and ledger on VMs with a disk.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Settings of the process, JSON with comments
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Check the settings, print a summary and exit; exit code 2 if they are wrong
    check: bool,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    let settings: Control = match primrosepin_config::load(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    if arguments.check {
        println!(
            "control VM {} in zone {}: admin {}, peers {}, data {}; {} replicas",
            settings.vm,
            settings.zone,
            settings.listen.admin,
            settings.listen.peers,
            settings.data.display(),
            settings.replicas.len()
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

fn run(settings: Control) -> eyre::Result<()> {
    init(&settings.log.level, settings.log.form)?;
    let runtime = actix_rt::Runtime::new().wrap_err("cannot start the async runtime")?;
    runtime.block_on(async {
        let shutdown = Shutdown::new()?;
        let server = Server::start(settings, Options::default()).await?;
        shutdown.wait().await;
        server.stop().await
    })
}
