//! Runs a stand-in engine or plain service as a process.

use bpaf::Bpaf;
use eyre::WrapErr;
use primrosepin_process::Shutdown;
use primrosepin_standin::{Engine, Plain, engine, plain};

/// Stand-in model engine or plain service
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Runs a model engine
    #[bpaf(command)]
    Engine {
        /// Settings in JSON; missing fields take their defaults
        #[bpaf(argument("FILE"))]
        settings: Option<std::path::PathBuf>,
    },
    /// Runs a plain service
    #[bpaf(command)]
    Plain {
        /// Settings in JSON; missing fields take their defaults
        #[bpaf(argument("FILE"))]
        settings: Option<std::path::PathBuf>,
    },
}

fn read_settings<T>(file: Option<&std::path::Path>) -> eyre::Result<T>
where
    T: Default + serde::de::DeserializeOwned,
{
    let Some(file) = file else {
        return Ok(T::default());
    };
    let text = std::fs::read_to_string(file).wrap_err_with(|| file.display().to_string())?;
    serde_json::from_str(&text).wrap_err_with(|| file.display().to_string())
}

#[actix_rt::main]
async fn main() -> eyre::Result<()> {
    match command().run() {
        Command::Engine { settings } => {
            let settings: engine::Settings = read_settings(settings.as_deref())?;
            let engine = Engine::start(settings).await?;
            println!("engine listens on http://{}", engine.address());
            Shutdown::new()?.wait().await;
            engine.stop().await;
        }
        Command::Plain { settings } => {
            let settings: plain::Settings = read_settings(settings.as_deref())?;
            let plain = Plain::start(settings).await?;
            println!("plain service listens on http://{}", plain.address());
            Shutdown::new()?.wait().await;
            plain.stop().await;
        }
    }
    Ok(())
}
