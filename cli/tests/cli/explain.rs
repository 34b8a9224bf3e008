//! Tests of the command `explain`.

use std::path::Path;

use crate::support::run;

const LOG: &str = r#"{"level":"INFO","message":"dispatched","request":"r1","target_name":"w-1","time":"2026-01-01T00:00:01.000Z"}
{"level":"INFO","message":"dispatched","request":"r12","time":"2026-01-01T00:00:01.000Z"}
not a JSON log line, mentions r1
{"level":"INFO","message":"answer broken off: silent","request":"r1","time":"2026-01-01T00:00:03.000Z"}
{"level":"INFO","message":"refused","request":"r1","reason":"failed","time":"2026-01-01T00:00:04.000Z"}
{"level":"INFO","message":"refused","request":"r2","reason":"uncertain","config_age_ms":4000,"time":"2026-01-01T00:00:04.000Z"}
{"level":"INFO","message":"dispatched","request":"r3","time":"2026-01-01T00:00:05.000Z"}
"#;

fn explain(request: &str, file: &Path) -> (Option<i32>, String) {
    let output = run(&["explain", request, file.to_str().unwrap()]);
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).unwrap())
}

/// Guards against lines of other requests in the output, and against a wrong cause.
#[test]
fn lines_and_cause_of_a_request() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("entry-1.log");
    std::fs::write(&file, LOG).unwrap();
    let (code, text) = explain("r1", &file);
    assert_eq!(code, Some(0));
    assert_eq!(text.lines().count(), 4, "{text}");
    assert!(text.ends_with("cause: failed after its last attempt; answer broken off: silent\n"));
    let (_, text) = explain("r2", &file);
    assert!(text.contains("last confirmed 4000 ms earlier"), "{text}");
    let (_, text) = explain("r3", &file);
    assert!(text.contains("no end of the request is logged"), "{text}");
    let (code, _) = explain("nobody", &file);
    assert_eq!(code, Some(1));
    let (code, _) = explain("r1", &folder.path().join("none.log"));
    assert_eq!(code, Some(2));
}
