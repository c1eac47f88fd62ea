//! Writes to the standard output without panics when nobody reads it.

use {
    crate::{RunError, run_error::WriteFileSnafu},
    snafu::ResultExt,
    std::io::{self, ErrorKind, Write},
};

const STANDARD_OUTPUT: &str = "standard output";

/// Writes bytes as they are. A reader that went away, as in `dump | head`, is no fault.
///
/// # Errors
///
/// Any other fault of the output.
pub fn print_bytes(bytes: &[u8]) -> Result<(), RunError> {
    let mut output = io::stdout().lock();
    let written = output.write_all(bytes).and_then(|()| output.flush());
    match written {
        Err(error) if error.kind() == ErrorKind::BrokenPipe => Ok(()),
        written => written.context(WriteFileSnafu {
            path: STANDARD_OUTPUT,
        }),
    }
}

/// Writes one line, as [`print_bytes`] does.
///
/// # Errors
///
/// Any fault of the output but a reader that went away.
pub fn print_line(line: &str) -> Result<(), RunError> {
    print_bytes(format!("{line}\n").as_bytes())
}
