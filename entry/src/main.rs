//! Binary of the entry process.
fn main() {}
