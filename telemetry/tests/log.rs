//! Formats and levels of log lines.

use std::sync::mpsc;

use log::{Level, Record};
use primrosepin_telemetry::log::{Form, dispatch, init};

/// Logs one record and returns the formatted lines.
fn log_lines(level: &str, form: Form, target: &str, message: &str) -> Vec<String> {
    let (sender, receiver) = mpsc::channel();
    let (_, logger) = dispatch(level, form).unwrap().chain(sender).into_log();
    let pairs = [("vm", "entry-1"), ("zone", "a\nb")];
    logger.log(
        &Record::builder()
            .level(Level::Info)
            .target(target)
            .args(format_args!("{message}"))
            .key_values(&&pairs[..])
            .build(),
    );
    drop(logger);
    receiver.iter().collect()
}

/// Guards against untrusted text that forges a second record through a line break.
#[test]
fn human_form_is_one_line() {
    let lines = log_lines("info", Form::Human, "entry", "zone out\nERROR forged");
    let [line] = &lines[..] else {
        panic!("{lines:?}")
    };
    let (_time, rest) = line.split_once(' ').unwrap();
    assert_eq!(
        rest,
        "INFO  entry zone out\\nERROR forged vm=entry-1 zone=a\\nb\n"
    );
}

/// Guards against lines that are not valid JSON.
#[test]
fn json_form_is_one_object() {
    let lines = log_lines("info", Form::Json, "entry", "zone \"out\"\n");
    let value: serde_json::Value = serde_json::from_str(&lines[0]).unwrap();
    assert_eq!(value["message"], "zone \"out\"\n");
    assert_eq!(value["level"], "INFO");
    assert_eq!(value["zone"], "a\nb");
    assert_eq!(lines[0].matches('\n').count(), 1);
}

/// Guards against one line per packet at level `info`.
#[test]
fn verbose_libraries_log_only_at_trace() {
    assert!(log_lines("info", Form::Human, "quinn::connection", "packet").is_empty());
    assert_eq!(
        log_lines("trace", Form::Human, "quinn::connection", "packet").len(),
        1
    );
}

/// Guards against a second server in the same process that fails to start because a logger is installed.
#[test]
fn repeated_init_succeeds() {
    init("info", Form::Human).unwrap();
    init("debug", Form::Json).unwrap();
    assert!(init("loud", Form::Json).is_err());
}
