//! The system of the demonstration: the platform, the engines, the services and the entry instances, all in this
//! process.

use {
    crate::{
        RunError,
        demo::system_plan::{
            DECODE_ENGINES, MODELS, SERVICES, TABLE, ZONES, engine_settings, list_record,
            service_settings,
        },
        entry::{EntryProcess, ReadyLine},
        run_error::{FakeSnafu, KeysSnafu, PlatformSnafu, TableInvalidSnafu},
        settings::{EntrySettings, KeySettings, TestKeys},
    },
    engine::wire::engine_role::EngineRole,
    fake::{PlatformSettings, StandInEngine, StandInPlatform, StandInService, model::EngineLinks},
    kernel::{StateMap, unix_time},
    peer::PeerKeys,
    plat::{
        EditOrigin, EditOutcome, EditRequest, HttpPlatform, InstanceKind, InstanceRecord,
        TableRepository,
    },
    snafu::ResultExt,
    std::{
        collections::BTreeMap,
        time::{Duration, SystemTime},
    },
    table::{FileBase, read_csv},
    tokio::time,
};

/// How often a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long to wait until the system is ready, or until an edit is in force.
const WAIT_LIMIT: Duration = Duration::from_secs(15);

/// One entry instance of the demonstration.
pub struct DemoEntry {
    /// The addresses that it listens at.
    pub line: ReadyLine,
    /// The state that its plug-ins read.
    pub map: StateMap,
    process: EntryProcess,
    /// The availability zone that it runs in.
    pub zone: &'static str,
}

/// The running system.
pub struct DemoSystem {
    engines: BTreeMap<String, StandInEngine>,
    /// The entry instances, one per availability zone.
    pub entries: Vec<DemoEntry>,
    platform: StandInPlatform,
    repository: TableRepository<HttpPlatform>,
    services: Vec<StandInService>,
}

impl DemoSystem {
    /// Closes the entry instances gracefully, then the stand-ins. Returns how many requests the closes cut off.
    pub async fn close(self) -> u64 {
        let mut cut = 0;
        for entry in self.entries {
            cut += entry.process.close().await.cut;
        }
        for engine in self.engines.into_values() {
            engine.close().await;
        }
        for service in self.services {
            service.close().await;
        }
        self.platform.close().await;
        cut
    }

    /// Applies a table, and returns for each availability zone how long it took to come into force.
    ///
    /// # Errors
    ///
    /// The table has faults, or the platform refuses it.
    pub async fn edit(&self, csv: &str) -> Result<Vec<(&'static str, Duration)>, RunError> {
        let version = self.commit(csv).await?;
        let committed = time::Instant::now();
        let mut times = Vec::new();
        for entry in &self.entries {
            self.wait_for_version(entry, version).await;
            times.push((entry.zone, committed.elapsed()));
        }
        Ok(times)
    }

    /// Stops an engine while it serves requests, as a crash would. The platform's list drops it only afterwards.
    pub async fn kill_engine(&mut self, name: &str) {
        let Some(engine) = self.engines.remove(name) else {
            return;
        };
        engine.close().await;
        self.platform.remove_instance(name);
    }

    /// Starts everything and waits until every entry instance is ready.
    ///
    /// # Errors
    ///
    /// A socket can't be opened, or keys can't be made.
    pub async fn start() -> Result<Self, RunError> {
        let platform = StandInPlatform::start(PlatformSettings::default())
            .await
            .context(FakeSnafu)?;
        let client = HttpPlatform::builder()
            .address(format!("http://{}", platform.address()))
            .build()
            .context(PlatformSnafu)?;
        let mut system = Self {
            engines: BTreeMap::new(),
            entries: Vec::new(),
            platform,
            repository: TableRepository::new(client),
            services: Vec::new(),
        };
        for zone in ZONES {
            system.start_engines(zone).await?;
            system.start_services(zone).await?;
        }
        system.commit(TABLE).await?;
        system.start_entries().await?;
        for entry in &system.entries {
            system.wait_for_version(entry, 1).await;
        }
        Ok(system)
    }

    /// The prompt tokens that all engines prefilled, and how many of them were wasted, as the engines count them.
    pub fn wasted_tokens(&self) -> (u64, u64) {
        let counters = self.engines.values().map(StandInEngine::counters);
        let counts =
            counters.map(|counter| (counter.prompt_tokens_read, counter.prompt_tokens_wasted));
        counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1))
    }

    async fn commit(&self, csv: &str) -> Result<u64, RunError> {
        let file =
            read_csv("the demonstration's table", csv.as_bytes()).context(TableInvalidSnafu)?;
        let snapshot = self.repository.snapshot().await.context(PlatformSnafu)?;
        let at = unix_time::since_epoch(SystemTime::now());
        let origin = EditOrigin {
            at,
            author: "demo".into(),
            floor: 0,
            id: format!("demo-{}", at.as_nanos()).into(),
        };
        let base = FileBase {
            digest: None,
            version: snapshot.version(),
        };
        let edit = EditRequest {
            base,
            origin,
            rows: file.rows,
        };
        let outcome = self
            .repository
            .commit_edit(&edit)
            .await
            .context(PlatformSnafu)?;
        Ok(match outcome {
            EditOutcome::Committed { version, .. }
            | EditOutcome::Conflict { version, .. }
            | EditOutcome::Unchanged { version } => version,
        })
    }

    async fn start_engines(&mut self, zone: &'static str) -> Result<(), RunError> {
        let links = EngineLinks::new(&engine_settings(zone, "", EngineRole::Prefill));
        for (service, model) in MODELS {
            let prefill = format!("{zone}-{service}-prefill-1");
            self.start_engine(zone, service, model, prefill, EngineRole::Prefill, &links)
                .await?;
            for count in 1..=DECODE_ENGINES {
                let decode = format!("{zone}-{service}-decode-{count}");
                self.start_engine(zone, service, model, decode, EngineRole::Decode, &links)
                    .await?;
            }
        }
        Ok(())
    }

    async fn start_engine(
        &mut self,
        zone: &'static str,
        service: &str,
        model: &str,
        name: String,
        role: EngineRole,
        links: &EngineLinks,
    ) -> Result<(), RunError> {
        let settings = engine_settings(&name, model, role);
        let engine = StandInEngine::start_with_links(settings, links.clone())
            .await
            .context(FakeSnafu)?;
        let kind = match role {
            EngineRole::Decode => InstanceKind::Decode,
            EngineRole::Prefill => InstanceKind::Prefill,
        };
        let record = list_record(&name, zone, kind, Some(service), engine.address());
        self.platform.put_instance(InstanceRecord {
            model: Some(model.into()),
            ..record
        });
        self.engines.insert(name, engine);
        Ok(())
    }

    async fn start_entries(&mut self) -> Result<(), RunError> {
        let names = ZONES.map(|zone| format!("{zone}-1"));
        let texts: Vec<&str> = names.iter().map(String::as_str).collect();
        let (_, keys) = peer::make_test_keys(&texts).context(KeysSnafu)?;
        for ((zone, name), keys) in ZONES.into_iter().zip(names).zip(keys) {
            let settings = self.entry_settings(zone, &name, keys);
            let (process, line, map) = EntryProcess::start(settings).await?;
            let record = list_record(
                &name,
                zone,
                InstanceKind::Entry,
                None,
                line.peers.expect("an entry instance has peers"),
            );
            self.platform.put_instance(record);
            self.entries.push(DemoEntry {
                line,
                map,
                process,
                zone,
            });
        }
        Ok(())
    }

    fn entry_settings(&self, zone: &str, name: &str, keys: PeerKeys) -> EntrySettings {
        let mut settings = EntrySettings {
            instance: name.into(),
            zone: zone.into(),
            ..EntrySettings::default()
        };
        let loopback = ([127, 0, 0, 1], 0).into();
        settings.listen.admin = loopback;
        settings.listen.callers = loopback;
        settings.listen.peers = loopback;
        settings.platform.address = self.platform.address();
        settings.limits.close = Duration::from_secs(10);
        let test = TestKeys {
            authority: keys.authorities,
            certificate: keys.certificate,
            key: keys.private_key,
        };
        settings.keys = KeySettings {
            test: Some(test),
            ..KeySettings::default()
        };
        settings
    }

    async fn start_services(&mut self, zone: &'static str) -> Result<(), RunError> {
        for service in SERVICES {
            let name = format!("{zone}-{service}-1");
            let replica = StandInService::start(service_settings())
                .await
                .context(FakeSnafu)?;
            let address = replica.address();
            self.platform.put_instance(list_record(
                &name,
                zone,
                InstanceKind::Plain,
                Some(service),
                address,
            ));
            self.services.push(replica);
        }
        Ok(())
    }

    async fn wait_for_version(&self, entry: &DemoEntry, version: u64) {
        let started = time::Instant::now();
        while started.elapsed() < WAIT_LIMIT {
            let current_table = entry.map.get::<flow::CurrentTable>();
            let table = current_table.and_then(|current_table| current_table.table());
            if table.is_some_and(|table| table.version >= version) {
                return;
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }
}
