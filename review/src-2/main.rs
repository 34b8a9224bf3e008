//! Runs one case of the review: `primrosepin-review-2 CASE RECORD`. Exits with 1 if the rule was broken, with 0 if it
//! held, and with 2 if the case could not run.

mod cold;
mod deployment;
mod evac;
mod http;
mod quorum;
mod record;
mod slow;
mod stop;
mod worker;

use std::process::ExitCode;
use std::time::Duration;

/// Time after which a case that has not ended could not run. The processes end with it.
const CASE_TIMEOUT: Duration = Duration::from_secs(110);

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
}

impl Verdict {
    pub fn new(is_broken: bool) -> Self {
        if is_broken { Self::Broken } else { Self::Held }
    }
}

/// Ends the case, since it cannot run.
pub fn give_up(cause: &str) -> ! {
    record::write(&format!("the case could not run: {cause}"));
    end_children();
    deployment::remove_files();
    std::process::exit(2);
}

/// Ends the processes that this one started.
fn end_children() {
    let own = std::process::id();
    let path = format!("/proc/{own}/task/{own}/children");
    let children = std::fs::read_to_string(path).unwrap_or_default();
    for child in children.split_whitespace() {
        // Fails if the process has ended.
        let _ = std::process::Command::new("kill")
            .args(["-9", child])
            .status();
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, file] = &arguments[..] else {
        eprintln!("usage: primrosepin-review-2 CASE RECORD");
        return ExitCode::from(2);
    };
    if let Err(error) = record::start(file) {
        eprintln!("cannot create {file}: {error}");
        return ExitCode::from(2);
    }
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    std::thread::spawn(|| {
        std::thread::sleep(CASE_TIMEOUT);
        give_up("it did not end in time");
    });
    std::panic::set_hook(Box::new(|panic| give_up(&panic.to_string())));
    let verdict = match case.as_str() {
        "cold" => cold::run(trouble),
        "evac" => evac::run(trouble),
        "quorum" => quorum::run(trouble),
        "slow" => slow::run(trouble),
        "stop" => stop::run(trouble),
        other => give_up(&format!("no case {other}")),
    };
    match verdict {
        Verdict::Held => {
            record::write("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            record::write("the rule was broken");
            ExitCode::from(1)
        }
    }
}
