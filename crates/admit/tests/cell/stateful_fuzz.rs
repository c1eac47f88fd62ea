//! Random orders of events, with loss, duplication and crashes, checked against the oracle.

use {
    crate::{
        fuzz_step::{FuzzStep, any_step},
        grant_oracle::{ENGINES, GrantOracle, OraclePhase},
        small_cell::{Cell, key, patient, upstream, urgent},
    },
    admit::{AdmitAction, AdmitEvent, AdmitRequest, AnnouncedPhase, CellCounts, RequestKey},
    kernel::Incarnation,
    proptest::{prelude::*, test_runner::RngSeed},
    route::{LeavingCause, LoadReport},
    std::time::Duration,
};

const ROWS: [&str; 3] = ["slot", "report", "bulk"];

/// The allocator, its oracle, and the messages in flight.
struct FuzzWorld {
    cell: Cell,
    incarnation: Incarnation,
    messages: Vec<AdmitEvent>,
    oracle: GrantOracle,
    requests: Vec<AdmitRequest>,
}

impl FuzzWorld {
    fn new() -> Self {
        let mut world = Self {
            cell: Cell::empty(),
            incarnation: 1,
            messages: Vec::new(),
            oracle: GrantOracle {
                places: 2,
                ..GrantOracle::default()
            },
            requests: Vec::new(),
        };
        world.set_limit(3);
        for (name, role) in ENGINES {
            world.apply(AdmitEvent::UpstreamUp(upstream(name, role)));
        }
        world
    }

    fn set_limit(&mut self, limit: u32) {
        self.oracle.limit = limit;
        for work in ROWS {
            let mut row = if work == "slot" {
                urgent(work)
            } else {
                patient(work)
            };
            row.limit = Some(limit);
            row.waste = if work == "bulk" { 1.0 } else { 0.3 };
            let table = &mut self.cell.table;
            table.rows.insert(row.work.clone(), row);
        }
        self.cell.table.version += 1;
        let table = std::sync::Arc::new(self.cell.table.clone());
        self.apply(AdmitEvent::Table { share: 1.0, table });
    }

    fn apply(&mut self, event: AdmitEvent) {
        self.oracle.observe(&event);
        for action in self.cell.send(event) {
            self.oracle.check(&action);
            let key = match &action {
                AdmitAction::GrantDecode { key, .. } => key,
                AdmitAction::GrantPrefill { key, .. } => key,
                _ => continue,
            };
            assert!(self.requests.iter().any(|request| request.key == *key));
        }
    }

    fn run(&mut self, step: FuzzStep) {
        match step {
            FuzzStep::Announce(at, phase) => self.announce(at, phase),
            FuzzStep::Cancel(at) => {
                if let Some(key) = self.pick(at) {
                    self.messages.push(AdmitEvent::Cancel { key });
                }
            }
            FuzzStep::Crash => self.crash(),
            FuzzStep::Deliver(at) => {
                if let Some(at) = self.message(at) {
                    let event = self.messages.remove(at);
                    self.apply(event);
                }
            }
            FuzzStep::Duplicate(at) => {
                if let Some(at) = self.message(at) {
                    self.messages.push(self.messages[at].clone());
                }
            }
            FuzzStep::Engine(at, kind) => self.change_engine(at, kind),
            FuzzStep::Lose(at) => {
                if let Some(at) = self.message(at) {
                    self.messages.remove(at);
                }
            }
            FuzzStep::Progress(at, kind) => self.send_next(at, kind),
            FuzzStep::Advance(millis) => {
                self.cell.advance(Duration::from_millis(millis));
                self.apply(AdmitEvent::Tick);
            }
            FuzzStep::Report(at, used) => self.report(at, used),
            FuzzStep::Submit(row) => {
                let serial = self.requests.len() as u64;
                let mut request = self.cell.request(serial, ROWS[row]);
                request.key.incarnation = self.incarnation;
                self.requests.push(request.clone());
                self.messages.push(AdmitEvent::Submit(request));
            }
            FuzzStep::Table(limit) => self.set_limit(limit),
        }
    }

    fn announce(&mut self, at: usize, phase: usize) {
        if self.requests.is_empty() {
            return;
        }
        let request = self.requests[at % self.requests.len()].clone();
        let (decode, prefill) = (ENGINES[phase % 2].0.into(), ENGINES[2 + phase % 2].0.into());
        let since = self.cell.now;
        let phase = match phase / 2 {
            0 => AnnouncedPhase::Decoding { decode, tokens: 3 },
            1 => AnnouncedPhase::Prefilling { prefill, since },
            2 => AnnouncedPhase::Prefilled { prefill, since },
            _ => AnnouncedPhase::Transferring {
                decode,
                prefill,
                since,
            },
        };
        self.messages.push(AdmitEvent::Announce { phase, request });
    }

    fn change_engine(&mut self, at: usize, kind: usize) {
        let (name, role) = ENGINES[at % ENGINES.len()];
        self.messages.push(match kind {
            0 => AdmitEvent::UpstreamGone(name.into()),
            1 => AdmitEvent::UpstreamDraining(name.into(), LeavingCause::Said),
            _ => AdmitEvent::UpstreamUp(upstream(name, role)),
        });
    }

    fn crash(&mut self) {
        self.incarnation += 1;
        let before = self.incarnation;
        let instance = key(0).instance;
        self.messages
            .push(AdmitEvent::HolderGone { before, instance });
    }

    fn message(&self, at: usize) -> Option<usize> {
        at.checked_rem(self.messages.len())
    }

    /// Sends an event that fits the phase known to the oracle, or sometimes one that does not.
    fn send_next(&mut self, at: usize, kind: usize) {
        let Some(key) = self.pick(at) else {
            return;
        };
        let phase = self.oracle.phases.get(&key).map(|(_, phase)| phase.clone());
        let output_tokens = 20;
        self.messages.push(match (phase, kind) {
            (_, 0) => AdmitEvent::KvEvicted { key },
            (_, 1) => AdmitEvent::DecodeRefused { key },
            (Some(OraclePhase::Prefilling(prefill)), 2) => AdmitEvent::PrefillFailed {
                is_unavailable: at.is_multiple_of(3),
                key,
                prefill,
            },
            (_, 2) => AdmitEvent::PrefillFailed {
                is_unavailable: at.is_multiple_of(3),
                key,
                prefill: ENGINES[2 + at % 2].0.into(),
            },
            (_, 3) => AdmitEvent::DecodeLost { key },
            (_, 4) => AdmitEvent::FirstToken { key },
            (Some(OraclePhase::Prefilling(prefill)), _) => AdmitEvent::PrefillDone { key, prefill },
            (Some(OraclePhase::Streaming(_, Some(_))), _) => AdmitEvent::FirstToken { key },
            _ => AdmitEvent::Finished { key, output_tokens },
        });
    }

    fn pick(&self, at: usize) -> Option<RequestKey> {
        let at = at.checked_rem(self.requests.len())?;
        Some(self.requests[at].key.clone())
    }

    fn report(&mut self, at: usize, used: u32) {
        self.messages.push(AdmitEvent::Load(LoadReport {
            decode_used: used,
            leaving: false,
            prefill_tokens: 0,
            taken: self.cell.now,
            upstream: ENGINES[at % ENGINES.len()].0.into(),
        }));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_order_of_events_breaks_the_rules(
        steps in prop::collection::vec(any_step(), 1..200),
        ending in 0..3_usize,
    ) {
        let mut world = FuzzWorld::new();
        for step in steps {
            world.run(step);
        }
        match ending {
            0 => {
                for request in world.requests.clone() {
                    world.apply(AdmitEvent::Cancel { key: request.key });
                }
            }
            1 => {
                let instance = key(0).instance;
                world.apply(AdmitEvent::HolderGone { before: Incarnation::MAX, instance });
            }
            _ => {
                // All further events are lost, and the allocator must not wait forever. The oracle has no clock and is
                // not used here.
                for _ in 0..20 {
                    world.cell.advance(Duration::from_secs(1000));
                    let actions = world.cell.send(AdmitEvent::Tick);
                    prop_assert!(!world.oracle.touches_streams(&actions), "{:?}", actions);
                }
            }
        }
        prop_assert_eq!(world.cell.allocator.counts(), CellCounts::default());
    }
}
