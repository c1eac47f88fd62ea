//! Entries of other writers in the store, under names and with contents of any kind.
//!
//! Guards against a key that changes the query it is put into: the store then gives another page than the one asked for, or
//! none, and an instance that starts never gets its list.

mod relay_support;
mod support;

use {
    plat::{RowStore as _, Transaction, TransactionReply},
    platform::RowStore,
    policy::StoreVersion,
    proptest::{collection::btree_set, prelude::*, string::string_regex, test_runner::RngSeed},
    relay::{CallReason, ConnectionTimeouts, OperatorSource, SourceError, StoreCalls},
    relay_support::{RelayRun, RelayTest, StoreStandIn},
    serde_json::{Value, json},
    std::{collections::BTreeSet, net::SocketAddr, time::Duration},
    support::wait::wait_until,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        time,
    },
};

/// Names between, before and after those of the upstreams.
const ODD_NAMES: [&str; 28] = [
    "a&Table=x",
    "a&b",
    "a+b",
    "a#b",
    "a%b",
    "a%00",
    "a%2",
    "a b",
    " a",
    "i-carta-1 ",
    "i-carta-1&",
    "i-carta-1%00",
    "a=b",
    "a?b",
    "a/b",
    "a\\b",
    "a\"b",
    "a'b",
    "a\tb",
    "a\r\nb",
    "a\u{1}b",
    "i-carta-9\u{7f}",
    "zoë",
    "станция",
    "\u{10ffff}",
    "~",
    "",
    "x;y,z",
];
/// Requests sent to see whether an instance serves.
const REQUESTS: usize = 10;
/// The time within which a change of the list has to be known.
const CHANGE_BOUND: Duration = Duration::from_millis(400);
/// Seed of the generated keys.
const SEED: u64 = 74;
/// Calls to a store whose pages have no end, after which a client must have given up.
const MAX_ENDLESS_CALLS: usize = 10;

/// More rows than an answer with the last changes has.
const FULL_PAGE_ROWS: usize = 150;

/// Contents that describe no upstream.
fn odd_contents() -> Vec<String> {
    let report = json!({"Service": "carta", "Address": "127.0.0.1:1", "Zone": "gijon", "Slots": 8, "State": "ready"});
    let with = |field: &str, value: Value| {
        let mut report = report.clone();
        report[field] = value;
        report.to_string()
    };
    vec![
        "no json".to_owned(),
        String::new(),
        "[1, 2]".to_owned(),
        "null".to_owned(),
        with("Address", json!("nowhere")),
        with("Address", json!(["127.0.0.1:1"])),
        with("Slots", json!(-1)),
        with("State", json!("asleep")),
        with("Service", json!(7)),
        with("ColdRemainingMs", json!("long")),
    ]
}

/// A name of the greatest length, whose successor is not as long.
fn longest_name() -> String {
    "a".repeat(199) + "\u{7f}"
}

fn odd_names() -> Vec<String> {
    let mut names: Vec<String> = ODD_NAMES.map(str::to_owned).into();
    names.push(longest_name());
    names.push("é".repeat(100));
    names
}

fn test() -> RelayTest {
    RelayTest::new()
        .plain("carta", 4)
        .route("/t/", "unsafe", "carta", &json!({}))
}

fn client(address: SocketAddr) -> RowStore {
    let times = ConnectionTimeouts::builder()
        .connect(Duration::from_secs(2))
        .peer_timeout(Duration::from_secs(2))
        .build();
    RowStore::new(address, times, StoreCalls::new())
}

fn write_odd_entries(store: &StoreStandIn) {
    let contents = odd_contents();
    for (name, content) in odd_names().iter().zip(contents.iter().cycle()) {
        store.put_text("servers", name, content);
    }
}

async fn check_served(run: &RelayRun, context: &str) {
    for _ in 0..REQUESTS {
        let reply = run.call("POST", "/t/1", "x").await;
        assert_eq!(reply.status(), 200, "{context}");
    }
}

#[tokio::test]
async fn an_instance_starts_although_odd_entries_end_the_pages_of_its_list() {
    for page_rows in 1..=3 {
        let run = test().start().await;
        run.process.pause().await;
        run.store.set_page_rows(page_rows);
        write_odd_entries(&run.store);
        run.process.signal(rustix::process::Signal::CONT);
        run.put_config();
        run.wait_ready().await;
        check_served(&run, &format!("pages of {page_rows}")).await;
    }
}

#[tokio::test]
async fn an_instance_serves_on_while_odd_entries_come_and_go() {
    let run = test().start().await;
    run.store.set_page_rows(1);
    run.put_config();
    run.wait_ready().await;
    for (name, content) in odd_names().iter().zip(odd_contents().iter().cycle()) {
        run.store.put_text("servers", name, content);
        run.store.forget();
        time::sleep(CHANGE_BOUND).await;
        assert_eq!(run.ready_status().await, 200, "{name:?}");
        let reply = run.call("POST", "/t/1", "x").await;
        assert_eq!(reply.status(), 200, "{name:?}");
        run.store.remove("servers", name);
    }
}

#[tokio::test]
async fn instances_that_all_restart_beside_an_odd_entry_serve() {
    let mut run = test().start_zone(3).await;
    for index in 0..3 {
        run.wait_ready(index).await;
    }
    run.store.set_page_rows(2);
    write_odd_entries(&run.store);
    run.restart_all().await;
    for index in 0..3 {
        run.wait_status(index, "/t/1", 200).await;
        for _ in 0..REQUESTS {
            assert_eq!(run.status(index, "/t/1").await, 200);
        }
    }
}

// Each name by itself, so that a fault of one is not hidden by another.
#[tokio::test]
async fn the_list_has_all_upstreams_whatever_key_ends_a_page() {
    for name in odd_names() {
        for page_rows in 1..=3 {
            let store = StoreStandIn::start().await;
            store.set_page_rows(page_rows);
            for index in 0..4 {
                let report = json!({"Service": "carta", "Address": "127.0.0.1:1", "Zone": "gijon", "Slots": 8, "State": "ready"});
                store.put("servers", &format!("i-carta-{index}"), &report);
            }
            store.put_text("servers", &name, "no json");
            let reading = client(store.address)
                .read_upstreams(CallReason::Start)
                .await;
            let snapshot = reading.unwrap_or_else(|error| panic!("{name:?}: {error}"));
            let names: Vec<&str> = snapshot.records.iter().map(|row| &*row.name).collect();
            assert_eq!(
                names,
                ["i-carta-0", "i-carta-1", "i-carta-2", "i-carta-3"],
                "{name:?}, pages of {page_rows}"
            );
            assert_eq!(snapshot.faults.len(), 1, "{name:?}");
        }
    }
}

// Guards against evacuations that seem to have ended, since other rows fill the page before them or a name sorts behind the range.
#[tokio::test]
async fn evacuations_are_read_behind_odd_rows_and_under_any_name() {
    let store = StoreStandIn::start().await;
    store.set_page_rows(1);
    let config = json!({"Version": 7, "Routes": [], "Services": []});
    for key in [
        "config",
        "config ",
        "config&",
        "d%",
        "evacuate",
        "evacuate/\u{7f}",
    ] {
        store.put("op", key, &config);
    }
    for zone in ["gijón", "riga-a", "\u{10ffff}"] {
        store.put("op", &format!("evacuate/{zone}"), &json!({}));
    }
    store.put("op", "evacuate0", &json!({}));
    let snapshot = client(store.address).read_routes(CallReason::Start).await;
    let snapshot = snapshot.unwrap();
    assert_eq!(snapshot.table.unwrap().version, 7);
    let zones = snapshot.evacuations.unwrap().zones;
    let zones: Vec<&str> = zones.iter().map(|zone| &**zone).collect();
    assert_eq!(zones, ["gijón", "riga-a", "\u{7f}", "\u{10ffff}"]);
}

// Guards against reports that are written to a page that was read already, and that the watch then leaves out.
#[tokio::test]
async fn a_watch_of_reports_goes_on_from_the_first_page() {
    let store = StoreStandIn::start().await;
    store.set_page_rows(1);
    store.set_pause(Duration::from_millis(50));
    let suspect = |digit: &str| format!("{}/i-1", digit.repeat(32));
    for digit in ["3", "4", "5"] {
        store.put("trestlewalk-crashes", &suspect(digit), &json!("early"));
    }
    let client = client(store.address);
    let reading = client.watch_reports(None, Duration::ZERO);
    let writing = async {
        time::sleep(Duration::from_millis(125)).await;
        store.put("trestlewalk-crashes", &suspect("1"), &json!("early"));
    };
    let (batch, ()) = tokio::join!(reading, writing);
    let batch = batch.unwrap();
    let later = client.watch_reports(batch.next, Duration::ZERO).await;
    let mut reports = batch.reports;
    reports.extend(later.unwrap().reports);
    let suspects: BTreeSet<_> = reports.iter().map(|aged| aged.report.suspect).collect();
    assert_eq!(suspects.len(), 4);
}

/// A store that answers all reads with one page, and says each time that there are more.
async fn start_endless_store(page: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        for _ in 0..MAX_ENDLESS_CALLS {
            let mut buffer = [0; 4096];
            if stream.read(&mut buffer).await.unwrap() == 0 {
                return;
            }
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{page}",
                page.len()
            );
            stream.write_all(answer.as_bytes()).await.unwrap();
        }
        panic!("a client goes on reading the same page");
    });
    address
}

// Guards against a read that never ends, and against a list that is taken for whole although its end is missing.
#[tokio::test]
async fn pages_without_progress_end_a_read_with_an_error() {
    for page in [
        r#"{"Rows":[{"Key":"b","Value":"","Ver":1}],"HasMore":true,"Ver":1}"#,
        r#"{"Rows":[],"HasMore":true,"Ver":1}"#,
    ] {
        let client = client(start_endless_store(page.to_owned()).await);
        let reading = client.read_upstreams(CallReason::Start);
        let error = time::timeout(CHANGE_BOUND, reading).await.unwrap();
        let error = error.unwrap_err();
        assert!(matches!(error, SourceError::Garbled { .. }), "{error}");
        assert!(error.to_string().contains("table servers"), "{error}");
    }
}

// The same for changes, of which a full answer is followed by a further call.
#[tokio::test]
async fn changes_without_progress_end_a_read_with_an_error() {
    let row = r#"{"Key":"b","Value":"","Ver":1}"#;
    let rows = vec![row; FULL_PAGE_ROWS].join(",");
    let page = format!(r#"{{"Rows":[{rows}],"Ver":1}}"#);
    let client = client(start_endless_store(page).await);
    let version = StoreVersion { era: 0, number: 1 };
    let reading = client.read_changes(version, CallReason::Period);
    let error = time::timeout(CHANGE_BOUND, reading).await.unwrap();
    let error = error.unwrap_err();
    assert!(matches!(error, SourceError::Garbled { .. }), "{error}");
}

/// Writes own rows under `keys`, and reads them again by prefix and one by one.
async fn check_own_rows(keys: &BTreeSet<String>, prefix: &str, page_rows: usize) {
    let store = StoreStandIn::start().await;
    store.set_page_rows(page_rows);
    let client = client(store.address);
    for key in keys {
        let mut change = Transaction::default();
        change.write(key.as_str().into(), 0, "value".into());
        let reply = client.commit(&change).await.unwrap();
        assert_eq!(reply, TransactionReply::Committed);
    }
    let rows = client.scan(prefix).await.unwrap();
    let read: Vec<&str> = rows.iter().map(|row| &*row.key).collect();
    let expected = keys.iter().filter(|key| key.starts_with(prefix));
    assert_eq!(read, Vec::from_iter(expected));
    for key in keys {
        let row = client.get(key).await.unwrap().unwrap();
        assert_eq!(*row.key, **key);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, failure_persistence: None, rng_seed: RngSeed::Fixed(SEED), ..ProptestConfig::default() })]
    #[test]
    fn own_rows_are_found_under_any_keys(
        keys in btree_set(string_regex("(a|b|é|%|&|\\+| |\u{7f}|\u{10ffff}|[\\x00-\\xff]){0,5}").unwrap(), 1..8),
        prefix in string_regex("(a|b|é|%|&|\u{7f}|\u{10ffff}){0,2}").unwrap(),
        page_rows in 1_usize..4,
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(check_own_rows(&keys, &prefix, page_rows));
    }
}

#[tokio::test]
async fn own_rows_with_the_longest_keys_are_found() {
    let longest = |last: char| "a".repeat(200 - last.len_utf8()) + &last.to_string();
    let keys = ['a', '\u{7f}', 'é', '\u{10ffff}'].map(longest);
    check_own_rows(&BTreeSet::from(keys), "a", 1).await;
}

/// Entries with a long text in one field.
const LONG_ENTRIES: usize = 10;

/// Names that a header can't carry, or that arrive as another name.
const UNFIT_NAMES: [&str; 8] = [
    "i-booking-0 ",
    " i-booking-0",
    "\ti-booking-0\t",
    "i-booking-0\r\nX-More: 1",
    "i-booking\u{1}0",
    "i-booking-0\u{7f}",
    "i-bóoking-0",
    "",
];

// Guards against a call that states no upstream, or another one than its entry: any upstream at its address runs it.
#[tokio::test]
async fn an_entry_whose_name_no_call_can_state_gets_no_work() {
    let run = test()
        .plain("booking", 1)
        .route("/b/", "unsafe", "booking", &json!({}))
        .start_ready()
        .await;
    let booking = run.upstream("i-booking-0").clone();
    for name in UNFIT_NAMES {
        let mut report = booking.report("ready");
        report["Service"] = json!("carta");
        run.store.put("servers", name, &report);
        time::sleep(CHANGE_BOUND).await;
        for _ in 0..REQUESTS {
            let reply = run.call("POST", "/t/1", "x").await;
            assert_eq!(reply.status(), 200, "{name:?}");
        }
        assert_eq!(booking.received().len(), 0, "{name:?}");
        run.store.remove("servers", name);
    }
    assert_eq!(run.call("POST", "/b/1", "x").await.status(), 200);
}

// Guards against a list that its reader can't pass on.
#[tokio::test]
async fn an_entry_with_very_long_texts_stops_no_other_instance() {
    let run = test().start_zone(3).await;
    for index in 0..3 {
        run.wait_status(index, "/t/1", 200).await;
    }
    let reader = run.wait_single_reader().await;
    for field in ["Service", "Version", "Zone"] {
        for number in 0..LONG_ENTRIES {
            let mut report = run.upstreams[0].report("ready");
            report["Service"] = json!("other");
            report[field] = json!("x".repeat(40_000));
            run.store
                .put("servers", &format!("i-long-{field}-{number}"), &report);
        }
    }
    let report = run.upstreams[1].report("draining");
    run.store.put("servers", "i-carta-1", &report);
    time::sleep(CHANGE_BOUND * 3).await;
    let before = run.upstreams[1].runs().len();
    for index in 0..3 {
        for _ in 0..REQUESTS * 2 {
            let status = run.status(index, "/t/1").await;
            assert_eq!(status, 200, "instance {index}, reader {reader}");
        }
    }
    assert_eq!(run.upstreams[1].runs().len(), before, "reader {reader}");
}

// Guards against a log that grows with each reading of the list.
#[tokio::test]
async fn a_faulty_entry_is_logged_once_for_each_change() {
    let run = test().start_ready().await;
    let lines = |name: &str| {
        let log = run.process.log();
        let lines = log.lines().filter(|line| line.contains(name));
        lines.count()
    };
    run.store.put_text("servers", "i-odd", "no json");
    run.store.put_text("servers", "i-other", "no json");
    wait_until("the fault is logged", async || lines("i-odd") > 0).await;
    time::sleep(CHANGE_BOUND).await;
    assert_eq!(lines("i-odd"), 1);
    run.store.put_text("servers", "i-odd", "[]");
    wait_until("the change is logged", async || lines("i-odd") > 1).await;
    time::sleep(CHANGE_BOUND).await;
    assert_eq!((lines("i-odd"), lines("i-other")), (2, 1));
}
