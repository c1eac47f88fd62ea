//! The `trestlewalk` binary.

fn main() {}
