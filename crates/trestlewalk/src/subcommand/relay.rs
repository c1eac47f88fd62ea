//! `trestlewalk relay`.

use {
    crate::{
        RunError,
        entry::{RelayProcess, log_setup},
        run_error::{ReadFileSnafu, RuntimeSnafu, SettingsInvalidSnafu},
        settings::{SettingOverride, parse_relay_file},
    },
    clap::Args,
    snafu::ResultExt,
    std::{fs, path::PathBuf},
    tokio::runtime::Builder,
};

/// The arguments of `relay`.
#[derive(Args, Debug)]
pub struct RelayCommand {
    /// Overrides one setting, such as `--set upstreams.connect=50ms`; may be given more than once.
    #[arg(long, value_name = "FIELD=VALUE")]
    pub set: Vec<SettingOverride>,
    /// The settings file; docs/SETTINGS.md describes it.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
}

impl RelayCommand {
    /// Runs an instance until SIGTERM or SIGINT.
    ///
    /// # Errors
    ///
    /// The settings have faults, a socket can't be opened, or the close cut requests off.
    pub fn run(self) -> Result<(), RunError> {
        let path = &self.settings;
        let content = fs::read(path).context(ReadFileSnafu { path })?;
        let file = path.display().to_string();
        let settings = parse_relay_file(&file, &content, self.set)
            .map_err(|faults| SettingsInvalidSnafu { faults }.build())?;
        log_setup::start_log(&settings.log);
        let runtime = Builder::new_current_thread().enable_all().build();
        let runtime = runtime.context(RuntimeSnafu)?;
        runtime.block_on(RelayProcess::run(settings))
    }
}
