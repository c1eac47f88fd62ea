//! A builder for tests of `trestlewalk table`: the real binary against a platform and entry instances on the loopback.

use {
    axum::{Json, Router, extract::State, routing::get},
    fake::{PlatformFaults, PlatformSettings, StandInPlatform},
    plat::{HttpPlatform, InstanceKind, InstanceRecord, InstanceState, TableRepository},
    std::{fs, net::SocketAddr, path::PathBuf, process::Command},
    tempfile::TempDir,
    tokio::{net::TcpListener, runtime::Runtime},
    trestlewalk::admin::TableStatus,
};

pub(crate) const HEADINGS: &str = "work,service,model,rank,weight,limit,zones,first_token,between_tokens,patience,repeat,retries,waste";

/// The table that an entry instance reports, and its availability zone.
#[derive(Clone)]
enum EntryTable {
    /// Always the platform's current version.
    Follows(HttpPlatform, &'static str),
    /// A fixed version that never advances.
    Stuck(u64, &'static str),
}

pub(crate) struct Test {
    folder: TempDir,
    instances: Vec<SocketAddr>,
    platform: StandInPlatform,
    runtime: Runtime,
}

/// Output and exit code of a run.
pub(crate) struct Outcome {
    pub(crate) error: String,
    pub(crate) exit: i32,
    pub(crate) output: String,
}

impl Outcome {
    pub(crate) fn error_has(self, text: &str) -> Self {
        assert!(self.error.contains(text), "no `{text}` in: {}", self.error);
        self
    }

    pub(crate) fn exit(self, exit: i32) -> Self {
        assert_eq!(self.exit, exit, "{}{}", self.output, self.error);
        self
    }

    pub(crate) fn output_has(self, text: &str) -> Self {
        assert!(
            self.output.contains(text),
            "no `{text}` in: {}",
            self.output
        );
        self
    }
}

impl Test {
    pub(crate) fn new() -> Self {
        let runtime = Runtime::new().unwrap();
        let platform = runtime.block_on(StandInPlatform::start(PlatformSettings::default()));
        Self {
            folder: tempfile::tempdir().unwrap(),
            instances: Vec::new(),
            platform: platform.unwrap(),
            runtime,
        }
    }

    /// An instance that takes over the platform's table immediately.
    pub(crate) fn entry(mut self, zone: &'static str) -> Self {
        let entry = EntryTable::Follows(self.client(), zone);
        self.instances.push(self.start(entry));
        self
    }

    pub(crate) fn stuck_entry(mut self, zone: &'static str, version: u64) -> Self {
        self.instances
            .push(self.start(EntryTable::Stuck(version, zone)));
        self
    }

    /// An instance that the platform lists and that does not answer.
    pub(crate) fn silent_entry(mut self, zone: &str) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        drop(listener);
        self.platform.put_instance(InstanceRecord {
            address: address.to_string().into(),
            checks_fence: false,
            kind: InstanceKind::Entry,
            model: None,
            name: "silent".into(),
            service: None,
            state: InstanceState::Live,
            zone: zone.into(),
        });
        self.instances.push(address);
        self
    }

    /// An upstream in the platform's list; nothing answers there.
    pub(crate) fn listed_upstream(self, zone: &str, service: &str, model: Option<&str>) -> Self {
        self.platform.put_instance(InstanceRecord {
            address: "127.0.0.1:1".into(),
            checks_fence: false,
            kind: if model.is_some() {
                InstanceKind::Decode
            } else {
                InstanceKind::Plain
            },
            model: model.map(Into::into),
            name: format!("{zone}-{service}").into(),
            service: Some(service.into()),
            state: InstanceState::Live,
            zone: zone.into(),
        });
        self
    }

    pub(crate) fn lose_replies(&self, count: u64) {
        self.platform.set_faults(PlatformFaults {
            lose_next_replies: count,
            ..PlatformFaults::default()
        });
    }

    pub(crate) fn platform(&self) -> &StandInPlatform {
        &self.platform
    }

    pub(crate) fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    pub(crate) fn read(&self, name: &str) -> String {
        fs::read_to_string(self.path(name)).unwrap()
    }

    pub(crate) fn write(&self, name: &str, content: &str) -> &Self {
        fs::write(self.path(name), content).unwrap();
        self
    }

    /// Runs `trestlewalk table` in the test's folder.
    pub(crate) fn run(&self, arguments: &[&str]) -> Outcome {
        let instances: Vec<String> = self.instances.iter().map(ToString::to_string).collect();
        let mut command = Command::new(env!("CARGO_BIN_EXE_trestlewalk"));
        command
            .arg("table")
            .args(arguments)
            .current_dir(self.folder.path());
        command.env(
            "TRESTLEWALK_PLATFORM",
            format!("http://{}", self.platform.address()),
        );
        command
            .env_remove("TRESTLEWALK_OPERATOR")
            .env("USER", "ilze");
        match instances.is_empty() {
            true => command.env_remove("TRESTLEWALK_INSTANCES"),
            false => command.env("TRESTLEWALK_INSTANCES", instances.join(",")),
        };
        let output = command.output().unwrap();
        Outcome {
            error: String::from_utf8(output.stderr).unwrap(),
            exit: output.status.code().unwrap(),
            output: String::from_utf8(output.stdout).unwrap(),
        }
    }

    /// Writes the output of `table show` to a file with `from` replaced by `to`, and returns the text of the file.
    pub(crate) fn edit_shown(&self, name: &str, from: &str, to: &str) -> String {
        let text = self.run(&["show"]).exit(0).output;
        let edited = text.replace(from, to);
        self.write(name, &edited);
        edited
    }

    pub(crate) fn version(&self) -> u64 {
        let repository = TableRepository::new(self.client());
        let head = self.runtime.block_on(repository.head()).unwrap();
        head.map_or(0, |head| head.version)
    }

    fn client(&self) -> HttpPlatform {
        let address = format!("http://{}", self.platform.address());
        HttpPlatform::builder().address(address).build().unwrap()
    }

    fn start(&self, entry: EntryTable) -> SocketAddr {
        let router = Router::new()
            .route("/table", get(table_status))
            .with_state(entry);
        let listener = self
            .runtime
            .block_on(TcpListener::bind("127.0.0.1:0"))
            .unwrap();
        let address = listener.local_addr().unwrap();
        self.runtime
            .spawn(async move { axum::serve(listener, router).await });
        address
    }
}

async fn table_status(State(entry): State<EntryTable>) -> Json<TableStatus> {
    let (version, zone) = match entry {
        EntryTable::Follows(platform, zone) => {
            let head = TableRepository::new(platform).head().await.unwrap();
            (head.map_or(0, |head| head.version), zone)
        }
        EntryTable::Stuck(version, zone) => (version, zone),
    };
    Json(TableStatus {
        cut_off_since: None,
        digest: version,
        instance: zone.into(),
        since: 1,
        version,
        zone: zone.into(),
    })
}
