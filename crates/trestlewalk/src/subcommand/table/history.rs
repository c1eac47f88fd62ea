//! `trestlewalk table history`.

use {
    super::{
        change_text::changes_text,
        operator_arguments::OperatorArguments,
        table_cli_error::{PlatformSnafu, TableCliError},
        text_output::print_text,
    },
    clap::Args,
    plat::EditRecord,
    snafu::ResultExt,
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// The arguments of `table history`.
#[derive(Args, Debug)]
pub struct HistoryCommand {
    /// How many edits to print.
    #[arg(default_value_t = 20, long, value_name = "COUNT")]
    pub limit: usize,
    /// Where the platform is.
    #[command(flatten)]
    pub operator: OperatorArguments,
}

impl HistoryCommand {
    /// Prints the latest edits, newest first.
    ///
    /// # Errors
    ///
    /// When the platform's log can't be read.
    pub async fn execute(self) -> Result<(), TableCliError> {
        let repository = self.operator.load()?.repository()?;
        let records = repository.history(self.limit).await;
        let records = records.context(PlatformSnafu)?;
        let text: String = records.iter().map(record_text).collect();
        print_text(&text)
    }
}

fn record_text(record: &EditRecord) -> String {
    format!(
        "version {}  {}  {}  edit {}\n{}",
        record.version,
        time_text(record.at),
        record.author,
        record.id,
        changes_text(&record.changes)
    )
}

/// Formats a time since the Unix epoch to the second; times after the year 9999 are shown as its end.
fn time_text(at: Duration) -> String {
    const LAST: Duration = Duration::from_secs(253_402_300_799);
    let time: Option<SystemTime> = UNIX_EPOCH.checked_add(at.min(LAST));
    humantime::format_rfc3339_seconds(time.unwrap_or(UNIX_EPOCH)).to_string()
}
