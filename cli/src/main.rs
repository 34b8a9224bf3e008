//! Entry point of the operator client `primrosepin`.

use std::process::ExitCode;

use primrosepin_cli::{options, run};

fn main() -> ExitCode {
    match options::parser().run_inner(bpaf::Args::current_args()) {
        Ok(options) => actix_rt::System::new().block_on(run(options)).into(),
        Err(failure) => {
            failure.print_message(100);
            match failure.exit_code() {
                0 => ExitCode::SUCCESS,
                _ => primrosepin_cli::report::Exit::Usage.into(),
            }
        }
    }
}
