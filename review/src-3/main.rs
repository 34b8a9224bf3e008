//! Scripts of the review cases 11 and later, started by their `run.sh`. Exits with 1 if the rule of the case was broken, 0
//! if it held, and 2 if the case could not run.

mod case11;
mod case12;
mod case13;
mod case14;
mod deployment;
mod desk;
mod http;
mod record;
mod worker;

use std::path::Path;
use std::process::ExitCode;

/// Why a case could not run.
#[derive(Debug)]
pub struct Failure(pub String);

impl From<std::io::Error> for Failure {
    fn from(error: std::io::Error) -> Self {
        Self(error.to_string())
    }
}

fn usage() -> ExitCode {
    eprintln!("usage: review3 CASE FOLDER with-disruption|without-disruption");
    ExitCode::from(2)
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder, disruption] = &arguments[..] else {
        return usage();
    };
    let trouble = match disruption.as_str() {
        "with-disruption" => true,
        "without-disruption" => false,
        _ => return usage(),
    };
    let result = record::Record::new(Path::new(folder)).and_then(|record| {
        record.line(&format!("case {case}, disruption: {trouble}"));
        let broken = match case.as_str() {
            "11" => case11::run(&record, trouble),
            "12" => case12::run(&record, trouble),
            "13" => case13::run(&record, trouble),
            "14" => case14::run(&record, trouble),
            _ => Err(Failure("no such case".into())),
        }?;
        record.line(if broken {
            "the rule was broken"
        } else {
            "the rule held"
        });
        Ok(broken)
    });
    match result {
        Ok(broken) => ExitCode::from(u8::from(broken)),
        Err(Failure(reason)) => {
            eprintln!("could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
