//! `trestlewalk table apply`.

use {
    super::{
        admin_probe::{AdminProbe, ProbeAnswers},
        edit_plan::{EditPlan, refuse_conflicts},
        file_arguments::FileArguments,
        operator_arguments::OperatorArguments,
        show::snapshot_text,
        table_cli_error::{
            DigestDiffersSnafu, NotInForceSnafu, OutputSnafu, PlatformSnafu, TableCliError,
            VersionFellSnafu,
        },
        text_output::print_text,
        zone_watch::ZoneWatch,
    },
    clap::Args,
    kernel::{TableVersion, ZoneId, unix_time},
    plat::{
        EditId, EditOrigin, EditOutcome, EditRequest, HttpPlatform, InstanceKind, InstanceList,
        InstanceRecord, TableRepository, TableSnapshot,
    },
    snafu::ResultExt,
    std::{
        collections::BTreeSet,
        fs,
        hash::{BuildHasher, RandomState},
        sync::Arc,
        time::{Duration, Instant, SystemTime},
    },
    table::TableFile,
};

/// The pause between two rounds of queries to entry instances.
const PROBE_PAUSE: Duration = Duration::from_millis(200);

/// The arguments of `table apply`.
#[derive(Args, Debug)]
pub struct ApplyCommand {
    /// Who makes the edit, for the log.
    #[arg(default_value = "unknown", env = "USER", long, value_name = "NAME")]
    pub author: Arc<str>,
    /// The table file.
    #[command(flatten)]
    pub file: FileArguments,
    /// Where the platform and the entry instances are.
    #[command(flatten)]
    pub operator: OperatorArguments,
    /// Rewrites the file from the table after the edit, so that it can be edited further.
    #[arg(long)]
    pub refresh: bool,
    /// How long to wait until the edit is in force everywhere.
    #[arg(default_value = "15s", long, value_name = "DURATION", value_parser = humantime::parse_duration)]
    pub wait: Duration,
}

impl ApplyCommand {
    /// Prints what changes, commits it, and prints for each availability zone when it came into force.
    ///
    /// # Errors
    ///
    /// When the file has faults or conflicts, the platform does not take the edit, or it is not in force everywhere in
    /// time; the result code tells these apart.
    pub async fn execute(self) -> Result<(), TableCliError> {
        let file = self.file.load()?;
        let settings = self.operator.load()?;
        let repository = settings.repository()?;
        let probe = AdminProbe::new(settings.instances.clone());
        let before = probe.ask_all().await;
        let held = greatest_version(&before);
        let snapshot = self.wait_for_platform(&repository, held).await?;
        let plan = EditPlan::make(&repository, &snapshot, &self.file, &file).await?;
        // Without a list there are no notes, and only the answers of instances tell which availability zones there are.
        let instances = repository.store().instances().await.unwrap_or_default();
        plan.print(&instances)?;
        let version = self.commit(&repository, &plan, file, held).await?;
        if self.refresh {
            self.write_file(&repository).await?;
        }
        if settings.instances.is_empty() {
            return print_text("no entry instances are named, so nothing is known of zones\n");
        }
        let watch = ZoneWatch::new(version, entry_zones(instances), &before);
        self.follow(&probe, watch, version).await
    }

    async fn commit(
        &self,
        repository: &TableRepository<HttpPlatform>,
        plan: &EditPlan,
        file: TableFile,
        held: TableVersion,
    ) -> Result<TableVersion, TableCliError> {
        let request = EditRequest {
            base: plan.base,
            origin: EditOrigin {
                at: unix_time::since_epoch(SystemTime::now()),
                author: self.author.clone(),
                floor: held.saturating_add(1),
                id: new_edit_id(),
            },
            rows: file.rows,
        };
        let outcome = repository.commit_edit(&request).await;
        match outcome.context(PlatformSnafu)? {
            EditOutcome::Committed { version, .. } => {
                print_text(&format!("accepted as version {version}\n"))?;
                Ok(version)
            }
            EditOutcome::Conflict { conflicts, version } => {
                refuse_conflicts(&conflicts, version)?;
                Ok(version)
            }
            EditOutcome::Unchanged { version } => {
                print_text(&format!("nothing to change in version {version}\n"))?;
                Ok(version)
            }
        }
    }

    /// Queries the instances until the edit is in force everywhere or the wait is over.
    async fn follow(
        &self,
        probe: &AdminProbe,
        mut watch: ZoneWatch,
        version: TableVersion,
    ) -> Result<(), TableCliError> {
        let start = Instant::now();
        loop {
            let answers = probe.ask_all().await;
            for zone in watch.record_answers(&answers, start.elapsed()) {
                print_text(&format!("{}\n", watch.zone_text(&zone)))?;
            }
            if watch.is_done() || start.elapsed() >= self.wait {
                break;
            }
            tokio::time::sleep(PROBE_PAUSE).await;
        }
        let open = watch.pending_zones();
        for zone in &open {
            print_text(&format!("{}\n", watch.zone_text(zone)))?;
        }
        if watch.digests_differ() {
            return DigestDiffersSnafu { version }.fail();
        }
        match open.is_empty() {
            true => Ok(()),
            false => {
                let zones = open.join(", ");
                NotInForceSnafu { version, zones }.fail()
            }
        }
    }

    /// Waits until the platform's table is no older than those of the entry instances, and returns it.
    async fn wait_for_platform(
        &self,
        repository: &TableRepository<HttpPlatform>,
        held: TableVersion,
    ) -> Result<TableSnapshot, TableCliError> {
        let start = Instant::now();
        loop {
            let snapshot = repository.snapshot().await.context(PlatformSnafu)?;
            let stored = snapshot.version();
            if stored >= held {
                return Ok(snapshot);
            }
            if start.elapsed() >= self.wait {
                return VersionFellSnafu { held, stored }.fail();
            }
            tokio::time::sleep(PROBE_PAUSE).await;
        }
    }

    async fn write_file(
        &self,
        repository: &TableRepository<HttpPlatform>,
    ) -> Result<(), TableCliError> {
        let snapshot = repository.snapshot().await.context(PlatformSnafu)?;
        let what = self.file.file.display().to_string();
        fs::write(&self.file.file, snapshot_text(&snapshot)).context(OutputSnafu { what })
    }
}

/// The availability zones in which the platform's list names entry instances.
fn entry_zones(instances: Vec<InstanceRecord>) -> BTreeSet<ZoneId> {
    let entries = instances.into_iter();
    entries
        .filter(|instance| instance.kind == InstanceKind::Entry)
        .map(|instance| instance.zone)
        .collect()
}

fn greatest_version(answers: &ProbeAnswers) -> TableVersion {
    let versions = answers.values().flatten().map(|status| status.version);
    versions.max().unwrap_or_default()
}

/// Makes a unique id from the time and a random number of the standard library.
fn new_edit_id() -> EditId {
    let now = unix_time::micros(SystemTime::now());
    let drawn = RandomState::new().hash_one((now, std::process::id()));
    format!("{now:016x}-{drawn:016x}").into()
}
