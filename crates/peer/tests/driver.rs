//! The membership driver over real QUIC connections on loopback.

mod support;

use {
    bytes::Bytes,
    kernel::{InstanceId, PluginEntry, StateMap, TableVersion},
    peer::{
        AddressTable, ListedMember, MemberSettings, MemberState, MemberUpdate, PeerDriver,
        PeerError, PeerSettings, TableRevision, TableSource, make_test_keys, wire,
    },
    route::load_report::LeavingCause,
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    support::{TEST_TIMEOUT, make_endpoint, until},
    tokio::sync::broadcast,
};

/// A table source whose content is only the version.
#[derive(Default)]
struct VersionSource {
    version: Mutex<TableVersion>,
}

impl VersionSource {
    fn set(&self, version: TableVersion) -> TableRevision {
        let mut known = self.version.lock().unwrap();
        *known = version.max(*known);
        revision(*known)
    }
}

impl TableSource for VersionSource {
    fn changes(&self, since: TableVersion) -> Option<Bytes> {
        let version = self.revision().version;
        if version <= since {
            return None;
        }
        Some(wire::encode(&version).unwrap())
    }

    fn revision(&self) -> TableRevision {
        revision(*self.version.lock().unwrap())
    }

    async fn apply(&self, _from: &InstanceId, content: Bytes) -> Result<TableRevision, PeerError> {
        Ok(self.set(wire::decode(&content)?))
    }
}

fn revision(version: TableVersion) -> TableRevision {
    TableRevision {
        digest: version * 31,
        version,
    }
}

fn fast_settings() -> MemberSettings {
    MemberSettings::builder()
        .flush_gap(Duration::from_millis(5))
        .heartbeat_interval(Duration::from_millis(20))
        .suspicion_timeout(Duration::from_secs(3))
        .gone_timeout(Duration::from_secs(1))
        .build()
}

/// Starts instances that know only the first one.
fn start_fleet(count: usize) -> (Vec<PeerDriver>, Vec<Arc<VersionSource>>) {
    let names: Vec<String> = (0..count).map(|index| format!("node-{index}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let (_, keys) = make_test_keys(&names).unwrap();
    let mut drivers: Vec<PeerDriver> = Vec::new();
    let mut sources = Vec::new();
    for (name, keys) in names.iter().zip(&keys) {
        let endpoint = make_endpoint(name, &AddressTable::new(), keys, PeerSettings::default());
        let mut contacts = Vec::new();
        if let Some(first) = drivers.first() {
            contacts.push(ListedMember {
                address: first.endpoint().local_address().unwrap(),
                instance: first.endpoint().instance().clone(),
                leaving: false,
            });
        }
        let source = Arc::new(VersionSource::default());
        let driver = PeerDriver::builder()
            .contacts(contacts)
            .endpoint(endpoint)
            .settings(fast_settings())
            .source(source.clone())
            .zone("riga-a".into())
            .start()
            .unwrap();
        drivers.push(driver);
        sources.push(source);
    }
    (drivers, sources)
}

async fn wait_for(
    updates: &mut broadcast::Receiver<MemberUpdate>,
    matches: impl Fn(&MemberUpdate) -> bool,
) -> MemberUpdate {
    let wait = async {
        loop {
            let update = updates
                .recv()
                .await
                .expect("the receiver does not lag behind");
            if matches(&update) {
                return update;
            }
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, wait)
        .await
        .expect("the update arrives in time")
}

#[tokio::test]
async fn a_closed_instance_is_gone_at_once_and_a_table_spreads() {
    let (mut drivers, sources) = start_fleet(4);
    for driver in &drivers {
        driver.set_state(MemberState::Serving);
    }
    for driver in &drivers {
        until(|| driver.view().serving_in("riga-a").count() == 4).await;
    }
    let version = sources[2].set(7);
    drivers[2].set_table(version);
    for (driver, source) in drivers.iter().zip(&sources) {
        until(|| driver.view().table == revision(7)).await;
        assert_eq!(source.revision(), revision(7));
    }
    until(|| drivers[0].view().zone_floor == 7).await;
    let mut updates = drivers[0].updates();
    let last = drivers.pop().unwrap();
    let incarnation = last.view().incarnation;
    last.close().await;
    let update = wait_for(&mut updates, |update| {
        matches!(update, MemberUpdate::MemberDead { .. })
    })
    .await;
    let instance = "node-3".into();
    let before = incarnation + 1;
    assert_eq!(update, MemberUpdate::MemberDead { before, instance });
}

#[tokio::test]
async fn a_mark_reaches_every_instance_and_the_dump() {
    let (drivers, _) = start_fleet(3);
    for driver in &drivers {
        until(|| driver.view().heard.len() == 3).await;
    }
    drivers[0].mark("engine-1".into(), Some(LeavingCause::Said));
    for driver in &drivers {
        until(|| driver.view().marks.len() == 1).await;
    }
    let map = StateMap::new();
    map.insert(Arc::new(drivers[1].clone()));
    let dump = PluginEntry::dump_all(&map);
    assert_eq!(dump["peer"]["members"]["marks"][0]["upstream"], "engine-1");
    let registry = prometheus::Registry::new();
    PluginEntry::register_metrics(&map, &registry);
    let names: Vec<String> = registry
        .gather()
        .iter()
        .map(|family| family.name().to_owned())
        .collect();
    assert!(names.contains(&"member_heard".to_owned()), "{names:?}");
    assert!(
        names.contains(&"peer_refused_total".to_owned()),
        "{names:?}"
    );
}
