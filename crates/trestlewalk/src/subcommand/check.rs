//! `trestlewalk check`.

use {
    crate::{
        RunError,
        settings::{SettingOverride, load_settings},
    },
    clap::Args,
    std::path::PathBuf,
};

/// The arguments of `check`.
#[derive(Args, Debug)]
pub struct CheckCommand {
    /// The settings (`.yaml`) or the table (`.csv`).
    pub file: PathBuf,
    /// Overrides one setting, such as `--set limits.body=2MiB`.
    #[arg(long, value_name = "FIELD=VALUE")]
    pub set: Vec<SettingOverride>,
}

impl CheckCommand {
    /// Checks the file and prints that it is sound.
    ///
    /// # Errors
    ///
    /// The file can't be read or has faults; the error lists them all.
    pub fn run(self) -> Result<(), RunError> {
        let settings = load_settings(&self.file, self.set)?;
        println!(
            "{}: settings of instance {} in availability zone {}: no faults",
            self.file.display(),
            settings.instance,
            settings.zone
        );
        Ok(())
    }
}
