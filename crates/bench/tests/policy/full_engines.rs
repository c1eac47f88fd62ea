use {
    crate::support::short,
    admit::{AdmitAction, AdmitEvent, AdmitPolicy, RequestKey},
    bench::{
        policies::{BenchPolicy, NaivePolicy},
        world::{VirtualWorld, plan_requests},
    },
    std::{cell::Cell, collections::BTreeSet, rc::Rc, sync::Arc, time::Instant},
};

/// The naive policy, and what it heard.
struct SpyPolicy {
    naive: NaivePolicy,
    refusals: Rc<Cell<u32>>,
    streams: BTreeSet<RequestKey>,
    widest: Rc<Cell<usize>>,
}

impl BenchPolicy for SpyPolicy {}

impl AdmitPolicy for SpyPolicy {
    fn on_event(&mut self, now: Instant, event: AdmitEvent, actions: &mut Vec<AdmitAction>) {
        match &event {
            AdmitEvent::DecodeRefused { .. } => self.refusals.set(self.refusals.get() + 1),
            AdmitEvent::FirstToken { key } => {
                self.streams.insert(key.clone());
            }
            AdmitEvent::Cancel { key } | AdmitEvent::Finished { key, .. } => {
                self.streams.remove(key);
            }
            _ => {}
        }
        self.widest.set(self.widest.get().max(self.streams.len()));
        self.naive.on_event(now, event, actions);
    }
}

#[test]
fn a_full_engine_refuses() {
    let file = short("overload", 30);
    let plans = Arc::new(plan_requests(&file, 2));
    let refusals = Rc::new(Cell::new(0));
    let widest = Rc::new(Cell::new(0));
    let make = || SpyPolicy {
        naive: NaivePolicy::default(),
        refusals: refusals.clone(),
        streams: BTreeSet::new(),
        widest: widest.clone(),
    };
    VirtualWorld::new(file.clone(), plans, 2, make).run();
    let places = (file.engines.decode * file.engines.decode_places) as usize;
    assert!(refusals.get() > 0);
    assert!(widest.get() > places / 2, "{} streams", widest.get());
    assert!(widest.get() <= places, "{} streams", widest.get());
}
