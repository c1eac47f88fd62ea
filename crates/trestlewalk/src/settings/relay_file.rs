//! The settings of an instance that serves the operators' routes without an allocator: what `relay` runs.

use {
    crate::settings::{
        HumanDuration, LogSettings, PlatformSettings, SettingOverride, SettingsFault,
        fault_list::FaultList,
        field_path::FieldPath,
        name_check::name_fault,
        platform_settings::UNSET_ADDRESS,
        settings_file::{parse_tree, read_settings},
    },
    kernel::{InstanceId, ZoneId},
    serde::{Deserialize, Serialize},
    serde_with::serde_as,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// The whole settings file of `relay`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayFile {
    /// What the machine of this instance can carry.
    pub capacity: RelayCapacity,
    /// How the instance closes.
    pub close: RelayClose,
    /// The customers' keys and quotas.
    pub customers: RelayCustomers,
    /// Whether the whole system starts for the first time: then nobody serves yet, and instances take their time to meet.
    pub first_start: bool,
    /// The name of this instance; required.
    pub instance: InstanceId,
    /// The addresses that this instance listens at; required.
    pub listen: RelayListen,
    /// What is logged, and how.
    pub log: LogSettings,
    /// The orders to engines.
    pub orders: RelayOrders,
    /// The store.
    pub platform: PlatformSettings,
    /// The requests under which upstreams end.
    pub quarantine: RelayQuarantine,
    /// The region of the availability zone.
    pub region: Option<Arc<str>>,
    /// The retry budget.
    pub retries: RelayRetries,
    /// How upstreams are called.
    pub upstreams: RelayUpstreams,
    /// The availability zone of this instance; required.
    pub zone: ZoneId,
}

/// The section `capacity`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayCapacity {
    /// The processor cores, or the share of one.
    pub cores: f64,
    /// The rate of the network link, megabits a second.
    pub link_mbps: f64,
}

impl RelayCapacity {
    /// One number to compare instances by.
    pub fn weight(&self) -> u64 {
        (self.cores * self.link_mbps * WEIGHT_UNITS).max(1.0) as u64
    }
}

impl Default for RelayCapacity {
    /// A small machine of today.
    fn default() -> Self {
        Self {
            cores: 0.25,
            link_mbps: 1_000.0,
        }
    }
}

/// A core at a megabit a second counts as so many, so that small shares stay apart as whole numbers.
const WEIGHT_UNITS: f64 = 1_000.0;

/// The section `close`.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayClose {
    /// How long open requests get in all.
    #[serde_as(as = "HumanDuration")]
    pub limit: Duration,
    /// How long new connections still come in: until the balancer has noticed.
    #[serde_as(as = "HumanDuration")]
    pub settle: Duration,
}

impl Default for RelayClose {
    fn default() -> Self {
        Self {
            limit: Duration::from_millis(7_700),
            settle: Duration::from_millis(2_800),
        }
    }
}

/// The section `customers`.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayCustomers {
    /// How much more than rate and burst give in a window a customer may use, as a part of it: instances know late of each
    /// other.
    pub overage: f64,
    /// Within what time a key that was taken away holds nowhere. Without it an instance that is cut off serves on by the keys
    /// that it knows.
    #[serde_as(as = "Option<HumanDuration>")]
    pub revoked_within: Option<Duration>,
    /// What a customer may use in a window beyond that, in the unit of its quota.
    pub slack: f64,
    /// The window.
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
    /// For operators and for the balancer's question whether the instance is ready, TCP; required.
    pub admin: SocketAddr,
    /// For callers, TCP; required.
    pub callers: SocketAddr,
    /// For other instances, UDP. Without it this instance reads the store by itself.
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
    /// Whether engines refuse an order with an old fencing number.
    pub checks_fence: bool,
    /// Whether this instance may order engines to change their stage.
    pub enabled: bool,
    /// How long the lease to give orders lasts.
    #[serde_as(as = "HumanDuration")]
    pub lease: Duration,
    /// How long a service has to be off its goal before an engine changes.
    #[serde_as(as = "HumanDuration")]
    pub patience: Duration,
    /// How long after a change the next is considered: an engine ends its work and changes in this time.
    #[serde_as(as = "HumanDuration")]
    pub pause: Duration,
    /// How long a stage has to be pressed before an engine changes.
    #[serde_as(as = "HumanDuration")]
    pub pressed_patience: Duration,
    /// The share of the engines of a model service that read prompts, rounded up, while requests ask for nothing else.
    pub prefill_share: f64,
    /// The fewest engines of each stage.
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

/// The section `quarantine`.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayQuarantine {
    /// How long the end of an upstream counts against a request.
    #[serde_as(as = "HumanDuration")]
    pub life: Duration,
}

impl Default for RelayQuarantine {
    /// Long enough for operators to look at it, and at most three ends each time that it is over.
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
    /// Repeated calls for each request of the window.
    pub ratio: f64,
    /// Repeated calls beyond the ratio, of all instances. Each has an equal part of its zone's part, and none without
    /// `listen.peers`, since it does not know of the others then.
    pub slack: f64,
    /// The length of the window.
    #[serde_as(as = "HumanDuration")]
    pub window: Duration,
    /// The availability zones that share the slack; none is the own one alone.
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
    /// How long a connection may take to come about.
    #[serde_as(as = "HumanDuration")]
    pub connect: Duration,
    /// How often an upstream reports to the platform's list.
    #[serde_as(as = "HumanDuration")]
    pub heartbeat: Duration,
    /// Whether prompts are read by the engines of the prefill stage, or by the decode engine that goes on with them.
    pub reads_apart: bool,
    /// How long an upstream may be unheard before its connection counts as lost.
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

/// Reads the settings of `relay` out of the content of a file.
///
/// # Errors
///
/// Every fault, by line.
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
    if !(settings.capacity.cores > 0.0 && settings.capacity.link_mbps > 0.0) {
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
    if settings.close.limit < settings.close.settle {
        let path = FieldPath::dotted("close.limit");
        list.push(&path, "is shorter than `close.settle`");
    }
}
