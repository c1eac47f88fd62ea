//! The `trestlewalk` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    trestlewalk::run()
}
