//! `trestlewalk explain`.

use {
    crate::{
        RunError,
        explain::{LogLine, RequestTrace},
        run_error::ReadFileSnafu,
        text_output::print_line,
    },
    clap::Args,
    snafu::ResultExt,
    std::{
        fs::File,
        io::{self, BufRead, BufReader, Read},
        path::{Path, PathBuf},
    },
};

/// The maximum length of a log line. Longer lines were not written by an instance; they are counted as unreadable, and
/// never held in memory completely.
const MAX_LINE_BYTES: u64 = 64 << 10;
/// The file name that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// The arguments of `explain`.
#[derive(Args, Debug)]
pub struct ExplainCommand {
    /// The log files of any instances; `-` is standard input.
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
    /// The id of the request.
    #[arg(long, value_name = "ID")]
    pub id: String,
}

impl ExplainCommand {
    /// Prints the trace of the request through the logs.
    ///
    /// # Errors
    ///
    /// A file can't be read.
    pub fn run(self) -> Result<(), RunError> {
        let mut trace = RequestTrace::new(&self.id);
        for path in &self.files {
            read_log(path, &mut trace).context(ReadFileSnafu { path })?;
        }
        for line in trace.into_lines() {
            print_line(&line)?;
        }
        Ok(())
    }
}

fn read_log(path: &Path, trace: &mut RequestTrace) -> io::Result<()> {
    let file: Box<dyn Read> = match path.to_str() {
        Some(STANDARD_INPUT) => Box::new(io::stdin()),
        _ => Box::new(File::open(path)?),
    };
    let source = path.display().to_string();
    let mut reader = BufReader::new(file);
    let mut text = Vec::new();
    loop {
        text.clear();
        let count = reader
            .by_ref()
            .take(MAX_LINE_BYTES)
            .read_until(b'\n', &mut text)?;
        if count == 0 {
            return Ok(());
        }
        let is_cut = !text.ends_with(b"\n") && count as u64 == MAX_LINE_BYTES;
        if is_cut {
            reader.skip_until(b'\n')?;
            trace.add_unreadable();
            continue;
        }
        match LogLine::read(&text) {
            Some(line) => trace.add(&source, line),
            None => trace.add_unreadable(),
        }
    }
}
