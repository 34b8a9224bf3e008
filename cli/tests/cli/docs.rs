//! Test of the command lines in the operations guide.

use primrosepin_cli::options;

/// Guards against documented commands that the command line parser rejects.
#[test]
fn documented_commands_parse() {
    let page = include_str!("../../../docs/OPERATIONS.md");
    let mut checked = 0;
    for line in page.lines().map(str::trim) {
        let Some(rest) = line.strip_prefix("primrosepin ") else {
            continue;
        };
        let command = rest.split(['#', '>']).next().unwrap_or_default();
        let args: Vec<&str> = command.split_whitespace().collect();
        let result = options::parser().run_inner(&args[..]);
        assert!(result.is_ok(), "{line}: {result:?}");
        checked += 1;
    }
    assert!(checked >= 20, "only {checked} commands found");
}
