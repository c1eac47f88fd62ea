//! Checks the settings beyond the form of each field.

use {
    crate::settings::{
        EntrySettings, ListenSettings, PeerSettings, UpstreamSettings, fault_list::FaultList,
        field_path::FieldPath, name_check::name_fault, platform_settings::UNSET_ADDRESS,
    },
    route::UpstreamRole,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// With fewer neighbours one failure splits the ring of instances.
const MIN_NEIGHBOURS: u32 = 2;
const MAX_BODY_BYTES: u64 = 1 << 30;
const MAX_HEADER_BYTES: u64 = 1 << 20;
/// Longer times are most likely typing errors, and far longer ones overflow the clock.
const MAX_DURATION: Duration = Duration::from_secs(24 * 60 * 60);
const MIN_SECRET_BYTES: usize = 16;
const MIN_HEADER_BYTES: u64 = 1 << 10;

/// Adds every fault to `list`.
pub fn check_settings(settings: &EntrySettings, list: &mut FaultList) {
    check_names(settings, list);
    check_defaults(settings, list);
    check_heartbeat(settings, list);
    check_keys(settings, list);
    check_limits(settings, list);
    check_listen(settings, list);
    check_peers(settings, list);
    check_platform(settings, list);
    check_secret(settings, list);
    check_upstreams(settings, list);
}

fn check_address(path: &FieldPath, address: SocketAddr, list: &mut FaultList) {
    if address == UNSET_ADDRESS {
        list.push(path, "missing");
        return;
    }
    if address.port() == 0 {
        list.push(path, format!("`{address}` has no port"));
    }
}

fn check_defaults(settings: &EntrySettings, list: &mut FaultList) {
    let path = FieldPath::dotted("defaults");
    let defaults = &settings.defaults;
    for (field, work) in [
        ("chat", &defaults.chat),
        ("completions", &defaults.completions),
    ] {
        let Some(work) = work else {
            continue;
        };
        check_name(&path.key(field), work, list);
    }
    for (service, work) in &defaults.services {
        let path = path.key("services").key(service);
        check_name(&path, service, list);
        check_name(&path, work, list);
    }
}

fn check_duration(path: &str, duration: Duration, list: &mut FaultList) {
    if duration.is_zero() {
        list.push(&FieldPath::dotted(path), "has to be longer than 0s");
    }
    if duration > MAX_DURATION {
        list.push(&FieldPath::dotted(path), "has to be at most 1day");
    }
}

fn check_heartbeat(settings: &EntrySettings, list: &mut FaultList) {
    let heartbeat = &settings.heartbeat;
    check_duration("heartbeat.dead_after", heartbeat.dead_after, list);
    check_duration("heartbeat.period", heartbeat.period, list);
    check_duration("heartbeat.suspect_after", heartbeat.suspect_after, list);
    if heartbeat.neighbours < MIN_NEIGHBOURS {
        list.push(
            &FieldPath::dotted("heartbeat.neighbours"),
            format!("has to be at least {MIN_NEIGHBOURS}"),
        );
    }
    if heartbeat.suspect_after <= heartbeat.period {
        let path = FieldPath::dotted("heartbeat.suspect_after");
        list.push(&path, "has to be longer than `heartbeat.period`");
    }
    if heartbeat.dead_after <= heartbeat.suspect_after {
        let path = FieldPath::dotted("heartbeat.dead_after");
        list.push(&path, "has to be longer than `heartbeat.suspect_after`");
    }
}

fn check_keys(settings: &EntrySettings, list: &mut FaultList) {
    let path = FieldPath::dotted("keys");
    let keys = &settings.keys;
    let files = [
        ("authority", &keys.authority),
        ("certificate", &keys.certificate),
        ("key", &keys.key),
    ];
    let given = files.iter().filter(|(_, file)| file.is_some()).count();
    let Some(test) = &keys.test else {
        for (field, file) in files {
            if file.is_none() {
                list.push(&path.key(field), "missing");
            }
        }
        return;
    };
    if given > 0 {
        list.push(&path.key("test"), "give either files or `test`, not both");
    }
    for (field, text) in [
        ("authority", &test.authority),
        ("certificate", &test.certificate),
        ("key", &test.key),
    ] {
        if text.is_empty() {
            list.push(&path.key("test").key(field), "missing");
        }
    }
}

fn check_limits(settings: &EntrySettings, list: &mut FaultList) {
    let limits = &settings.limits;
    check_duration("limits.close", limits.close, list);
    check_duration("limits.first_byte", limits.first_byte, list);
    check_duration("limits.idle", limits.idle, list);
    if !(1..=MAX_BODY_BYTES).contains(&limits.body) {
        list.push(
            &FieldPath::dotted("limits.body"),
            "has to be from 1B to 1GiB",
        );
    }
    if !(MIN_HEADER_BYTES..=MAX_HEADER_BYTES).contains(&limits.headers) {
        list.push(
            &FieldPath::dotted("limits.headers"),
            "has to be from 1KiB to 1MiB",
        );
    }
    if limits.open_requests == 0 {
        list.push(
            &FieldPath::dotted("limits.open_requests"),
            "has to be at least 1",
        );
    }
    if limits.workers == 0 {
        list.push(&FieldPath::dotted("limits.workers"), "has to be at least 1");
    }
    if limits.queue > limits.open_requests {
        let path = FieldPath::dotted("limits.queue");
        list.push(&path, "is greater than `limits.open_requests`");
    }
}

fn check_listen(settings: &EntrySettings, list: &mut FaultList) {
    let listen = &settings.listen;
    check_advertise(listen, list);
    if addresses_clash(listen.admin, listen.callers) {
        let path = FieldPath::dotted("listen.callers");
        list.push(&path, format!("`{}` is `listen.admin` too", listen.callers));
    }
}

fn check_advertise(listen: &ListenSettings, list: &mut FaultList) {
    let path = FieldPath::dotted("listen.advertise");
    let Some(address) = listen.advertise else {
        if listen.peers.ip().is_unspecified() {
            list.push(&path, "missing: `listen.peers` names no single address");
        }
        return;
    };
    if address.ip().is_unspecified() || address.port() == 0 {
        list.push(&path, format!("`{address}` can't be reached"));
    }
}

fn addresses_clash(left: SocketAddr, right: SocketAddr) -> bool {
    let same_ip =
        left.ip() == right.ip() || left.ip().is_unspecified() || right.ip().is_unspecified();
    left.port() != 0 && left.port() == right.port() && same_ip
}

fn check_name(path: &FieldPath, name: &str, list: &mut FaultList) {
    if let Some(fault) = name_fault(name) {
        list.push(path, fault);
    }
}

fn check_names(settings: &EntrySettings, list: &mut FaultList) {
    check_name(&FieldPath::dotted("instance"), &settings.instance, list);
    check_name(&FieldPath::dotted("zone"), &settings.zone, list);
    if let Some(region) = &settings.region {
        check_name(&FieldPath::dotted("region"), region, list);
    }
}

fn check_peers(settings: &EntrySettings, list: &mut FaultList) {
    let peers = FieldPath::dotted("peers");
    for (index, peer) in settings.peers.iter().enumerate() {
        check_peer(&peers.index(index), peer, list);
        if !peer.instance.is_empty() && peer.instance == settings.instance {
            let path = peers.index(index).key("instance");
            list.push(&path, format!("`{}` is this instance", peer.instance));
        }
    }
    let names = settings.peers.iter().map(|peer| &*peer.instance);
    check_unique(&peers, "instance", names, list);
    let addresses = settings.peers.iter().map(|peer| peer.address);
    check_unique(&peers, "address", addresses, list);
}

fn check_peer(path: &FieldPath, peer: &PeerSettings, list: &mut FaultList) {
    check_address(&path.key("address"), peer.address, list);
    check_name(&path.key("instance"), &peer.instance, list);
    check_name(&path.key("zone"), &peer.zone, list);
}

fn check_platform(settings: &EntrySettings, list: &mut FaultList) {
    let platform = &settings.platform;
    check_address(
        &FieldPath::dotted("platform.address"),
        platform.address,
        list,
    );
    check_duration("platform.list_poll", platform.list_poll, list);
    check_duration("platform.poll", platform.poll, list);
    check_duration("platform.timeout", platform.timeout, list);
}

fn check_secret(settings: &EntrySettings, list: &mut FaultList) {
    let Some(secret) = &settings.secret else {
        return;
    };
    if secret.len() < MIN_SECRET_BYTES {
        let text = format!("has to be at least {MIN_SECRET_BYTES} bytes long");
        list.push(&FieldPath::dotted("secret"), text);
    }
}

fn check_unique<T: std::fmt::Display + Ord>(
    items: &FieldPath,
    field: &str,
    values: impl Iterator<Item = T>,
    list: &mut FaultList,
) {
    let mut seen: BTreeMap<T, usize> = BTreeMap::new();
    for (index, value) in values.enumerate() {
        let path = items.index(index).key(field);
        if list.covers(&path) {
            continue;
        }
        if let Some(first) = seen.get(&value) {
            let text = format!("`{value}` is taken by `{}`", items.index(*first));
            list.push(&path, text);
            continue;
        }
        seen.insert(value, index);
    }
}

fn check_upstreams(settings: &EntrySettings, list: &mut FaultList) {
    let upstreams = FieldPath::dotted("upstreams");
    for (index, upstream) in settings.upstreams.iter().enumerate() {
        check_upstream(&upstreams.index(index), upstream, list);
    }
    let names = settings.upstreams.iter().map(|upstream| &*upstream.name);
    check_unique(&upstreams, "name", names, list);
    let addresses = settings.upstreams.iter().map(|upstream| upstream.address);
    check_unique(&upstreams, "address", addresses, list);
}

fn check_upstream(path: &FieldPath, upstream: &UpstreamSettings, list: &mut FaultList) {
    check_address(&path.key("address"), upstream.address, list);
    check_name(&path.key("name"), &upstream.name, list);
    check_name(&path.key("service"), &upstream.service, list);
    check_name(&path.key("zone"), &upstream.zone, list);
    if list.covers(&path.key("role")) {
        return;
    }
    let path_of_model = path.key("model");
    match (&upstream.model, upstream.role) {
        (Some(model), UpstreamRole::Decode | UpstreamRole::Prefill) => {
            check_name(&path_of_model, model, list);
        }
        (Some(_), UpstreamRole::Plain) => {
            list.push(&path_of_model, "a plain service has no model");
        }
        (None, UpstreamRole::Decode | UpstreamRole::Prefill) => {
            list.push(&path_of_model, "missing");
        }
        (None, UpstreamRole::Plain) => {}
    }
}
