//! Separate processes that make up a whole system.

use {
    super::{
        BINARY, FleetPlan, FleetProcess, HttpCall, RelayMode, TcpRelay, UdpRelay,
        cli_test::CliOutput, wait::wait_for,
    },
    hyper::{Method, StatusCode},
    peer::TestAuthority,
    plat::{InstanceKind, InstanceRecord, InstanceState},
    rustix::process::Signal,
    serde_json::{Value, json},
    std::{collections::BTreeMap, fs, net::SocketAddr, path::Path, process::ExitStatus},
    tempfile::TempDir,
    tokio::process::Command,
    trestlewalk::{
        EntrySettings,
        settings::{KeySettings, TestKeys},
    },
};

/// One entry instance and the ways to and from it.
#[derive(Debug)]
struct FleetEntry {
    /// Other instances reach it through this.
    peers: UdpRelay,
    /// It reaches the platform through this.
    platform: TcpRelay,
    process: FleetProcess,
    zone: String,
}

/// One upstream and the way to it.
#[derive(Debug)]
struct FleetUpstream {
    process: FleetProcess,
    record: InstanceRecord,
    relay: TcpRelay,
}

/// The running processes. All are killed when it is dropped.
pub struct Fleet {
    authority: TestAuthority,
    entries: BTreeMap<String, FleetEntry>,
    folder: TempDir,
    plan: FleetPlan,
    platform: FleetProcess,
    upstreams: BTreeMap<String, FleetUpstream>,
}

impl Fleet {
    /// A GET call to an admin address of an entry instance: `/ready`, `/dump`, `/metrics`, `/table` or `/live`.
    pub fn admin(&self, entry: &str, path: &str) -> HttpCall {
        self.process(entry).get("admin", path)
    }

    /// Lets nothing pass between the entry instances of two availability zones.
    pub fn cut_zones(&self, left: &str, right: &str) {
        self.each_way(left, right, |relay, sender| relay.block(sender));
        self.each_way(right, left, |relay, sender| relay.block(sender));
    }

    /// What the plug-ins of an entry instance dump.
    pub async fn dump(&self, entry: &str) -> Value {
        self.admin(entry, "/dump").send().await.json()
    }

    /// The calls of callers at one entry instance.
    pub fn entry(&self, name: &str) -> CallerSide {
        CallerSide {
            address: self.process(name).address("callers"),
        }
    }

    /// The names of the entry instances.
    pub fn entry_names(&self) -> Vec<String> {
        self.entries.keys().cloned().collect()
    }

    /// Waits until a process ends by itself.
    pub async fn exit(&mut self, name: &str) -> ExitStatus {
        self.process_mut(name).exit().await
    }

    /// Sets the faults of a stand-in: `platform` or an upstream.
    pub async fn faults(&self, name: &str, faults: Value) {
        let process = self.process(name);
        let call = process.post("admin", "/admin/faults").json(&faults);
        let reply = call.send().await;
        assert!(reply.status.is_success(), "{name}: {}", reply.text());
    }

    /// The counters of a stand-in: `platform` or an upstream.
    pub async fn counters(&self, name: &str) -> Value {
        let call = self.process(name).get("admin", "/admin/counters");
        call.send().await.json()
    }

    /// Cuts an availability zone off from all others and from the platform.
    pub fn isolate_zone(&self, zone: &str) {
        self.switch_platform(zone, RelayMode::Silent);
        for other in self.other_zones(zone) {
            self.cut_zones(zone, &other);
        }
    }

    /// Ends a process with SIGKILL.
    pub async fn kill(&mut self, name: &str) {
        self.process_mut(name).kill().await;
    }

    /// Changes what the platform's list says of an instance.
    pub async fn list_state(&self, name: &str, state: InstanceState) {
        let mut record = self.record(name);
        record.state = state;
        self.list(&record).await;
    }

    /// What a process wrote to standard error.
    pub fn log(&self, name: &str) -> String {
        self.process(name).log()
    }

    /// Joins two availability zones again.
    pub fn mend_zones(&self, left: &str, right: &str) {
        self.each_way(left, right, |relay, sender| relay.unblock(sender));
        self.each_way(right, left, |relay, sender| relay.unblock(sender));
    }

    /// Stops a process with SIGSTOP, and waits until it stands still.
    pub async fn pause(&self, name: &str) {
        self.process(name).pause().await;
    }

    /// The address of the platform itself, past all relays.
    pub fn platform_address(&self) -> SocketAddr {
        self.platform.address("address")
    }

    /// The way from an entry instance to the platform.
    pub fn platform_relay(&self, entry: &str) -> &TcpRelay {
        &self.fleet_entry(entry).platform
    }

    /// A process: `platform`, an upstream or an entry instance.
    pub fn process(&self, name: &str) -> &FleetProcess {
        if name == "platform" {
            return &self.platform;
        }
        if let Some(upstream) = self.upstreams.get(name) {
            return &upstream.process;
        }
        &self.fleet_entry(name).process
    }

    /// Joins an isolated availability zone to all others and to the platform.
    pub fn rejoin_zone(&self, zone: &str) {
        self.switch_platform(zone, RelayMode::Open);
        for other in self.other_zones(zone) {
            self.mend_zones(zone, &other);
        }
    }

    /// Starts a new life of an entry instance that ended or was killed.
    pub async fn restart_entry(&mut self, name: &str) {
        let zone = self.fleet_entry(name).zone.clone();
        self.start_entry(name, &zone).await;
    }

    /// Lets a stopped process run again with SIGCONT.
    pub fn resume(&self, name: &str) {
        self.process(name).signal(Signal::CONT);
    }

    /// Runs the binary once, beside the fleet.
    pub async fn run(&self, args: &[&str]) -> CliOutput {
        let mut command = Command::new(BINARY);
        command.args(args).current_dir(self.folder.path());
        let output = wait_for("the end of a command", command.kill_on_drop(true).output());
        let output = output.await.unwrap();
        CliOutput {
            folder: None,
            status: output.status.code().unwrap_or(-1),
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
            stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        }
    }

    /// Starts the processes of a plan.
    pub async fn start(plan: FleetPlan) -> Self {
        let folder = TempDir::new().unwrap();
        let args = fake_args("platform", plan.platform_set.clone());
        let platform = FleetProcess::start("platform", &args, folder.path()).await;
        let mut fleet = Self {
            authority: TestAuthority::new().unwrap(),
            entries: BTreeMap::new(),
            folder,
            plan: plan.clone(),
            platform,
            upstreams: BTreeMap::new(),
        };
        for zone in &plan.zones {
            fleet.start_zone(zone).await;
        }
        fleet
    }

    /// Starts an entry instance, or a new life of one, and puts it into the platform's list.
    pub async fn start_entry(&mut self, name: &str, zone: &str) {
        let platform = TcpRelay::start(self.platform_address()).await;
        let file = format!("{name}.yaml");
        let settings = self.entry_settings(name, zone, platform.address());
        fs::write(
            self.folder.path().join(&file),
            serde_json::to_string(&settings).unwrap(),
        )
        .unwrap();
        let mut args = vec!["serve".to_owned(), "--settings".to_owned(), file];
        for setting in &self.plan.set {
            args.extend(["--set".to_owned(), setting.clone()]);
        }
        let process = FleetProcess::start(name, &args, self.folder.path()).await;
        let peers = UdpRelay::start(process.address("peers")).await;
        let entry = FleetEntry {
            peers,
            platform,
            process,
            zone: zone.to_owned(),
        };
        self.entries.insert(name.to_owned(), entry);
        self.list(&self.record(name)).await;
    }

    /// Starts an upstream, and puts it into the platform's list.
    pub async fn start_upstream(&mut self, name: &str, zone: &str, kind: InstanceKind) {
        let args = self.upstream_args(name, kind);
        let process = FleetProcess::start(name, &args, self.folder.path()).await;
        let relay = TcpRelay::start(process.address("address")).await;
        let plain = kind == InstanceKind::Plain;
        let service = match plain {
            true => &self.plan.plain_service,
            false => &self.plan.service,
        };
        let record = InstanceRecord {
            address: relay.address().to_string().into(),
            checks_fence: !plain,
            kind,
            model: (!plain).then(|| self.plan.model.as_str().into()),
            name: name.into(),
            service: Some(service.as_str().into()),
            state: InstanceState::Live,
            zone: zone.into(),
        };
        self.list(&record).await;
        let upstream = FleetUpstream {
            process,
            record,
            relay,
        };
        self.upstreams.insert(name.to_owned(), upstream);
    }

    /// Tells a process to close with SIGTERM.
    pub fn terminate(&self, name: &str) {
        self.process(name).signal(Signal::TERM);
    }

    /// Takes an instance out of the platform's list.
    pub async fn unlist(&self, name: &str) {
        let path = format!("/instances/{name}");
        let call = HttpCall::new(Method::DELETE, self.platform_address(), &path);
        let reply = call.send().await;
        assert!(reply.status.is_success(), "{name}: {}", reply.text());
    }

    /// The way to an upstream.
    pub fn upstream_relay(&self, name: &str) -> &TcpRelay {
        match self.upstreams.get(name) {
            Some(upstream) => &upstream.relay,
            None => panic!("no upstream `{name}`"),
        }
    }

    /// Waits until an entry instance says that it is ready.
    pub async fn wait_ready(&self, entry: &str) {
        super::wait_until(&format!("{entry} is ready"), async || {
            let reply = self.admin(entry, "/ready").try_send().await;
            reply.is_ok_and(|reply| reply.status == StatusCode::OK)
        })
        .await;
    }

    /// The folder of the files and logs.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    fn each_way(&self, to: &str, from: &str, act: impl Fn(&UdpRelay, SocketAddr)) {
        for entry in self.entries.values().filter(|entry| entry.zone == to) {
            for sender in self.entries.values().filter(|entry| entry.zone == from) {
                act(&entry.peers, sender.process.address("peers"));
            }
        }
    }

    fn entry_settings(&self, name: &str, zone: &str, platform: SocketAddr) -> EntrySettings {
        let keys = self.authority.issue(name).unwrap();
        let mut settings = EntrySettings {
            instance: name.into(),
            keys: KeySettings {
                test: Some(TestKeys {
                    authority: keys.authorities,
                    certificate: keys.certificate,
                    key: keys.private_key,
                }),
                ..KeySettings::default()
            },
            secret: Some("a secret for tests only".into()),
            zone: zone.into(),
            ..EntrySettings::default()
        };
        settings.platform.address = platform;
        settings
    }

    fn fleet_entry(&self, name: &str) -> &FleetEntry {
        match self.entries.get(name) {
            Some(entry) => entry,
            None => panic!("no process `{name}`"),
        }
    }

    async fn list(&self, record: &InstanceRecord) {
        let path = format!("/instances/{}", record.name);
        let call = HttpCall::new(Method::PUT, self.platform_address(), &path);
        let reply = call.json(record).send().await;
        assert!(
            reply.status.is_success(),
            "{}: {}",
            record.name,
            reply.text()
        );
    }

    fn other_zones(&self, zone: &str) -> Vec<String> {
        let mut zones = self.plan.zones.clone();
        zones.retain(|other| other != zone);
        zones
    }

    fn process_mut(&mut self, name: &str) -> &mut FleetProcess {
        if name == "platform" {
            return &mut self.platform;
        }
        if let Some(upstream) = self.upstreams.get_mut(name) {
            return &mut upstream.process;
        }
        match self.entries.get_mut(name) {
            Some(entry) => &mut entry.process,
            None => panic!("no process `{name}`"),
        }
    }

    fn record(&self, name: &str) -> InstanceRecord {
        if let Some(upstream) = self.upstreams.get(name) {
            return upstream.record.clone();
        }
        let entry = self.fleet_entry(name);
        InstanceRecord {
            address: entry.peers.address().to_string().into(),
            checks_fence: false,
            kind: InstanceKind::Entry,
            model: None,
            name: name.into(),
            service: None,
            state: InstanceState::Live,
            zone: entry.zone.as_str().into(),
        }
    }

    async fn start_zone(&mut self, zone: &str) {
        let kinds = [
            (InstanceKind::Decode, "decode", self.plan.decode),
            (InstanceKind::Plain, "plain", self.plan.plain),
            (InstanceKind::Prefill, "prefill", self.plan.prefill),
        ];
        for (kind, word, count) in kinds {
            for number in 1..=count {
                let name = format!("{zone}-{word}-{number}");
                self.start_upstream(&name, zone, kind).await;
            }
        }
        for number in 1..=self.plan.entries {
            let name = format!("{zone}-{number}");
            self.start_entry(&name, zone).await;
        }
    }

    fn switch_platform(&self, zone: &str, mode: RelayMode) {
        for entry in self.entries.values().filter(|entry| entry.zone == zone) {
            entry.platform.set(mode);
        }
    }

    fn upstream_args(&self, name: &str, kind: InstanceKind) -> Vec<String> {
        let role = match kind {
            InstanceKind::Plain => return fake_args("service", self.plan.plain_set.clone()),
            InstanceKind::Prefill => "prefill",
            _ => "decode",
        };
        let mut set = vec![
            format!("name={name}"),
            format!("role={role}"),
            format!("models={}", json!([self.plan.model])),
        ];
        set.extend(self.plan.engine_set.clone());
        fake_args("engine", set)
    }
}

/// Calls of callers at one entry instance.
#[derive(Clone, Copy, Debug)]
pub struct CallerSide {
    /// Where the instance answers callers.
    pub address: SocketAddr,
}

impl CallerSide {
    /// A call with any method.
    pub fn call(&self, method: Method, path: &str) -> HttpCall {
        HttpCall::new(method, self.address, path)
    }

    /// A GET call.
    pub fn get(&self, path: &str) -> HttpCall {
        self.call(Method::GET, path)
    }

    /// A POST call.
    pub fn post(&self, path: &str) -> HttpCall {
        self.call(Method::POST, path)
    }
}

fn fake_args(kind: &str, set: Vec<String>) -> Vec<String> {
    let mut args = vec!["fake".to_owned(), kind.to_owned()];
    for setting in set {
        args.extend(["--set".to_owned(), setting]);
    }
    args
}
