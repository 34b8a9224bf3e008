//! Stand-ins and checks of the review's cases. Uses the standard library only.
//!
//! `primrosepin-review CASE` starts the programs of the deploy file on loopback addresses, plays one
//! case, writes `record.txt` into the current folder and exits with 1 if the rule was broken, 0 if it
//! held and 2 if the case could not run. With the variable `TROUBLE` set to `0` the disruption is left out.

mod cases;
mod deployment;
mod http;
mod record;
mod worker;

use std::process::ExitCode;

fn main() -> ExitCode {
    let case = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record::note(&format!("case {case}, disruption: {trouble}"));
    let result = std::panic::catch_unwind(|| match case.as_str() {
        "leave" => cases::leave(trouble),
        "frozen" => cases::frozen(trouble),
        "thaw" => cases::thaw(trouble),
        "rejoin" => cases::rejoin(trouble),
        "resend" => cases::resend(trouble),
        other => Err(format!("no such case: {other}")),
    });
    let (code, text) = match result {
        Ok(Ok(None)) => (0, "the rule held".to_owned()),
        Ok(Ok(Some(broken))) => (1, format!("the rule was broken: {broken}")),
        Ok(Err(error)) => (2, format!("the case could not run: {error}")),
        Err(_) => (2, "the case could not run: it panicked".to_owned()),
    };
    record::note(&text);
    record::save("record.txt");
    println!("{text}");
    ExitCode::from(code)
}
