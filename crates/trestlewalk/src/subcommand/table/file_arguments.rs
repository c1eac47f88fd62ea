//! The arguments of subcommands that read a table file.

use {
    super::table_cli_error::{BaseMissingSnafu, ReadFileSnafu, TableCliError, TableFaultsSnafu},
    clap::Args,
    kernel::TableVersion,
    snafu::ResultExt,
    std::{
        fs,
        io::{self, Read},
        path::{Path, PathBuf},
    },
    table::{FileBase, TableFile, read_csv},
};

/// The file name that stands for standard input.
const STDIN_NAME: &str = "-";

/// A table file, and the version that it is based on.
#[derive(Args, Clone, Debug)]
pub struct FileArguments {
    /// The version that the file is based on, for a file without its `# version` line.
    #[arg(long, value_name = "VERSION")]
    pub base: Option<TableVersion>,
    /// The table file, CSV; `-` is the standard input.
    pub file: PathBuf,
}

impl FileArguments {
    /// The version that the file is based on; version 0 for a file without one if there is no table yet.
    ///
    /// # Errors
    ///
    /// When the file has no version line, `--base` is not given, and the platform has a table.
    pub fn base_of(
        &self,
        file: &TableFile,
        current: TableVersion,
    ) -> Result<FileBase, TableCliError> {
        let named = self.base.map(|version| FileBase {
            digest: None,
            version,
        });
        let first = (current == 0).then_some(FileBase {
            digest: None,
            version: 0,
        });
        match named.or(file.base).or(first) {
            Some(base) => Ok(base),
            None => BaseMissingSnafu { path: &self.file }.fail(),
        }
    }

    /// Reads and checks the file.
    ///
    /// # Errors
    ///
    /// When it can't be read or has faults; the error lists them all.
    pub fn load(&self) -> Result<TableFile, TableCliError> {
        load_file(&self.file)
    }
}

/// Reads and checks one file; `-` is the standard input.
///
/// # Errors
///
/// When it can't be read or has faults; the error lists them all.
pub fn load_file(path: &Path) -> Result<TableFile, TableCliError> {
    let content = match path.as_os_str() == STDIN_NAME {
        true => read_stdin(),
        false => fs::read(path),
    };
    let content = content.context(ReadFileSnafu { path })?;
    read_csv(&path.display().to_string(), &content).context(TableFaultsSnafu)
}

fn read_stdin() -> io::Result<Vec<u8>> {
    let mut content = Vec::new();
    io::stdin().lock().read_to_end(&mut content)?;
    Ok(content)
}
