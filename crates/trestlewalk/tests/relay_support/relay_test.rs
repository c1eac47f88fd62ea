//! Starts the real binary between the stand-ins.

use {
    super::{
        caller::{Caller, CallerReply, fresh_id, request_text},
        store::StoreStandIn,
        upstream::{UpstreamKind, UpstreamStandIn},
        zone_run::{ZoneInstance, ZoneRun},
    },
    crate::support::{
        fleet_process::FleetProcess, http_call::HttpCall, tcp_relay::TcpRelay, wait::wait_until,
    },
    hyper::Method,
    serde_json::{Value, json},
    std::{fs, net::SocketAddr},
    tempfile::TempDir,
};

/// Builds one run.
#[derive(Debug)]
pub struct RelayTest {
    close_end: String,
    customers: Option<Value>,
    in_other_zone: Vec<String>,
    engine: Value,
    heartbeat: &'static str,
    limits: Value,
    memory_mb: &'static str,
    orders: &'static str,
    poll: &'static str,
    revoked_within: &'static str,
    ratio: u32,
    regions: &'static str,
    routes: Vec<Value>,
    services: Vec<Value>,
    settle: &'static str,
    software: Vec<(String, String)>,
    store_times: &'static str,
    upstreams: Vec<(String, String, UpstreamKind)>,
}

/// A running binary with its stand-ins.
#[derive(Debug)]
pub struct RelayRun {
    config: Value,
    pub process: FleetProcess,
    pub store: StoreStandIn,
    pub upstreams: Vec<UpstreamStandIn>,
    /// Holds the log that a failed test prints when the process is dropped, so it has to be dropped last.
    pub folder: TempDir,
}

impl RelayTest {
    pub fn new() -> Self {
        Self {
            close_end: "limit: 20s".to_owned(),
            customers: None,
            in_other_zone: Vec::new(),
            engine: json!({"Slots": 64, "KvCapacityTokens": 37745, "HandleTtlS": 0.5, "HoldMs": 2000.0}),
            heartbeat: "25ms",
            limits: json!({"MaxHeaderBytes": 16384, "MaxBodyBytes": 65536, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}),
            memory_mb: "128",
            orders: "false",
            poll: "1s",
            revoked_within: "null",
            ratio: 20,
            regions: "{}",
            routes: Vec::new(),
            services: Vec::new(),
            settle: "50ms",
            software: Vec::new(),
            store_times: "list_poll: 50ms, timeout: 2s",
            upstreams: Vec::new(),
        }
    }

    /// Puts an upstream into another availability zone than that of the instance.
    pub fn in_other_zone(mut self, id: &str) -> Self {
        self.in_other_zone.push(id.to_owned());
        self
    }

    /// Adds a service with model engines.
    pub fn engines(mut self, service: &str, decode: usize, prefill: usize) -> Self {
        let engine = self.engine.clone();
        self.services.push(json!({"Name": service, "HealthPath": "/health", "MaxConnections": 100, "Engine": engine}));
        for index in 0..decode {
            let id = format!("i-{service}-d{index}");
            self.upstreams
                .push((id, service.to_owned(), UpstreamKind::Decode));
        }
        for index in 0..prefill {
            let id = format!("i-{service}-p{index}");
            self.upstreams
                .push((id, service.to_owned(), UpstreamKind::Prefill));
        }
        self
    }

    /// Declares customers; callers need keys then.
    pub fn customers(mut self, customers: Value) -> Self {
        self.customers = Some(customers);
        self
    }

    /// Sets the time within which a revoked key is refused everywhere.
    pub fn revoked_within(mut self, time: &'static str) -> Self {
        self.revoked_within = time;
        self
    }

    /// Sets the heartbeat interval of upstreams.
    pub fn heartbeat(mut self, time: &'static str) -> Self {
        self.heartbeat = time;
        self
    }

    /// Lets the instance order engines to change their stage.
    pub fn orders(mut self) -> Self {
        self.orders = "true";
        self
    }

    /// Sets how long a watch of the routes waits for a change.
    pub fn poll(mut self, time: &'static str) -> Self {
        self.poll = time;
        self
    }

    /// Sets the poll interval of the list of upstreams and the timeout of calls to the store, as settings.
    pub fn store_times(mut self, times: &'static str) -> Self {
        self.store_times = times;
        self
    }

    /// Adds a plain service.
    pub fn plain(mut self, service: &str, count: usize) -> Self {
        self.services
            .push(json!({"Name": service, "HealthPath": "/health", "MaxConnections": 100}));
        for index in 0..count {
            let id = format!("i-{service}-{index}");
            self.upstreams
                .push((id, service.to_owned(), UpstreamKind::Plain));
        }
        self
    }

    /// Adds a route of the host `shop.example`; `more` has further fields.
    pub fn route(mut self, prefix: &str, kind: &str, service: &str, more: &Value) -> Self {
        let mut route = json!({
            "Name": format!("r{}", prefix.replace('/', "-")), "Host": "shop.example", "Prefix": prefix, "Kind": kind,
            "TimeoutMs": 5000, "TargetLatencyMs": 300, "Priority": 1, "Service": service, "MaxAttempts": 1,
        });
        for (key, value) in more.as_object().unwrap() {
            route[key] = value.clone();
        }
        self.routes.push(route);
        self
    }

    /// Sets the memory of the host.
    pub fn memory_mb(mut self, megabytes: &'static str) -> Self {
        self.memory_mb = megabytes;
        self
    }

    /// Sets the region of each availability zone.
    pub fn regions(mut self, regions: &'static str) -> Self {
        self.regions = regions;
        self
    }

    /// Sets how long requests in progress get when the instance closes.
    pub fn close_limit(mut self, time: &'static str) -> Self {
        self.close_end = format!("limit: {time}");
        self
    }

    /// Sets when the platform kills the process; the limit of a close follows from it.
    pub fn grace(mut self, time: &'static str) -> Self {
        self.close_end = format!("grace: {time}");
        self
    }

    /// Sets how long a closing instance serves new requests.
    pub fn settle(mut self, time: &'static str) -> Self {
        self.settle = time;
        self
    }

    /// Sets the software version of an upstream.
    pub fn software(mut self, id: &str, version: &str) -> Self {
        self.software.push((id.to_owned(), version.to_owned()));
        self
    }

    /// Sets a retry budget of zero.
    pub fn without_retries(mut self) -> Self {
        self.ratio = 0;
        self
    }

    pub async fn start(self) -> RelayRun {
        let store = StoreStandIn::start().await;
        let folder = TempDir::new().unwrap();
        let upstreams = self.start_upstreams(&store).await;
        let settings = self.settings("front-1", store.address, "");
        let process = start_instance("front-1", &settings, &folder).await;
        RelayRun {
            config: self.config(),
            folder,
            process,
            store,
            upstreams,
        }
    }

    /// Starts instances of one zone that share snapshots, each with its own connection to the store.
    pub async fn start_zone(self, count: usize) -> ZoneRun {
        self.start_zones(&["gijon"], count).await
    }

    /// Starts the same in several zones, with `count` instances each.
    pub async fn start_zones(self, zones: &[&str], count: usize) -> ZoneRun {
        let store = StoreStandIn::start().await;
        let folder = TempDir::new().unwrap();
        let upstreams = self.start_upstreams(&store).await;
        store.put("op", "config", &self.config());
        let mut instances = Vec::new();
        for number in 1..=count * zones.len() {
            let name = format!("front-{number}");
            let zone = format!("zone: {}\n", zones[(number - 1) / count]);
            let store_relay = TcpRelay::start(store.address).await;
            let settings = self.settings(&name, store_relay.address(), ", peers: '127.0.0.1:0'");
            let settings = settings.replace("zone: gijon\n", &zone);
            let process = start_instance(&name, &settings, &folder).await;
            instances.push(ZoneInstance {
                process,
                store_relay,
            });
        }
        ZoneRun {
            config: self.config(),
            folder,
            instances,
            store,
            upstreams,
        }
    }

    fn config(&self) -> Value {
        let mut config = json!({"Version": 7, "Routes": self.routes, "Services": self.services, "Limits": self.limits});
        if let Some(customers) = &self.customers {
            config["Tenants"] = customers.clone();
        }
        config
    }

    fn settings(&self, name: &str, store: SocketAddr, listen: &str) -> String {
        format!(
            "instance: {name}\nzone: gijon\nregions: {}\ncapacity: {{memory_mb: {}}}\nlisten: {{admin: '127.0.0.1:0', callers: '127.0.0.1:0'{listen}}}\n\
             platform: {{address: '{store}', poll: {}, {}}}\n\
             placement: {{min_engines: 1}}\n\
             retries: {{ratio: {}, window: 10s}}\n\
             close: {{settle: {}, {}}}\nupstreams: {{connect: 2s, heartbeat: {}, unheard: 10s}}\n\
             orders: {{enabled: {}, checks_fence: true, patience: 100ms, pause: 60s}}\n\
             customers: {{revoked_within: {}}}\n",
            self.regions,
            self.memory_mb,
            self.poll,
            self.store_times,
            self.ratio,
            self.settle,
            self.close_end,
            self.heartbeat,
            self.orders,
            self.revoked_within
        )
    }

    async fn start_upstreams(&self, store: &StoreStandIn) -> Vec<UpstreamStandIn> {
        let mut upstreams = Vec::new();
        for (id, service, kind) in &self.upstreams {
            let zone = match self.in_other_zone.contains(id) {
                true => "santander",
                false => "gijon",
            };
            let upstream = UpstreamStandIn::start(id, service, zone, *kind).await;
            for (_, version) in self.software.iter().filter(|(of, _)| of == id) {
                upstream.state.lock().unwrap().software = version.clone();
            }
            store.put("servers", id, &upstream.report("ready"));
            upstreams.push(upstream);
        }
        upstreams
    }

    /// Starts the binary, writes the configuration, and waits until the instance is ready.
    pub async fn start_ready(self) -> RelayRun {
        let run = self.start().await;
        run.store.put("op", "config", &run.config);
        run.wait_ready().await;
        run
    }
}

async fn start_instance(name: &str, settings: &str, folder: &TempDir) -> FleetProcess {
    fs::write(folder.path().join(format!("{name}.yaml")), settings).unwrap();
    start_again(name, folder).await
}

/// Starts an instance whose settings file exists already.
pub async fn start_again(name: &str, folder: &TempDir) -> FleetProcess {
    let file = format!("{name}.yaml");
    let args = ["relay".to_owned(), "--settings".to_owned(), file];
    FleetProcess::start(name, &args, folder.path()).await
}

impl RelayRun {
    /// Sends one request on a new connection.
    pub async fn call(&self, method: &str, path: &str, body: &str) -> CallerReply {
        self.call_with(method, path, &fresh_id(), "X-Deadline-Ms: 4000\r\n", body)
            .await
    }

    pub async fn call_with(
        &self,
        method: &str,
        path: &str,
        id: &str,
        more: &str,
        body: &str,
    ) -> CallerReply {
        let mut caller = self.caller().await;
        caller
            .write(&request_text(method, path, id, more, body))
            .await;
        caller.read().await
    }

    pub async fn caller(&self) -> Caller {
        Caller::connect(self.process.address("callers")).await
    }

    /// Writes a changed configuration with a higher version.
    pub fn change(&mut self, change: impl FnOnce(&mut Value)) {
        let version = self.version() + 3;
        self.config["Version"] = json!(version);
        change(&mut self.config);
        self.store.put("op", "config", &self.config);
    }

    /// The version of the configuration.
    pub fn version(&self) -> u64 {
        self.config["Version"].as_u64().unwrap()
    }

    pub fn put_config(&self) {
        self.store.put("op", "config", &self.config);
    }

    /// Whether a metric has a label with this value.
    pub async fn metric_names(&self, value: &str) -> bool {
        let reply = self.process.get("admin", "/metrics").send().await;
        let quoted = format!("\"{value}\"");
        String::from_utf8_lossy(&reply.body).contains(&quoted)
    }

    /// The lines of the metrics that begin with `start`.
    pub async fn metric_lines(&self, start: &str) -> Vec<String> {
        let reply = self.process.get("admin", "/metrics").send().await;
        let text = String::from_utf8_lossy(&reply.body);
        let lines = text.lines().filter(|line| line.starts_with(start));
        lines.map(str::to_owned).collect()
    }

    /// The status of `/ready`; 0 without an answer.
    pub async fn ready_status(&self) -> u16 {
        let call = HttpCall::new(Method::GET, self.process.address("admin"), "/ready");
        call.try_send()
            .await
            .map_or(0, |reply| reply.status.as_u16())
    }

    /// Sends a request of a model service.
    pub async fn stream(&self, path: &str) -> CallerReply {
        self.call_with("POST", path, &fresh_id(), STREAM_HEADERS, "the prompt")
            .await
    }

    pub fn upstream(&self, id: &str) -> &UpstreamStandIn {
        let mut upstreams = self.upstreams.iter();
        upstreams.find(|upstream| upstream.id == id).unwrap()
    }

    pub async fn wait_ready(&self) {
        wait_until("the instance is ready", async || {
            self.ready_status().await == 200
        })
        .await;
    }
}

/// The headers that describe a prompt.
pub const STREAM_HEADERS: &str = "X-Deadline-Ms: 4000\r\nX-Model: m\r\nX-Token-Usage: 1460,80\r\nX-Length-Hint: 40\r\nX-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n";
