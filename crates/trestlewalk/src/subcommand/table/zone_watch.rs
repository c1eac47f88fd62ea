//! Follows an edit until it is in force in every availability zone.

use {
    super::admin_probe::ProbeAnswers,
    kernel::{TableDigest, TableVersion, ZoneId},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// The name shown for the availability zone of an instance that never answered.
const UNKNOWN_ZONE: &str = "(unknown availability zone)";

/// The state of one availability zone.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ZoneState {
    /// The number of instances that answered.
    pub answered: usize,
    /// The time from the edit until all instances that answer had it in force; `None` until then.
    pub in_force: Option<Duration>,
    /// The number of instances that have the edit in force.
    pub ready: usize,
    /// The addresses that gave no answer.
    pub silent: BTreeSet<SocketAddr>,
    /// The lowest version among the answers.
    pub version: TableVersion,
}

/// Tracks the answers of instances. It does no I/O: the caller of its methods queries the instances.
#[derive(Clone, Debug)]
pub struct ZoneWatch {
    digests: BTreeSet<TableDigest>,
    known_zones: BTreeMap<SocketAddr, ZoneId>,
    states: BTreeMap<ZoneId, ZoneState>,
    version: TableVersion,
    zones: BTreeSet<ZoneId>,
}

impl ZoneWatch {
    /// Records a round of answers, received `elapsed` after the edit. Returns the availability zones in which the edit
    /// came into force with this round, sorted by name.
    pub fn record_answers(&mut self, answers: &ProbeAnswers, elapsed: Duration) -> Vec<ZoneId> {
        let mut states: BTreeMap<ZoneId, ZoneState> = BTreeMap::new();
        for zone in &self.zones {
            states.insert(zone.clone(), ZoneState::default());
        }
        for (address, answer) in answers {
            if let Some(status) = answer {
                self.known_zones.insert(*address, status.zone.clone());
            }
            let state = states.entry(self.zone_of(*address)).or_default();
            let Some(status) = answer else {
                state.silent.insert(*address);
                continue;
            };
            state.version = match state.answered {
                0 => status.version,
                _ => state.version.min(status.version),
            };
            state.answered += 1;
            state.ready += usize::from(status.version >= self.version);
            if status.version == self.version {
                self.digests.insert(status.digest);
            }
        }
        let mut newly_in_force = Vec::new();
        for (zone, state) in &mut states {
            let earlier = self.states.get(zone).and_then(|earlier| earlier.in_force);
            let is_ready = state.answered > 0 && state.ready == state.answered;
            state.in_force = earlier.or(is_ready.then_some(elapsed));
            if earlier.is_none() && is_ready {
                newly_in_force.push(zone.clone());
            }
        }
        self.states = states;
        newly_in_force
    }

    /// Whether the edit is in force in every availability zone, at every instance.
    pub fn is_done(&self) -> bool {
        let states = self.states.values();
        let mut states =
            states.filter(|state| state.in_force.is_none() || !state.silent.is_empty());
        !self.states.is_empty() && states.next().is_none()
    }

    /// Whether instances hold the edit's version with different content.
    pub fn digests_differ(&self) -> bool {
        self.digests.len() > 1
    }

    /// Creates a watch of the edit that made `version`, over the known availability zones and the answers from before
    /// the edit.
    pub fn new(version: TableVersion, zones: BTreeSet<ZoneId>, before: &ProbeAnswers) -> Self {
        let mut known_zones = BTreeMap::new();
        for (address, answer) in before {
            if let Some(status) = answer {
                known_zones.insert(*address, status.zone.clone());
            }
        }
        Self {
            digests: BTreeSet::new(),
            known_zones,
            states: BTreeMap::new(),
            version,
            zones,
        }
    }

    /// The availability zones in which the edit is not in force yet.
    pub fn pending_zones(&self) -> Vec<ZoneId> {
        let mut zones = Vec::new();
        for (zone, state) in &self.states {
            if state.in_force.is_none() {
                zones.push(zone.clone());
            }
        }
        zones
    }

    /// Formats the state of an availability zone as one line.
    pub fn zone_text(&self, zone: &str) -> String {
        let Some(state) = self.states.get(zone) else {
            return format!("{zone}: nothing known");
        };
        let mut text = match state.in_force {
            Some(elapsed) => format!(
                "{zone}: in force after {:.1} s at {} of {} instances",
                elapsed.as_secs_f64(),
                state.ready,
                state.answered + state.silent.len()
            ),
            None if state.answered == 0 => format!("{zone}: cut off: no entry instance answers"),
            None => format!(
                "{zone}: not in force: it still has version {}, in force at {} of {} instances",
                state.version,
                state.ready,
                state.answered + state.silent.len()
            ),
        };
        if !state.silent.is_empty() {
            let silent: Vec<String> = state.silent.iter().map(ToString::to_string).collect();
            text.push_str(&format!("; no answer from {}", silent.join(" ")));
        }
        text
    }

    /// The availability zones, sorted by name.
    pub fn zones(&self) -> Vec<ZoneId> {
        self.states.keys().cloned().collect()
    }

    fn zone_of(&self, address: SocketAddr) -> ZoneId {
        match self.known_zones.get(&address) {
            Some(zone) => zone.clone(),
            None => UNKNOWN_ZONE.into(),
        }
    }
}
