//! Writes to the standard output without panics when a pipe is closed.

use {
    super::table_cli_error::{OutputSnafu, TableCliError},
    snafu::ResultExt,
    std::io::{self, ErrorKind, Write},
};

/// Writes a text to the standard output. A reader that went away, as in `table show | head`, is no fault.
///
/// # Errors
///
/// Any other fault of the output.
pub fn print_text(text: &str) -> Result<(), TableCliError> {
    let mut output = io::stdout().lock();
    let written = output
        .write_all(text.as_bytes())
        .and_then(|()| output.flush());
    match written {
        Err(error) if error.kind() == ErrorKind::BrokenPipe => Ok(()),
        written => written.context(OutputSnafu {
            what: "the standard output",
        }),
    }
}
