//! The settings of `relay`, an instance that serves the operators' routes without an allocator.

use {
    crate::settings::{
        HumanDuration, LogSettings, PlatformSettings, SettingOverride, SettingsFault,
        fault_list::FaultList,
        field_path::FieldPath,
        name_check::name_fault,
        platform_settings::UNSET_ADDRESS,
        settings_file::{parse_tree, read_settings},
    },
    kernel::{InstanceId, RegionId, ZoneId},
    serde::{Deserialize, Serialize},
    serde_with::serde_as,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// The whole settings file of `relay`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayFile {
    /// The capacity of the host of this instance.
    pub capacity: RelayCapacity,
    /// The times of a close.
    pub close: RelayClose,
    /// The customers' keys and quotas.
    pub customers: RelayCustomers,
    /// Whether the whole system starts for the first time. No instance serves yet then, so instances may take longer to
    /// find each other.
    pub first_start: bool,
    /// The name of this instance; required.
    pub instance: InstanceId,
    /// The addresses that this instance listens at; required.
    pub listen: RelayListen,
    /// The format and the level of the log.
    pub log: LogSettings,
    /// The orders to engines to change their stage.
    pub orders: RelayOrders,
    /// The places at decode engines.
    pub placement: RelayPlacement,
    /// The store.
    pub platform: PlatformSettings,
    /// The quarantine of requests under which upstreams end.
    pub quarantine: RelayQuarantine,
    /// The region of the availability zone; optional.
    pub region: Option<RegionId>,
    /// The region of each availability zone. Without it, work that is restricted to regions is served nowhere.
    pub regions: BTreeMap<ZoneId, RegionId>,
    /// The retry budget.
    pub retries: RelayRetries,
    /// The calls to upstreams.
    pub upstreams: RelayUpstreams,
    /// The availability zone of this instance; required.
    pub zone: ZoneId,
}

/// The section `capacity`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayCapacity {
    /// The number of processor cores, or the share of one.
    pub cores: f64,
    /// The rate of the network link, in megabits per second.
    pub link_mbps: f64,
    /// The memory of the host, in megabytes.
    pub memory_mb: f64,
}

impl RelayCapacity {
    /// The memory of the host, in bytes.
    pub fn memory_bytes(&self) -> f64 {
        self.memory_mb * BYTES_PER_MB
    }

    /// The capacity as one number, by which instances are compared. What an instance does for others takes memory as well:
    /// with less than [`AMPLE_MEMORY_MB`] it counts for less.
    pub fn weight(&self) -> u64 {
        let memory_share = (self.memory_mb / AMPLE_MEMORY_MB).min(1.0);
        (self.cores * self.link_mbps * memory_share * WEIGHT_UNITS).max(1.0) as u64
    }
}

impl Default for RelayCapacity {
    /// The capacity of a small virtual server.
    fn default() -> Self {
        Self {
            cores: 0.25,
            link_mbps: 1_000.0,
            memory_mb: 128.0,
        }
    }
}

const BYTES_PER_MB: f64 = 1e6;
/// The memory, megabytes, beyond which more of it adds nothing to what an instance can do for others.
const AMPLE_MEMORY_MB: f64 = 256.0;
/// The weight of one core at one megabit per second; large enough that small capacities differ as whole numbers.
const WEIGHT_UNITS: f64 = 1_000.0;

/// The section `close`.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayClose {
    /// The time from SIGTERM until the platform kills the process.
    #[serde_as(as = "HumanDuration")]
    pub grace: Duration,
    /// The time that open requests get in total; `None` for what the grace leaves.
    #[serde_as(as = "Option<HumanDuration>")]
    pub limit: Option<Duration>,
    /// How long new connections are still accepted, until the balancer has noticed that the instance is not ready; at most
    /// half of the limit.
    #[serde_as(as = "HumanDuration")]
    pub settle: Duration,
}

impl RelayClose {
    /// The time that open requests get in total.
    pub fn limit(&self) -> Duration {
        let from_grace = self.grace.saturating_sub(EXIT_TIME);
        self.limit.unwrap_or(from_grace)
    }

    /// How long new connections are still accepted.
    pub fn settle(&self) -> Duration {
        self.settle.min(self.limit() / 2)
    }
}

impl Default for RelayClose {
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(8),
            limit: None,
            settle: Duration::from_millis(2_800),
        }
    }
}

/// The part of the grace in which the process exits after the last request has ended.
const EXIT_TIME: Duration = Duration::from_millis(300);

/// The section `customers`.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayCustomers {
    /// The share by which a customer may exceed what its rate and burst allow in a window, since instances learn late
    /// of each other's use.
    pub overage: f64,
    /// The time within which a revoked key stops working everywhere. Without it an instance that is cut off continues
    /// to accept the keys that it knows.
    #[serde_as(as = "Option<HumanDuration>")]
    pub revoked_within: Option<Duration>,
    /// What a customer may use in a window on top of that, in the unit of its quota.
    pub slack: f64,
    /// The length of the window.
    #[serde_as(as = "HumanDuration")]
    pub window: Duration,
}

impl Default for RelayCustomers {
    fn default() -> Self {
        Self {
            overage: 0.0,
            revoked_within: None,
            slack: 0.0,
            window: Duration::from_secs(1),
        }
    }
}

/// The section `listen`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayListen {
    /// The TCP address of the admin server, which also answers the balancer's readiness probe; required.
    pub admin: SocketAddr,
    /// The TCP address for callers' requests; required.
    pub callers: SocketAddr,
    /// The UDP address for messages of other instances. Without it this instance reads the store alone.
    pub peers: Option<SocketAddr>,
}

impl Default for RelayListen {
    fn default() -> Self {
        Self {
            admin: UNSET_ADDRESS,
            callers: UNSET_ADDRESS,
            peers: None,
        }
    }
}

/// The section `orders`.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayOrders {
    /// Whether engines refuse an order with an outdated fencing token.
    pub checks_fence: bool,
    /// Whether this instance may order engines to change their stage.
    pub enabled: bool,
    /// The duration of the lease to give orders.
    #[serde_as(as = "HumanDuration")]
    pub lease: Duration,
    /// How long a service has to miss its goal before an engine changes stage.
    #[serde_as(as = "HumanDuration")]
    pub patience: Duration,
    /// The cooldown after a change, in which the engine drains and changes stage.
    #[serde_as(as = "HumanDuration")]
    pub pause: Duration,
    /// How long a stage has to be overloaded before an engine changes stage.
    #[serde_as(as = "HumanDuration")]
    pub pressed_patience: Duration,
    /// The share of the engines of a model service that prefill, rounded up, unless the load requires another.
    pub prefill_share: f64,
    /// The minimum number of engines of each stage.
    pub spare_floor: u32,
}

impl Default for RelayOrders {
    fn default() -> Self {
        Self {
            checks_fence: false,
            enabled: false,
            lease: Duration::from_secs(3),
            patience: Duration::from_secs(2),
            pause: Duration::from_secs(20),
            pressed_patience: Duration::from_secs(10),
            prefill_share: 0.25,
            spare_floor: 2,
        }
    }
}

/// The section `placement`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayPlacement {
    /// The number of engines of a service in one availability zone from which on their places are scheduled. With fewer, each
    /// holds a large part of the zone's memory, and a request that one zone refuses often fits in another.
    pub min_engines: usize,
    /// Whether one instance of an availability zone schedules the places at decode engines for all of them. Otherwise each
    /// instance reserves places by its own view.
    pub shared: bool,
}

impl Default for RelayPlacement {
    fn default() -> Self {
        Self {
            min_engines: 8,
            shared: true,
        }
    }
}

/// The section `quarantine`.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayQuarantine {
    /// How long an ended upstream counts against the request that ran on it.
    #[serde_as(as = "HumanDuration")]
    pub life: Duration,
}

impl Default for RelayQuarantine {
    /// Long enough for operators to investigate. Each time that it lapses, a request may end at most three more
    /// upstreams.
    fn default() -> Self {
        Self {
            life: Duration::from_secs(600),
        }
    }
}

/// The section `retries`.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayRetries {
    /// The number of repeated calls for each request of the window.
    pub ratio: f64,
    /// The number of repeated calls beyond the ratio, over all instances. Each instance gets an equal part of the share
    /// of its availability zone, and none without `listen.peers`, since it does not know the other instances then.
    pub slack: f64,
    /// The length of the window.
    #[serde_as(as = "HumanDuration")]
    pub window: Duration,
    /// The availability zones that share the slack; without it the own one has all of it.
    pub zones: Option<Vec<ZoneId>>,
}

impl Default for RelayRetries {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 0.0,
            window: Duration::from_secs(10),
            zones: None,
        }
    }
}

/// The section `upstreams`.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayUpstreams {
    /// The timeout for opening a connection.
    #[serde_as(as = "HumanDuration")]
    pub connect: Duration,
    /// How often an upstream reports to the platform's list.
    #[serde_as(as = "HumanDuration")]
    pub heartbeat: Duration,
    /// Whether prompts are prefilled by the engines of the prefill stage, or by the decode engine that continues with
    /// them.
    pub reads_apart: bool,
    /// How long an upstream may be silent before its connection counts as lost.
    #[serde_as(as = "HumanDuration")]
    pub unheard: Duration,
}

impl Default for RelayUpstreams {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(100),
            heartbeat: Duration::from_secs(1),
            reads_apart: true,
            unheard: Duration::from_secs(2),
        }
    }
}

/// Parses the settings of `relay` from the content of a file.
///
/// # Errors
///
/// All faults, sorted by line.
pub fn parse_relay_file(
    file: &str,
    content: &[u8],
    overrides: Vec<SettingOverride>,
) -> Result<RelayFile, Vec<SettingsFault>> {
    let tree = parse_tree(file, content)?;
    read_settings(file, tree, overrides, check_relay_file)
}

fn check_relay_file(settings: &RelayFile, list: &mut FaultList) {
    for (field, name) in [("instance", &settings.instance), ("zone", &settings.zone)] {
        if let Some(fault) = name_fault(name) {
            list.push(&FieldPath::dotted(field), fault);
        }
    }
    for (field, address) in [
        ("listen.admin", settings.listen.admin),
        ("listen.callers", settings.listen.callers),
        ("platform.address", settings.platform.address),
    ] {
        if address == UNSET_ADDRESS {
            list.push(&FieldPath::dotted(field), "missing");
        }
    }
    let capacity = &settings.capacity;
    if !(capacity.cores > 0.0 && capacity.link_mbps > 0.0 && capacity.memory_mb > 0.0) {
        list.push(&FieldPath::dotted("capacity"), "has to be greater than 0");
    }
    for (field, value) in [
        ("customers.overage", settings.customers.overage),
        ("customers.slack", settings.customers.slack),
    ] {
        if value.is_nan() || value < 0.0 {
            list.push(&FieldPath::dotted(field), "has to be 0 or more");
        }
    }
    if !(0.0..=1.0).contains(&settings.orders.prefill_share) {
        list.push(
            &FieldPath::dotted("orders.prefill_share"),
            "has to be from 0 to 1",
        );
    }
    if !(settings.retries.ratio >= 0.0 && settings.retries.slack >= 0.0) {
        list.push(&FieldPath::dotted("retries"), "has to be 0 or more");
    }
    if settings
        .customers
        .revoked_within
        .is_some_and(|within| within.is_zero())
    {
        let path = FieldPath::dotted("customers.revoked_within");
        list.push(&path, "has to be longer than 0s");
    }
    for (field, duration) in [
        ("close.grace", settings.close.grace),
        ("customers.window", settings.customers.window),
        ("orders.lease", settings.orders.lease),
        ("orders.pause", settings.orders.pause),
        ("platform.list_poll", settings.platform.list_poll),
        ("platform.timeout", settings.platform.timeout),
        ("quarantine.life", settings.quarantine.life),
        ("retries.window", settings.retries.window),
        ("upstreams.connect", settings.upstreams.connect),
        ("upstreams.heartbeat", settings.upstreams.heartbeat),
        ("upstreams.unheard", settings.upstreams.unheard),
    ] {
        if duration.is_zero() {
            list.push(&FieldPath::dotted(field), "has to be longer than 0s");
        }
    }
    let close = &settings.close;
    if close.limit.is_some_and(|limit| limit < close.settle) {
        let path = FieldPath::dotted("close.limit");
        list.push(&path, "is shorter than `close.settle`");
    }
}
