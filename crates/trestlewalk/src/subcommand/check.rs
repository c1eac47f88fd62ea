//! `trestlewalk check`.

use {
    crate::{
        RunError,
        run_error::{ReadFileSnafu, SettingsInvalidSnafu, TableInvalidSnafu},
        settings::{
            SettingOverride, parse_relay_file, parse_settings,
            settings_node::{NodeValue, SettingsNode},
        },
        text_output::print_line,
    },
    clap::Args,
    snafu::ResultExt,
    std::{
        fs,
        path::{Path, PathBuf},
    },
};

const SETTINGS_EXTENSIONS: [&str; 2] = ["yaml", "yml"];
const TABLE_EXTENSIONS: [&str; 1] = ["csv"];

/// The kind of content of a file.
enum FileKind {
    Settings,
    Table,
}

/// The arguments of `check`.
#[derive(Args, Debug)]
pub struct CheckCommand {
    /// The settings (`.yaml`) or the table (`.csv`); with another extension the content decides.
    pub file: PathBuf,
    /// Checks the file as settings of `relay`.
    #[arg(long)]
    pub relay: bool,
    /// Overrides one setting, such as `--set limits.body=2MiB`; may be given more than once.
    #[arg(long, value_name = "FIELD=VALUE")]
    pub set: Vec<SettingOverride>,
}

impl CheckCommand {
    /// Checks the file and prints a line when it has no faults.
    ///
    /// # Errors
    ///
    /// The file can't be read or has faults; the error lists them all.
    pub fn run(self) -> Result<(), RunError> {
        let content = fs::read(&self.file).context(ReadFileSnafu { path: &self.file })?;
        let file = self.file.display().to_string();
        if self.relay {
            return check_relay(&file, &content, self.set);
        }
        match file_kind(&self.file, &content) {
            FileKind::Settings => check_settings(&file, &content, self.set),
            FileKind::Table => check_table(&file, &content),
        }
    }
}

fn check_relay(
    file: &str,
    content: &[u8],
    overrides: Vec<SettingOverride>,
) -> Result<(), RunError> {
    let settings = parse_relay_file(file, content, overrides)
        .map_err(|faults| SettingsInvalidSnafu { faults }.build())?;
    print_line(&format!(
        "{file}: no faults in the settings of instance {} in availability zone {}",
        settings.instance, settings.zone
    ))
}

fn check_settings(
    file: &str,
    content: &[u8],
    overrides: Vec<SettingOverride>,
) -> Result<(), RunError> {
    let settings = parse_settings(file, content, overrides)
        .map_err(|faults| SettingsInvalidSnafu { faults }.build())?;
    print_line(&format!(
        "{file}: no faults in the settings of instance {} in availability zone {}",
        settings.instance, settings.zone
    ))
}

fn check_table(file: &str, content: &[u8]) -> Result<(), RunError> {
    let table = table::read_csv(file, content).context(TableInvalidSnafu)?;
    print_line(&format!(
        "{file}: no faults in the table of {} rows",
        table.rows.len()
    ))
}

fn file_kind(path: &Path, content: &[u8]) -> FileKind {
    let extension = path.extension().and_then(|extension| extension.to_str());
    let extension = extension.unwrap_or_default();
    if SETTINGS_EXTENSIONS.contains(&extension) {
        return FileKind::Settings;
    }
    if TABLE_EXTENSIONS.contains(&extension) {
        return FileKind::Table;
    }
    let text = String::from_utf8_lossy(content);
    match SettingsNode::parse(&text) {
        Ok(SettingsNode {
            value: NodeValue::Map(_),
            ..
        }) => FileKind::Settings,
        _ => FileKind::Table,
    }
}
