//! The driver of a cell's allocator: the order of events.

use {
    admit::{AdmitAction, AdmitEvent, AdmitPolicy, RequestKey},
    flow::{CellDriver, GrantSink, cell_notice::CellGrant},
    kernel::ModelId,
    std::{
        sync::{Arc, Mutex, OnceLock},
        time::Instant,
    },
};

const MODEL: &str = "glaze";

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
