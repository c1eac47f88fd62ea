//! A system of separate processes.

use {
    super::{
        BINARY, FleetPlan, FleetProcess, HttpCall, TcpRelay, UdpRelay, cli_test::CliOutput,
        wait::wait_for,
    },
    hyper::{Method, StatusCode},
    peer::KeyAuthority,
    plat::{InstanceKind, InstanceRecord, InstanceState},
    rustix::process::Signal,
    serde_json::Value,
    std::{collections::BTreeMap, net::SocketAddr, path::Path, process::ExitStatus},
    tempfile::TempDir,
    tokio::process::Command,
};

/// One entry instance and the relays to and from it.
#[derive(Debug)]
pub(super) struct FleetEntry {
    /// Relays datagrams from other instances.
    pub(super) peers: UdpRelay,
    /// Relays its connections to the platform.
    pub(super) platform: TcpRelay,
    pub(super) process: FleetProcess,
    pub(super) zone: String,
}

/// One upstream and the relay in front of it.
#[derive(Debug)]
pub(super) struct FleetUpstream {
    pub(super) process: FleetProcess,
    pub(super) record: InstanceRecord,
    pub(super) relay: TcpRelay,
}

/// The running processes. All are killed when it is dropped.
pub struct Fleet {
    pub(super) authority: KeyAuthority,
    pub(super) entries: BTreeMap<String, FleetEntry>,
    pub(super) plan: FleetPlan,
    platform: FleetProcess,
    pub(super) upstreams: BTreeMap<String, FleetUpstream>,
    // Dropped last: the processes print their logs from it when a test panics.
    pub(super) folder: TempDir,
}

impl Fleet {
    /// A GET call to an admin address of an entry instance: `/ready`, `/dump`, `/metrics`, `/table` or `/live`.
    pub fn admin(&self, entry: &str, path: &str) -> HttpCall {
        self.process(entry).get("admin", path)
    }

    /// The state dump of an entry instance.
    pub async fn dump(&self, entry: &str) -> Value {
        self.admin(entry, "/dump").send().await.json()
    }

    /// The caller endpoint of an entry instance.
    pub fn entry(&self, name: &str) -> CallerEndpoint {
        CallerEndpoint {
            address: self.process(name).address("callers"),
        }
    }

    /// The names of the entry instances.
    pub fn entry_names(&self) -> Vec<String> {
        self.entries.keys().cloned().collect()
    }

    /// Waits until a process ends by itself.
    pub async fn wait_exit(&mut self, name: &str) -> ExitStatus {
        self.process_mut(name).wait_exit().await
    }

    /// Sets the faults of a stand-in: `platform` or an upstream.
    pub async fn set_faults(&self, name: &str, faults: Value) {
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

    /// Ends a process with SIGKILL.
    pub async fn kill(&mut self, name: &str) {
        self.process_mut(name).kill().await;
    }

    /// Changes the state of an instance in the platform's list.
    pub async fn set_listed_state(&self, name: &str, state: InstanceState) {
        let mut record = self.record(name);
        record.state = state;
        self.list_instance(&record).await;
    }

    /// The log of a process.
    pub fn log(&self, name: &str) -> String {
        self.process(name).log()
    }

    /// The value of a metric of an entry instance, summed over the samples that have all of `labels`, each as
    /// `name="value"`; `None` when no sample matches.
    pub async fn metric(&self, entry: &str, name: &str, labels: &[&str]) -> Option<f64> {
        let text = self.admin(entry, "/metrics").send().await.text();
        let mut sum = None;
        for line in text.lines() {
            let Some((sample, value)) = line.rsplit_once(' ') else {
                continue;
            };
            let (sample_name, sample_labels) = sample.split_once('{').unwrap_or((sample, ""));
            if sample_name != name || !labels.iter().all(|label| sample_labels.contains(label)) {
                continue;
            }
            let value: f64 = value.parse().unwrap();
            sum = Some(sum.unwrap_or(0.0) + value);
        }
        sum
    }

    /// Stops a process with SIGSTOP and waits until the kernel reports it stopped.
    pub async fn pause(&self, name: &str) {
        self.process(name).pause().await;
    }

    /// The address of the platform itself, bypassing all relays.
    pub fn platform_address(&self) -> SocketAddr {
        self.platform.address("address")
    }

    /// The relay between an entry instance and the platform.
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

    /// Resumes a stopped process with SIGCONT.
    pub fn resume(&self, name: &str) {
        self.process(name).signal(Signal::CONT);
    }

    /// Runs the binary once in the folder of the fleet.
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
            authority: KeyAuthority::new().unwrap(),
            entries: BTreeMap::new(),
            plan: plan.clone(),
            platform,
            upstreams: BTreeMap::new(),
            folder,
        };
        for zone in &plan.zones {
            fleet.start_zone(zone).await;
        }
        fleet
    }

    /// Requests a graceful close with SIGTERM.
    pub fn terminate(&self, name: &str) {
        self.process(name).signal(Signal::TERM);
    }

    /// Removes an instance from the platform's list.
    pub async fn unlist(&self, name: &str) {
        let path = format!("/instances/{name}");
        let call = HttpCall::new(Method::DELETE, self.platform_address(), &path);
        let reply = call.send().await;
        assert!(reply.status.is_success(), "{name}: {}", reply.text());
    }

    /// The relay in front of an upstream.
    pub fn upstream_relay(&self, name: &str) -> &TcpRelay {
        match self.upstreams.get(name) {
            Some(upstream) => &upstream.relay,
            None => panic!("no upstream `{name}`"),
        }
    }

    /// Waits until an entry instance reports that it is ready.
    pub async fn wait_ready(&self, entry: &str) {
        super::wait_until(&format!("{entry} is ready"), async || {
            let reply = self.admin(entry, "/ready").try_send().await;
            reply.is_ok_and(|reply| reply.status == StatusCode::OK)
        })
        .await;
    }

    /// The folder with settings files and logs.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    pub(super) fn fleet_entry(&self, name: &str) -> &FleetEntry {
        match self.entries.get(name) {
            Some(entry) => entry,
            None => panic!("no process `{name}`"),
        }
    }

    pub(super) async fn list_instance(&self, record: &InstanceRecord) {
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

    pub(super) fn record(&self, name: &str) -> InstanceRecord {
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
}

/// Builds calls to the caller address of one entry instance.
#[derive(Clone, Copy, Debug)]
pub struct CallerEndpoint {
    /// The address for callers.
    pub address: SocketAddr,
}

impl CallerEndpoint {
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

pub(super) fn fake_args(kind: &str, set: Vec<String>) -> Vec<String> {
    let mut args = vec!["fake".to_owned(), kind.to_owned()];
    for setting in set {
        args.extend(["--set".to_owned(), setting]);
    }
    args
}
