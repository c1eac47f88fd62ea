//! The arguments that give the addresses of the platform and of the entry instances.

use {
    super::{
        operator_settings::OperatorSettings,
        table_cli_error::{
            PlatformMissingSnafu, PlatformSnafu, ReadFileSnafu, SettingsInvalidSnafu, TableCliError,
        },
    },
    crate::settings::{
        SettingsFault,
        settings_file::{parse_tree, read_settings},
    },
    clap::Args,
    plat::{HttpPlatform, TableRepository},
    snafu::{OptionExt, ResultExt},
    std::{fs, net::SocketAddr, path::PathBuf, sync::Arc},
};

/// The addresses of the platform and of the entry instances. An argument overrides the file.
#[derive(Args, Clone, Debug)]
pub struct OperatorArguments {
    /// The admin addresses of the entry instances, separated by commas.
    #[arg(
        long,
        env = "TRESTLEWALK_INSTANCES",
        value_delimiter = ',',
        value_name = "IP:PORT"
    )]
    pub instances: Vec<SocketAddr>,
    /// A YAML file with `platform` and `instances`.
    #[arg(long, env = "TRESTLEWALK_OPERATOR", value_name = "FILE")]
    pub operator: Option<PathBuf>,
    /// The platform's address, such as `http://127.0.0.1:7000`.
    #[arg(long, env = "TRESTLEWALK_PLATFORM", value_name = "URL")]
    pub platform: Option<Arc<str>>,
}

impl OperatorArguments {
    /// Loads the settings from the file, and overrides them with the arguments.
    ///
    /// # Errors
    ///
    /// When the file can't be read or has faults.
    pub fn load(&self) -> Result<OperatorSettings, TableCliError> {
        let mut settings = self.read_file()?;
        if !self.instances.is_empty() {
            settings.instances = self.instances.clone();
        }
        if self.platform.is_some() {
            settings.platform = self.platform.clone();
        }
        Ok(settings)
    }

    fn read_file(&self) -> Result<OperatorSettings, TableCliError> {
        let Some(path) = &self.operator else {
            return Ok(OperatorSettings::default());
        };
        let content = fs::read(path).context(ReadFileSnafu { path })?;
        let file = path.display().to_string();
        let tree = parse_tree(&file, &content);
        let settings = tree.and_then(|tree| read_settings(&file, tree, Vec::new(), |_, _| {}));
        settings.map_err(|faults| {
            let lines: Vec<String> = faults.iter().map(SettingsFault::to_string).collect();
            let detail = lines.join("\n");
            SettingsInvalidSnafu { detail }.build()
        })
    }
}

impl OperatorSettings {
    /// Creates a client of the platform.
    ///
    /// # Errors
    ///
    /// When no platform is named or its address is invalid.
    pub fn connect(&self) -> Result<HttpPlatform, TableCliError> {
        let address = self.platform.clone().context(PlatformMissingSnafu)?;
        let platform = HttpPlatform::builder().address(address).build();
        platform.context(PlatformSnafu)
    }

    /// Creates a repository of the table at the platform.
    ///
    /// # Errors
    ///
    /// As for [`OperatorSettings::connect`].
    pub fn repository(&self) -> Result<TableRepository<HttpPlatform>, TableCliError> {
        Ok(TableRepository::new(self.connect()?))
    }
}
