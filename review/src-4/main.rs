//! Cases of the review of issue 52, with their stand-ins. Usage: `cases CASE FOLDER`, from the repository's root.
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod fleet;
mod unused_memory;
mod worker;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: cases CASE FOLDER");
        return ExitCode::from(2);
    };
    fleet::limit_time(Duration::from_secs(110));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let mut record = format!("case {case}, TROUBLE={}\n", u8::from(trouble));
    let result = match case.as_str() {
        "unused-memory" => unused_memory::run(trouble, &mut record),
        _ => Err("no such case".into()),
    };
    let code = match &result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    };
    record.push_str(&match result {
        Ok(true) => "the rule held\n".to_owned(),
        Ok(false) => "the rule was broken\n".to_owned(),
        Err(error) => format!("the case could not run: {error}\n"),
    });
    print!("{record}");
    if let Err(error) = std::fs::write(Path::new(&folder).join("record.txt"), record) {
        eprintln!("cannot write the record: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
