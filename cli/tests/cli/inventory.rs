//! Tests of the example inventory and of the parser definition.

use crate::support::run;

/// Guards against an example inventory that fails validation.
#[test]
fn example_is_valid() {
    let output = run(&["inventory", "new"]);
    let text = String::from_utf8(output.stdout).expect("text");
    let inventory = primrosepin_config::inventory::parse(&text, "example").expect("valid");
    assert_eq!((inventory.zones.len(), inventory.services.len()), (2, 2));
}

/// Guards against parser definitions with unreachable or ambiguous arguments.
#[test]
fn command_line_is_consistent() {
    primrosepin_cli::options::check_invariants();
    assert_eq!(run(&["--help"]).status.code(), Some(0));
    assert_eq!(run(&["--version"]).status.code(), Some(0));
    assert_eq!(run(&[]).status.code(), Some(2));
}
