//! The metrics of the engines that this instance schedules.

use {
    crate::{HostedRows, PlaceScope, scheduler_host::CellLoads},
    prometheus::{GaugeVec, Opts, Registry},
    std::collections::BTreeMap,
};

/// The name and the labels are constants.
const VALID_METRIC: &str = "the name and the labels of a metric are valid";

/// Memory by engine and state. Clones share them.
#[derive(Clone, Debug)]
pub struct LoadGauges {
    rows: GaugeVec,
    tokens: GaugeVec,
}

impl LoadGauges {
    /// Gauges of no engine.
    pub fn new() -> Self {
        let options = Opts::new(
            "trestlewalk_relay_engine_tokens",
            "Memory of the decode engines that this instance schedules, by state.",
        );
        let rows = Opts::new(
            "trestlewalk_relay_scheduler_rows",
            "What this instance remembers for the cells that it schedules, by table.",
        );
        Self {
            rows: GaugeVec::new(rows, &["table"]).expect(VALID_METRIC),
            tokens: GaugeVec::new(options, &["engine", "state"]).expect(VALID_METRIC),
        }
    }

    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// The registry already has one of them.
    pub fn register(&self, registry: &Registry) -> prometheus::Result<()> {
        registry.register(Box::new(self.rows.clone()))?;
        registry.register(Box::new(self.tokens.clone()))
    }

    /// Sets the rows of each table, of all cells together.
    pub fn set_rows(&self, cells: &BTreeMap<PlaceScope, HostedRows>) {
        let sum = |count: fn(&HostedRows) -> usize| cells.values().map(count).sum::<usize>();
        for (table, rows) in [
            ("decisions", sum(|rows| rows.decisions)),
            ("ended", sum(|rows| rows.scheduler.ended)),
            ("instances", sum(|rows| rows.instances)),
            ("kept_calls", sum(|rows| rows.kept_calls)),
            ("places", sum(|rows| rows.scheduler.places)),
            ("queue", sum(|rows| rows.scheduler.queue)),
            ("turns", sum(|rows| rows.scheduler.turns)),
        ] {
            self.rows.with_label_values(&[table]).set(rows as f64);
        }
    }

    /// Replaces the gauges of the engines.
    pub fn set(&self, cells: &BTreeMap<PlaceScope, CellLoads>) {
        self.tokens.reset();
        for (engine, load) in cells.values().flatten() {
            let states = [
                ("capacity", load.capacity),
                ("held", Some(load.held)),
                ("peak", Some(load.peak)),
                ("promised", Some(load.promised)),
            ];
            for (state, tokens) in states {
                let Some(tokens) = tokens else {
                    continue;
                };
                let gauge = self.tokens.with_label_values(&[&**engine, state]);
                gauge.set(tokens as f64);
            }
        }
    }
}

impl Default for LoadGauges {
    fn default() -> Self {
        Self::new()
    }
}
