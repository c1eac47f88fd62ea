//! Instances in one process, each with its own way to the upstreams, so that some of them can be cut off from all.

use {
    super::{
        caller::{Caller, CallerReply, fresh_id, request_text},
        dead_port::DeadPort,
        relay_test::STREAM_HEADERS,
        upstream::{UpstreamKind, UpstreamStandIn},
    },
    crate::support::wait::wait_until,
    forward::Forwarding,
    kernel::{InstanceId, ServiceId, TableVersion, WorkerPool, ZoneId},
    peer::{AddressTable, PeerEndpoint, PeerKeys, make_test_keys},
    platform::HttpDialect,
    policy::{
        CallerKey, FleetMember, FleetMembers, KeyHasher, KeySalt, QuotaRule, RepeatRule,
        RetryBounds, UpstreamRecord, UpstreamStage,
    },
    relay::{
        CallerLimits, CallerServer, CustomerInfo, CustomerRow, CustomerTable, EngineInfo,
        RelayCore, RelaySettings, RouteTable, RouteTarget, ServiceInfo, WorkRoute,
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::net::TcpListener,
};

/// A retry budget in retries per request.
const AMPLE_RATIO: f64 = 100.0;
const DEADLINE: &str = "X-Deadline-Ms: 4000\r\n";
/// How long engines keep a reservation.
const HOLD_LIFE: Duration = Duration::from_secs(2);

/// One instance.
pub struct DirectInstance {
    pub callers: SocketAddr,
    pub core: Arc<RelayCore<HttpDialect>>,
    pub endpoint: PeerEndpoint,
    pub forwarding: Forwarding<HttpDialect>,
    _pool: WorkerPool,
    pub server: CallerServer,
}

/// The instances with the upstreams of a plain and of a model service.
pub struct DirectFleet {
    dead: DeadPort,
    pub instances: Vec<DirectInstance>,
    pub upstreams: Vec<UpstreamStandIn>,
}

impl DirectFleet {
    /// Starts `count` instances in two availability zones.
    pub async fn start(count: usize) -> Self {
        let names: Vec<String> = (0..count).map(|index| format!("front-{index}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let (_, keys) = make_test_keys(&names).unwrap();
        let upstreams = start_upstreams().await;
        let mut instances = Vec::new();
        for (index, keys) in keys.iter().enumerate() {
            instances.push(DirectInstance::start(names[index], zone_of(index), keys).await);
        }
        let fleet = Self {
            dead: DeadPort::open().await,
            instances,
            upstreams,
        };
        fleet.introduce(&names);
        for index in 0..count {
            fleet.heal(index);
        }
        fleet
    }

    /// Tells every instance of all others.
    fn introduce(&self, names: &[&str]) {
        let members: Vec<FleetMember> = names
            .iter()
            .enumerate()
            .map(|(index, name)| FleetMember {
                capacity: 1,
                instance: InstanceId::from(*name),
                zone: zone_of(index),
            })
            .collect();
        for instance in &self.instances {
            instance.core.fleet.set(FleetMembers::new(members.clone()));
            for (member, other) in members.iter().zip(&self.instances) {
                let address = other.endpoint.local_address().unwrap();
                let addresses = instance.endpoint.addresses();
                addresses.set(member.instance.clone(), address);
            }
        }
    }

    /// Cuts an instance off from all upstreams: its connections are lost, and attempts are not answered.
    pub fn cut(&self, index: usize) {
        self.list(index, |_| self.dead.address);
    }

    /// Cuts an instance off from all upstreams, and waits until it goes through another instance to all services.
    pub async fn cut_noticed(&self, index: usize) {
        self.cut(index);
        let services = ["carta", "redactor"].map(ServiceId::from);
        wait_until("the cut is noticed", async || {
            tokio::join!(
                self.send(index, "GET", "/t/1", DEADLINE),
                self.send(index, "POST", "/s/1", STREAM_HEADERS)
            );
            let reach = &self.instances[index].core.reach;
            services.iter().all(|service| reach.is_lost(service))
        })
        .await;
    }

    /// Gives an instance a retry budget that no test uses up.
    pub fn allow_retries(&self, index: usize) {
        let core = &self.instances[index].core;
        let mut settings = RelaySettings::clone(&core.settings.load());
        settings.retries.ratio = AMPLE_RATIO;
        core.settings.store(Arc::new(settings));
    }

    /// Lets an instance call engines without a reservation.
    pub fn drop_reservations(&self, index: usize) {
        let core = &self.instances[index].core;
        core.routes.store(Some(Arc::new(routes(None))));
    }

    /// Lists the upstreams as they are now; ends a cut.
    pub fn heal(&self, index: usize) {
        self.list(index, |upstream| upstream.address);
    }

    /// Lists the upstreams at other addresses.
    pub fn list(&self, index: usize, address: impl Fn(&UpstreamStandIn) -> SocketAddr) {
        let record = |upstream: &UpstreamStandIn| UpstreamRecord {
            address: address(upstream),
            cold_for: Duration::ZERO,
            id: upstream.id.as_str().into(),
            leaving: false,
            name: upstream.id.as_str().into(),
            report_number: None,
            service: upstream.service.as_str().into(),
            slots: 8,
            software: "v1".into(),
            stage: match upstream.state.lock().unwrap().kind {
                UpstreamKind::Decode => UpstreamStage::Decode,
                UpstreamKind::Plain => UpstreamStage::Plain,
                UpstreamKind::Prefill => UpstreamStage::Prefill,
            },
            zone: upstream.zone.as_str().into(),
        };
        let records: Vec<UpstreamRecord> = self.upstreams.iter().map(record).collect();
        let core = &self.instances[index].core;
        core.upstreams
            .lock()
            .replace(&records, None, Instant::now());
        core.open_when_ready();
    }

    /// Declares a customer with one key at an instance, in this version of the table.
    pub fn declare_customer(&self, index: usize, version: TableVersion, id: &str, key: &str) {
        let salt = KeySalt::random().unwrap();
        let digest = KeyHasher::new(salt).digest(&CallerKey::new(key.as_bytes()));
        let info = CustomerInfo {
            id: id.into(),
            limit: None,
            rank: None,
            regions: None,
        };
        let rows = vec![CustomerRow {
            info,
            keys: vec![digest],
        }];
        let mut table = routes(Some(HOLD_LIFE)).for_customers(Some(CustomerTable::new(salt, rows)));
        table.version = version;
        let core = &self.instances[index].core;
        core.routes.store(Some(Arc::new(table)));
    }

    pub fn upstream(&self, id: &str) -> &UpstreamStandIn {
        let mut upstreams = self.upstreams.iter();
        upstreams.find(|upstream| upstream.id == id).unwrap()
    }

    /// How often requests with this id ran.
    pub fn runs_of(&self, id: &str) -> usize {
        let runs = self.upstreams.iter().flat_map(UpstreamStandIn::runs);
        runs.filter(|run| run.message.header("x-request-id") == Some(id))
            .count()
    }

    /// Sends one request to an instance on a new connection.
    pub async fn send(&self, index: usize, method: &str, path: &str, more: &str) -> CallerReply {
        self.send_as(&fresh_id(), index, method, path, more).await
    }

    /// The same with a given id.
    pub async fn send_as(
        &self,
        id: &str,
        index: usize,
        method: &str,
        path: &str,
        more: &str,
    ) -> CallerReply {
        let mut caller = Caller::connect(self.instances[index].callers).await;
        let text = request_text(method, path, id, more, "a body");
        caller.write(&text).await;
        caller.read().await
    }
}

impl DirectInstance {
    async fn start(name: &str, zone: ZoneId, keys: &PeerKeys) -> Self {
        let endpoint = PeerEndpoint::builder()
            .address("127.0.0.1:0".parse().unwrap())
            .addresses(AddressTable::new())
            .incarnation(1)
            .instance(name.into())
            .keys(keys)
            .build()
            .unwrap();
        let core = Arc::new(RelayCore::new(HttpDialect, settings(name, zone)));
        core.routes.store(Some(Arc::new(routes(Some(HOLD_LIFE)))));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let pool = WorkerPool::new();
        Self {
            forwarding: Forwarding::start(&core, &endpoint, &pool),
            _pool: pool,
            callers: listener.local_addr().unwrap(),
            server: CallerServer::start(listener, core.clone()),
            core,
            endpoint,
        }
    }
}

fn settings(name: &str, zone: ZoneId) -> RelaySettings {
    let retries = RetryBounds::builder()
        .ratio(0.2)
        .slack(40.0)
        .window(Duration::from_secs(10))
        .build();
    RelaySettings::builder()
        .buffer_bytes(16 << 20)
        .instance(name.into())
        .is_alone(false)
        .quotas(QuotaRule {
            overage: 0.0,
            slack: 0.0,
            window: Duration::from_secs(1),
        })
        .connect_timeout(Duration::from_millis(100))
        .quarantine(Duration::from_secs(600))
        .has_separate_prefill(true)
        .regions(BTreeMap::new())
        .retries(retries)
        .scheduled_engines(1)
        .peer_timeout(Duration::from_secs(2))
        .zone(zone)
        .zones(2)
        .build()
}

fn routes(hold_life: Option<Duration>) -> RouteTable {
    let service = |name: &str, engine: Option<EngineInfo>| ServiceInfo {
        cold: None,
        engine,
        name: name.into(),
    };
    let engine = EngineInfo { hold_life };
    let routes = vec![
        route("/t/", "carta", RepeatRule::Safe, 2),
        route("/b/", "carta", RepeatRule::Once, 1),
        route("/s/", "redactor", RepeatRule::Once, 1),
    ];
    let services = vec![service("carta", None), service("redactor", Some(engine))];
    RouteTable::new(7, routes, services, CallerLimits::default())
}

fn route(prefix: &str, service: &str, repeat: RepeatRule, tries: u32) -> WorkRoute {
    let streams = service == "redactor";
    WorkRoute {
        between_events: streams.then_some(Duration::from_millis(300)),
        first_byte: Duration::from_millis(300),
        host: "shop.example".into(),
        is_public: false,
        patience: Duration::from_secs(5),
        prefix: prefix.into(),
        rank: 1,
        regions: None,
        repeat,
        streams,
        targets: vec![RouteTarget {
            service: ServiceId::from(service),
            weight: 1,
        }],
        tries,
        work: prefix.trim_matches('/').into(),
    }
}

fn zone_of(index: usize) -> ZoneId {
    ["gijon", "ferrol"][index % 2].into()
}

async fn start_upstreams() -> Vec<UpstreamStandIn> {
    let mut upstreams = Vec::new();
    for index in 0..3 {
        let id = format!("i-carta-{index}");
        upstreams.push(UpstreamStandIn::start(&id, "carta", "gijon", UpstreamKind::Plain).await);
    }
    for (kind, count) in [(UpstreamKind::Decode, 4), (UpstreamKind::Prefill, 1)] {
        for index in 0..count {
            let id = format!("i-{kind:?}-{index}");
            upstreams.push(UpstreamStandIn::start(&id, "redactor", "ferrol", kind).await);
        }
    }
    upstreams
}
