//! Platform outages: instances started and replaced during an outage, the recovery, and zones cut off.

mod support;

use {
    serde_json::{Value, json},
    std::time::{Duration, Instant},
    support::{Fleet, FleetPlan, RelayMode, TABLE, wait_until},
    trestlewalk::admin::ReadyReply,
};

/// Bound on the reads of one instance within a second of the recovery: its list, and head and row as a poller.
const MAX_READS_PER_INSTANCE: u64 = 5;
/// Reads per instance after which counting ends; they take several seconds of polls.
const WATCHED_READS_PER_INSTANCE: u64 = 12;
/// The window in which reads are counted.
const WINDOW: Duration = Duration::from_secs(1);
const ZONES: [&str; 2] = ["gijon", "ferrol"];

#[tokio::test]
async fn an_instance_started_in_an_outage_is_made_ready_by_its_peers() {
    let mut fleet = start(&["gijon"], 2).await;
    let version = fleet.version("gijon-1").await;
    set_platform_mode(&fleet, RelayMode::Reset);
    let started = Instant::now();
    let known_peers = fleet.entry_names();
    fleet
        .start_entry_with("gijon-3", "gijon", RelayMode::Reset, &known_peers)
        .await;
    fleet.wait_ready("gijon-3").await;
    let ready = started.elapsed();
    println!("members: started in an outage: ready after {ready:?}");
    assert_eq!(fleet.version("gijon-3").await, version);
    wait_members(&fleet, "gijon-3", 3).await;
}

#[tokio::test]
async fn an_instance_started_in_an_outage_without_peers_says_why_it_is_not_ready() {
    let mut fleet = FleetPlan::new().entries(0).start().await;
    fleet
        .start_entry_with("gijon-1", "gijon", RelayMode::Reset, &[])
        .await;
    let reply = fleet.admin("gijon-1", "/ready").send().await;
    assert_eq!(reply.status.as_u16(), 503);
    let ready: ReadyReply = reply.json();
    assert_eq!(
        ready.reasons.get("table").map(|text| &**text),
        Some("no table yet")
    );
    wait_until("it reports that the platform is silent", async || {
        is_cut_off(&fleet, "gijon-1").await
    })
    .await;
    assert_eq!(fleet.version("gijon-1").await, 0);
}

#[tokio::test]
async fn the_platforms_return_after_replacements_in_an_outage_brings_no_herd() {
    let mut fleet = start(&ZONES, 3).await;
    set_platform_mode(&fleet, RelayMode::Reset);
    let version = fleet.version("gijon-1").await;
    for name in ["gijon-1", "ferrol-2"] {
        let mut known_peers = fleet.entry_names();
        known_peers.retain(|other| other != name);
        let zone = name.split('-').next().unwrap();
        fleet.kill(name).await;
        let started = Instant::now();
        fleet
            .start_entry_with(name, zone, RelayMode::Reset, &known_peers)
            .await;
        fleet.wait_ready(name).await;
        let ready = started.elapsed();
        println!("members: {name} replaced in an outage: ready after {ready:?}");
        assert_eq!(fleet.version(name).await, version);
    }
    let later = fleet
        .commit_table(&TABLE.replace("tile,carta,,0,1", "tile,carta,,0,2"))
        .await;
    let names = fleet.entry_names();
    let started = Instant::now();
    set_platform_mode(&fleet, RelayMode::Open);
    let peak = peak_reads(&fleet, WATCHED_READS_PER_INSTANCE * names.len() as u64).await;
    fleet.wait_version(later).await;
    let caught_up = started.elapsed();
    println!(
        "members: platform back: {} instances, at most {peak} reads within a second; whole watch \
         {caught_up:?}",
        names.len()
    );
    let bound = MAX_READS_PER_INSTANCE * names.len() as u64;
    assert!(peak <= bound, "{peak} reads within a second");
}

#[tokio::test]
async fn a_zone_cut_off_from_the_platform_alone_takes_edits_from_its_peers() {
    let fleet = start(&ZONES, 2).await;
    for entry in ["gijon-1", "gijon-2"] {
        fleet.platform_relay(entry).set(RelayMode::Silent);
    }
    let started = Instant::now();
    let later = fleet
        .commit_table(&TABLE.replace("tile,carta,,0,1", "tile,carta,,0,2"))
        .await;
    fleet.wait_version(later).await;
    let propagation = started.elapsed();
    println!("members: zone without platform: edit in force by way of peers after {propagation:?}");
    check_served(&fleet, "gijon-1").await;
    for entry in ["gijon-1", "gijon-2"] {
        assert!(!is_cut_off(&fleet, entry).await, "{entry}");
    }
}

#[tokio::test]
async fn a_zone_cut_off_from_everything_serves_on_and_catches_up() {
    let fleet = start(&ZONES, 2).await;
    fleet.isolate_zone("gijon");
    for entry in ["gijon-1", "gijon-2"] {
        let what = format!("{entry} reports that it is cut off");
        wait_until(&what, async || is_cut_off(&fleet, entry).await).await;
        check_served(&fleet, entry).await;
    }
    assert!(!is_cut_off(&fleet, "ferrol-1").await);
    let later = fleet
        .commit_table(&TABLE.replace("tile,carta,,0,1", "tile,carta,,0,2"))
        .await;
    let started = Instant::now();
    fleet.rejoin_zone("gijon");
    fleet.wait_version(later).await;
    println!(
        "members: zone rejoined: caught up after {:?}",
        started.elapsed()
    );
    for entry in ["gijon-1", "gijon-2"] {
        let what = format!("{entry} is no longer cut off");
        wait_until(&what, async || !is_cut_off(&fleet, entry).await).await;
        check_served(&fleet, entry).await;
    }
}

async fn is_cut_off(fleet: &Fleet, entry: &str) -> bool {
    let reply = fleet.admin(entry, "/table").send().await;
    reply.json::<Value>()["cut_off_since"] != json!(null)
}

/// Sets the mode of the platform relays of all entry instances.
fn set_platform_mode(fleet: &Fleet, mode: RelayMode) {
    for entry in fleet.entry_names() {
        fleet.platform_relay(&entry).set(mode);
    }
}

/// Waits until the platform has counted `count` more reads and returns the greatest number of reads within one window.
async fn peak_reads(fleet: &Fleet, count: u64) -> u64 {
    let reads_before = reads(fleet).await;
    let mut samples = vec![(Instant::now(), reads_before)];
    wait_until("the platform is read", async || {
        let read = reads(fleet).await;
        samples.push((Instant::now(), read));
        read >= reads_before + count
    })
    .await;
    let mut peak = 0;
    for (index, (from, before)) in samples.iter().enumerate() {
        let within = samples[index..]
            .iter()
            .take_while(|(at, _)| *at - *from <= WINDOW);
        let window_peak = within.map(|(_, read)| read - before).max();
        peak = peak.max(window_peak.unwrap_or(0));
    }
    peak
}

async fn reads(fleet: &Fleet) -> u64 {
    let counters = fleet.counters("platform").await;
    counters["reads"].as_u64().unwrap()
}

async fn check_served(fleet: &Fleet, entry: &str) {
    let call = fleet.entry(entry).get("/services/carta/tile");
    let reply = call.work("tile").send().await;
    assert_eq!(reply.code(), 1000, "{entry}: {}", reply.text());
}

async fn start(zones: &[&str], entries: usize) -> Fleet {
    let plan = FleetPlan::new().zones(zones).entries(entries).plain(1);
    let fleet = plan.start().await;
    fleet.put_table(TABLE).await;
    for entry in fleet.entry_names() {
        fleet.wait_ready(&entry).await;
        wait_members(&fleet, &entry, zones.len() * entries).await;
    }
    fleet
}

async fn wait_members(fleet: &Fleet, entry: &str, count: usize) {
    wait_until(&format!("{entry} hears {count} members"), async || {
        let dump = fleet.dump(entry).await;
        let heard = dump["peer"]["members"]["heard"].as_array();
        heard.is_some_and(|heard| heard.len() == count)
    })
    .await;
}
