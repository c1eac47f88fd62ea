//! One scenario: a file that says how an availability zone looks and what happens there.

use {
    crate::{
        bench_error::{BenchError, FileInvalidSnafu, FileReadSnafu, FileSyntaxSnafu},
        scenario::{
            day_point::DayPoint, engine_sizes::EngineSizes, fault_event::FaultEvent,
            human_time::HumanTime, link_sizes::LinkSizes, load_burst::LoadBurst,
            message_delays::MessageDelays, outsider_load::OutsiderLoad, scenario_check,
            work_mix::WorkMix,
        },
    },
    serde::{Deserialize, Serialize},
    serde_with::serde_as,
    snafu::ResultExt,
    std::{path::Path, sync::Arc, time::Duration},
    table::WorkTable,
};

/// One scenario, as its file has it. `docs/BENCH.md` describes each field.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioFile {
    /// What the scenario is for, in one line.
    pub about: Arc<str>,
    /// Bursts of arrivals.
    #[serde(default)]
    pub bursts: Vec<LoadBurst>,
    /// The working day's curve; empty is an even rate.
    #[serde(default)]
    pub day: Vec<DayPoint>,
    /// Delays and lags.
    pub delays: MessageDelays,
    /// How long the run goes on after the last arrival; what has not ended then is lost.
    #[serde_as(as = "HumanTime")]
    pub drain: Duration,
    /// How long requests arrive.
    #[serde_as(as = "HumanTime")]
    pub duration: Duration,
    /// The engines.
    pub engines: EngineSizes,
    /// Entry instances.
    pub entries: u32,
    /// What dies or leaves.
    #[serde(default)]
    pub faults: Vec<FaultEvent>,
    /// The link.
    pub link: LinkSizes,
    /// The peak arrival rate, as a multiple of the computed capacity.
    pub load: f64,
    /// Load of other allocators; none is none.
    #[serde(default)]
    pub outsiders: Option<OutsiderLoad>,
    /// The kinds of work.
    pub rows: Vec<WorkMix>,
}

impl ScenarioFile {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// The file can't be read, has unknown or missing fields, or a field has a value that makes no sense; the
    /// message names the file and the field.
    pub fn load(path: &Path) -> Result<Self, BenchError> {
        let text = std::fs::read_to_string(path).context(FileReadSnafu { path })?;
        Self::parse(path, &text)
    }

    /// Reads and checks the text of a file.
    ///
    /// # Errors
    /// As [`ScenarioFile::load`].
    pub fn parse(path: &Path, text: &str) -> Result<Self, BenchError> {
        let file: Self = serde_saphyr::from_str(text)
            .map_err(|fault| fault.to_string())
            .map_err(|fault| FileSyntaxSnafu { fault, path }.build())?;
        let faults = scenario_check::faults(&file);
        if !faults.is_empty() {
            return FileInvalidSnafu { faults, path }.fail();
        }
        Ok(file)
    }

    /// The table that the allocator is given.
    pub fn table(&self) -> WorkTable {
        let mut table = WorkTable::default();
        for mix in &self.rows {
            table.rows.insert(mix.work.clone(), mix.row(SERVICE));
        }
        table.version = 1;
        table
    }
}

/// The service and the model of all engines of a scenario.
pub(crate) const SERVICE: &str = "model";
