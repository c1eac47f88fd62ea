//! Event order and timer of a cell's driver.

use {
    admit::{AdmitAction, AdmitEvent, AdmitPolicy, RequestKey},
    flow::{CellDriver, GrantSink, cell_notice::CellGrant},
    kernel::{ModelId, ShutdownSignal},
    std::{
        sync::{Arc, Mutex, OnceLock},
        time::{Duration, Instant},
    },
};

const MODEL: &str = "glaze";
const SOON: Duration = Duration::from_millis(5);

/// Records the events and runs the test's reaction to each of them.
struct RecordingPolicy {
    log: EventLog,
    react: fn(usize, &AdmitEvent) -> Option<AdmitAction>,
}

type EventLog = Arc<Mutex<Vec<(Instant, AdmitEvent)>>>;

impl AdmitPolicy for RecordingPolicy {
    fn on_event(&mut self, now: Instant, event: AdmitEvent, actions: &mut Vec<AdmitAction>) {
        let mut log = self.log.lock().unwrap();
        actions.extend((self.react)(log.len(), &event));
        log.push((now, event));
    }
}

/// An entry instance that answers each grant immediately.
#[derive(Default)]
struct ImmediateSink {
    driver: OnceLock<Arc<CellDriver<RecordingPolicy, Self>>>,
}

impl GrantSink for ImmediateSink {
    fn deliver(&self, _model: &ModelId, key: RequestKey, _grant: CellGrant) {
        if let Some(driver) = self.driver.get() {
            let prefill = "p1".into();
            driver.on_request(AdmitEvent::PrefillDone { key, prefill });
        }
    }
}

fn key(serial: u64) -> RequestKey {
    RequestKey {
        incarnation: 1,
        instance: "gijon-1".into(),
        serial,
    }
}

/// A driver that answers its own grants, with the events its policy receives.
fn driver(
    react: fn(usize, &AdmitEvent) -> Option<AdmitAction>,
) -> (Arc<CellDriver<RecordingPolicy, ImmediateSink>>, EventLog) {
    let log = EventLog::default();
    let sink = Arc::new(ImmediateSink::default());
    let policy = RecordingPolicy {
        log: log.clone(),
        react,
    };
    let driver = Arc::new(CellDriver::new(MODEL.into(), policy, sink.clone()));
    let _ = sink.driver.set(driver.clone());
    (driver, log)
}

// Guards against a notice that overtakes events buffered before the allocator was opened.
#[test]
fn events_from_before_the_opening_come_first() {
    let (driver, log) = driver(|_, event| {
        let AdmitEvent::KvEvicted { key } = event else {
            return None;
        };
        Some(AdmitAction::GrantPrefill {
            key: key.clone(),
            prefill: "p1".into(),
        })
    });
    driver.on_request(AdmitEvent::KvEvicted { key: key(1) });
    driver.on_request(AdmitEvent::FirstToken { key: key(2) });
    driver.open();
    let log = log.lock().unwrap();
    let is_in_order = matches!(
        log[..],
        [
            (_, AdmitEvent::KvEvicted { .. }),
            (_, AdmitEvent::FirstToken { .. }),
            (_, AdmitEvent::PrefillDone { .. })
        ]
    );
    assert!(is_in_order, "{log:?}");
}

// Guards against a lost timer: the allocator requests a time while an earlier one is due and its tick is still pending.
#[tokio::test]
async fn a_time_asked_for_while_another_one_is_due_is_kept() {
    let (driver, log) = driver(|count, _| {
        let wake = |wait| Some(AdmitAction::WakeAt(Instant::now() + wait));
        match count {
            0 => wake(SOON),
            1 => wake(10 * SOON),
            _ => None,
        }
    });
    let signal = ShutdownSignal::new();
    let timer = driver.clone();
    let closing = signal.clone();
    let running = tokio::spawn(async move { timer.run_timer(closing).await });
    tokio::task::yield_now().await;
    driver.on_event(AdmitEvent::FirstToken { key: key(1) });
    // The timer can't run while the runtime's only thread is blocked.
    std::thread::sleep(2 * SOON);
    driver.on_event(AdmitEvent::FirstToken { key: key(1) });
    let asked_for = Instant::now() + 9 * SOON;
    tokio::time::sleep(40 * SOON).await;
    signal.raise();
    running.await.unwrap();
    let log = log.lock().unwrap();
    let is_kept = log
        .iter()
        .any(|(at, event)| matches!(event, AdmitEvent::Tick) && *at >= asked_for);
    assert!(is_kept, "{log:?}");
}
