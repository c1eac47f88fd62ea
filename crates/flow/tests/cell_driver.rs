//! The driver of a cell's allocator: the order of events, and the timer.

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

/// Notes the events, and does what the test says at each of them.
struct NotePolicy {
    notes: Notes,
    plan: fn(usize, &AdmitEvent) -> Option<AdmitAction>,
}

type Notes = Arc<Mutex<Vec<(Instant, AdmitEvent)>>>;

impl AdmitPolicy for NotePolicy {
    fn on_event(&mut self, now: Instant, event: AdmitEvent, actions: &mut Vec<AdmitAction>) {
        let mut notes = self.notes.lock().unwrap();
        actions.extend((self.plan)(notes.len(), &event));
        notes.push((now, event));
    }
}

/// An entry instance that answers each grant at once.
#[derive(Default)]
struct PromptSink {
    driver: OnceLock<Arc<CellDriver<NotePolicy, Self>>>,
}

impl GrantSink for PromptSink {
    fn deliver(&self, _model: &ModelId, key: RequestKey, _grant: CellGrant) {
        if let Some(driver) = self.driver.get() {
            driver.on_request(AdmitEvent::PrefillDone { key });
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

/// A driver that answers its own grants, with what its policy hears.
fn driver(
    plan: fn(usize, &AdmitEvent) -> Option<AdmitAction>,
) -> (Arc<CellDriver<NotePolicy, PromptSink>>, Notes) {
    let notes = Notes::default();
    let sink = Arc::new(PromptSink::default());
    let policy = NotePolicy {
        notes: notes.clone(),
        plan,
    };
    let driver = Arc::new(CellDriver::new(MODEL.into(), policy, sink.clone()));
    let _ = sink.driver.set(driver.clone());
    (driver, notes)
}

// Guards against a notice that overtakes what an allocator was told before it was open.
#[test]
fn events_from_before_the_opening_come_first() {
    let (driver, notes) = driver(|_, event| {
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
    let notes = notes.lock().unwrap();
    let is_in_order = matches!(
        notes[..],
        [
            (_, AdmitEvent::KvEvicted { .. }),
            (_, AdmitEvent::FirstToken { .. }),
            (_, AdmitEvent::PrefillDone { .. })
        ]
    );
    assert!(is_in_order, "{notes:?}");
}

// Guards against a time that the allocator asked for and that never comes, since an event fell between an earlier
// time and its tick.
#[tokio::test]
async fn a_time_asked_for_while_another_one_is_due_is_kept() {
    let (driver, notes) = driver(|count, _| {
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
    // The timer can't run while its thread is held.
    std::thread::sleep(2 * SOON);
    driver.on_event(AdmitEvent::FirstToken { key: key(1) });
    let asked_for = Instant::now() + 9 * SOON;
    tokio::time::sleep(40 * SOON).await;
    signal.raise();
    running.await.unwrap();
    let notes = notes.lock().unwrap();
    let is_kept = notes
        .iter()
        .any(|(at, event)| matches!(event, AdmitEvent::Tick) && *at >= asked_for);
    assert!(is_kept, "{notes:?}");
}
