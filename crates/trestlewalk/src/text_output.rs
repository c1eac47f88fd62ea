//! Writes to the standard output without panicking when its reader has gone.

use {
    crate::{RunError, run_error::WriteFileSnafu},
    snafu::ResultExt,
    std::io::{self, ErrorKind, Write},
};

const STANDARD_OUTPUT: &str = "standard output";

/// Writes bytes unchanged. A closed pipe, as in `dump | head`, is not an error.
///
/// # Errors
///
/// The output can't be written for another reason.
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
/// As for [`print_bytes`].
pub fn print_line(line: &str) -> Result<(), RunError> {
    print_bytes(format!("{line}\n").as_bytes())
}
