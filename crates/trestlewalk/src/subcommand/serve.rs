//! `trestlewalk serve`.

use {
    crate::{
        RunError,
        entry::{EntryProcess, entry_runtime, log_setup},
        run_error::RuntimeSnafu,
        settings::{SettingOverride, load_settings},
    },
    clap::Args,
    snafu::ResultExt,
    std::path::PathBuf,
};

/// The arguments of `serve`.
#[derive(Args, Debug)]
pub struct ServeCommand {
    /// Overrides one setting, such as `--set limits.body=2MiB`; may be given more than once.
    #[arg(long, value_name = "FIELD=VALUE")]
    pub set: Vec<SettingOverride>,
    /// The settings file; docs/SETTINGS.md describes it.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
}

impl ServeCommand {
    /// Runs an entry instance until SIGTERM or SIGINT.
    ///
    /// # Errors
    ///
    /// The settings have faults, a socket can't be opened, or the close cut requests off.
    pub fn run(self) -> Result<(), RunError> {
        let settings = load_settings(&self.settings, self.set)?;
        log_setup::start_log(&settings.log);
        let runtime = entry_runtime(settings.limits.workers).context(RuntimeSnafu)?;
        let outcome = runtime.block_on(EntryProcess::run(settings));
        runtime.shutdown_background();
        outcome
    }
}
