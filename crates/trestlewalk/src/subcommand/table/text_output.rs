//! Writes to the standard output without panicking when a pipe is closed.

use {
    super::table_cli_error::{OutputSnafu, TableCliError},
    snafu::ResultExt,
    std::io::{self, ErrorKind, Write},
};

/// Writes a text to the standard output. A closed pipe, as in `table show | head`, is not an error.
///
/// # Errors
///
/// When the output can't be written for another reason.
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
