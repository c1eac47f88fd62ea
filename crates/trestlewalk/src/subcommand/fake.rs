//! `trestlewalk fake`.

use {
    crate::{
        RunError,
        run_error::{FakeSnafu, ReadFileSnafu, RuntimeSnafu, SettingsInvalidSnafu},
        settings::{
            SettingOverride,
            settings_file::{parse_tree, read_settings},
            settings_node::SettingsNode,
        },
    },
    clap::Args,
    fake::FakeError,
    serde::de::DeserializeOwned,
    snafu::ResultExt,
    std::{fs, future::Future, path::PathBuf},
    tokio::runtime::Runtime,
};

/// The name of the settings file in faults when there is no file.
const NO_FILE: &str = "--set";

/// The kinds of stand-ins.
#[derive(clap::Subcommand, Debug)]
pub enum FakeCommand {
    /// Run a model engine.
    Engine(FakeArguments),
    /// Run the platform: rows, objects and the list of instances.
    Platform(FakeArguments),
    /// Run a plain service.
    Service(FakeArguments),
}

/// The arguments of every stand-in. Once it listens it prints one line of JSON with its addresses.
#[derive(Args, Debug)]
pub struct FakeArguments {
    /// Sets one field, such as `--set list_lag_ms=500`; may be given more than once.
    #[arg(long, value_name = "FIELD=VALUE")]
    pub set: Vec<SettingOverride>,
    /// The settings file, YAML.
    #[arg(long, value_name = "FILE")]
    pub settings: Option<PathBuf>,
}

impl FakeArguments {
    fn load<T: Default + DeserializeOwned>(self) -> Result<T, RunError> {
        let Some(path) = self.settings else {
            return read_settings(NO_FILE, SettingsNode::empty_map(), self.set, |_, _| {})
                .map_err(|faults| SettingsInvalidSnafu { faults }.build());
        };
        let content = fs::read(&path).context(ReadFileSnafu { path: &path })?;
        let file = path.display().to_string();
        parse_tree(&file, &content)
            .and_then(|tree| read_settings(&file, tree, self.set, |_, _| {}))
            .map_err(|faults| SettingsInvalidSnafu { faults }.build())
    }
}

impl FakeCommand {
    /// Runs the stand-in until SIGTERM or SIGINT.
    ///
    /// # Errors
    ///
    /// The settings have faults, or the stand-in can't listen.
    pub fn run(self) -> Result<(), RunError> {
        match self {
            Self::Engine(arguments) => run_fake(fake::run_engine(arguments.load()?)),
            Self::Platform(arguments) => run_fake(fake::run_platform(arguments.load()?)),
            Self::Service(arguments) => run_fake(fake::run_service(arguments.load()?)),
        }
    }
}

fn run_fake(work: impl Future<Output = Result<(), FakeError>>) -> Result<(), RunError> {
    let runtime = Runtime::new().context(RuntimeSnafu)?;
    runtime.block_on(work).context(FakeSnafu)
}
