//! Reads the settings of `relay`, at the start and at each reload.

use {
    crate::{
        RunError,
        run_error::{ReadFileSnafu, SettingsInvalidSnafu},
        settings::{RelayFile, SettingOverride, parse_relay_file},
    },
    snafu::ResultExt,
    std::{fs, path::PathBuf},
};

/// The sources of the settings.
#[derive(Clone, Debug)]
pub struct SettingsReader {
    overrides: Vec<SettingOverride>,
    path: PathBuf,
}

impl SettingsReader {
    /// Creates a reader of a file, with the overrides of the command line.
    pub fn new(path: PathBuf, overrides: Vec<SettingOverride>) -> Self {
        Self { overrides, path }
    }

    /// Reads the file and applies the overrides.
    ///
    /// # Errors
    ///
    /// The file can't be read, or the settings have faults; the error lists them all, one a line.
    pub fn read(&self) -> Result<RelayFile, RunError> {
        let path = &self.path;
        let content = fs::read(path).context(ReadFileSnafu { path })?;
        let file = path.display().to_string();
        parse_relay_file(&file, &content, self.overrides.clone())
            .map_err(|faults| SettingsInvalidSnafu { faults }.build())
    }
}
