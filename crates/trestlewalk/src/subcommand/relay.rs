//! `trestlewalk relay`.

use {
    crate::{
        RunError,
        entry::{BoundedLog, RelayProcess},
        run_error::RuntimeSnafu,
        settings::{SettingOverride, SettingsReader},
    },
    clap::Args,
    snafu::ResultExt,
    std::path::PathBuf,
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
        let reader = SettingsReader::new(self.settings, self.set);
        let settings = reader.read()?;
        let log = BoundedLog::start(&settings.log);
        let runtime = Builder::new_current_thread().enable_all().build();
        let runtime = runtime.context(RuntimeSnafu)?;
        let outcome = runtime.block_on(async {
            tokio::spawn(log.watch());
            RelayProcess::run(settings, reader).await
        });
        log.close();
        outcome
    }
}
