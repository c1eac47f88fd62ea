//! Runs the bench: see `docs/BENCH.md`.

use std::process::ExitCode;

fn main() -> ExitCode {
    bench::run()
}
