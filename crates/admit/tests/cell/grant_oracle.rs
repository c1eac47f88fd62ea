//! A small model of the allocator that derives the phase of each request from its events and actions.

use {
    admit::{AdmitAction, AdmitEvent, AnnouncedPhase, RequestKey},
    kernel::{Incarnation, UpstreamId, WorkId},
    route::UpstreamRole,
    std::collections::BTreeMap,
};

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum OraclePhase {
    Ended { may_resubmit: bool },
    Queued,
    Prefilled(UpstreamId),
    Prefilling(UpstreamId),
    Streaming(UpstreamId, Option<UpstreamId>),
}

/// The expected phases, and the limits to check.
#[derive(Debug, Default)]
pub(crate) struct GrantOracle {
    pub(crate) incarnation: Incarnation,
    pub(crate) limit: u32,
    pub(crate) phases: BTreeMap<RequestKey, (WorkId, OraclePhase)>,
    pub(crate) places: u32,
}

impl GrantOracle {
    /// Checks an action of the allocator.
    pub(crate) fn check(&mut self, action: &AdmitAction) {
        use OraclePhase::*;
        let key = match action {
            AdmitAction::GrantDecode { key, .. }
            | AdmitAction::GrantPrefill { key, .. }
            | AdmitAction::Refuse { key, .. } => key.clone(),
            AdmitAction::Resync { key } => {
                let phase = self.phases.get(key).map(|(_, phase)| phase);
                let is_dropped = matches!(phase, None | Some(Ended { may_resubmit: true }));
                assert!(is_dropped, "{action:?} in {phase:?}");
                return;
            }
            AdmitAction::WakeAt(_) => return,
        };
        let (work, phase) = self.phases.get(&key).expect("the request is known").clone();
        let next = match (action, phase) {
            (AdmitAction::GrantDecode { decode, .. }, Prefilled(prefill)) => {
                assert!(
                    self.streams(decode) < self.places,
                    "{decode} is full: {action:?}"
                );
                Streaming(decode.clone(), Some(prefill))
            }
            (AdmitAction::GrantPrefill { prefill, .. }, Queued) => {
                assert!(
                    self.running(&work) < self.limit,
                    "{work} is at its limit: {action:?}"
                );
                Prefilling(prefill.clone())
            }
            (AdmitAction::Refuse { retry_after, .. }, Queued | Prefilled(_) | Prefilling(_)) => {
                assert!(!retry_after.is_zero());
                Ended { may_resubmit: true }
            }
            (action, phase) => panic!("{action:?} in {phase:?}"),
        };
        self.phases.insert(key, (work, next));
    }

    /// Records an event sent to the allocator.
    pub(crate) fn observe(&mut self, event: &AdmitEvent) {
        use OraclePhase::*;
        match event {
            AdmitEvent::Announce { phase, request } => {
                let known = self.phases.get(&request.key).map(|(_, phase)| phase);
                let is_replaced = match (known, phase) {
                    (None | Some(Queued | Ended { may_resubmit: true }), _) => true,
                    (Some(Prefilling(at)), AnnouncedPhase::Prefilling { prefill, .. }) => {
                        at != prefill
                    }
                    (Some(Streaming(_, Some(_))), AnnouncedPhase::Prefilling { .. }) => true,
                    _ => false,
                };
                if request.key.incarnation < self.incarnation || !is_replaced {
                    return;
                }
                let phase = match phase.clone() {
                    AnnouncedPhase::Decoding { decode, .. } => Streaming(decode, None),
                    AnnouncedPhase::Prefilling { prefill, .. } => Prefilling(prefill),
                    AnnouncedPhase::Prefilled { prefill, .. } => Prefilled(prefill),
                    AnnouncedPhase::Transferring {
                        decode, prefill, ..
                    } => Streaming(decode, Some(prefill)),
                };
                self.phases
                    .insert(request.key.clone(), (request.work.clone(), phase));
            }
            AdmitEvent::Submit(request) => {
                let known = self.phases.get(&request.key).map(|(_, phase)| phase);
                if request.key.incarnation >= self.incarnation
                    && matches!(known, None | Some(Ended { may_resubmit: true }))
                {
                    self.phases
                        .insert(request.key.clone(), (request.work.clone(), Queued));
                }
            }
            AdmitEvent::Cancel { key } => {
                let over = (
                    "".into(),
                    Ended {
                        may_resubmit: false,
                    },
                );
                self.phases.insert(key.clone(), over);
            }
            AdmitEvent::HolderGone { before, instance } => {
                self.incarnation = self.incarnation.max(*before);
                for (key, (_, phase)) in &mut self.phases {
                    if key.instance == *instance && key.incarnation < *before {
                        *phase = Ended {
                            may_resubmit: false,
                        };
                    }
                }
            }
            AdmitEvent::UpstreamGone(upstream) => {
                for (_, phase) in self.phases.values_mut() {
                    match phase {
                        Prefilled(at) | Prefilling(at) if at == upstream => *phase = Queued,
                        Streaming(at, _) if at == upstream => *phase = Ended { may_resubmit: true },
                        _ => {}
                    }
                }
            }
            AdmitEvent::DecodeLost { key } => {
                self.change(
                    key,
                    |phase| matches!(phase, Streaming(..)),
                    Ended { may_resubmit: true },
                );
            }
            AdmitEvent::Finished { key, .. } => {
                self.change(
                    key,
                    |phase| matches!(phase, Streaming(..)),
                    Ended {
                        may_resubmit: false,
                    },
                );
            }
            AdmitEvent::KvEvicted { key } => {
                self.change(
                    key,
                    |phase| matches!(phase, Prefilled(_) | Streaming(_, Some(_))),
                    Queued,
                );
            }
            AdmitEvent::PrefillFailed { key, prefill, .. } => {
                self.change(key, |phase| *phase == Prefilling(prefill.clone()), Queued);
            }
            AdmitEvent::FirstToken { key } => {
                if let Some((_, Streaming(_, kv))) = self.phases.get_mut(key) {
                    *kv = None;
                }
            }
            AdmitEvent::DecodeRefused { key } => {
                if let Some((_, Streaming(_, Some(prefill)))) = self.phases.get(key) {
                    let prefill = prefill.clone();
                    self.change(key, |_| true, Prefilled(prefill));
                }
            }
            AdmitEvent::PrefillDone { key, prefill } => {
                let next = Prefilled(prefill.clone());
                self.change(key, |phase| *phase == Prefilling(prefill.clone()), next);
            }
            _ => {}
        }
    }

    /// Whether an action concerns a request that holds a decode place.
    pub(crate) fn touches_streams(&self, actions: &[AdmitAction]) -> bool {
        let streams = |key| {
            let phase = self.phases.get(key).map(|(_, phase)| phase);
            matches!(phase, Some(OraclePhase::Streaming(..)))
        };
        actions.iter().any(|action| match action {
            AdmitAction::GrantDecode { key, .. }
            | AdmitAction::GrantPrefill { key, .. }
            | AdmitAction::Refuse { key, .. } => streams(key),
            AdmitAction::Resync { .. } | AdmitAction::WakeAt(_) => false,
        })
    }

    fn change(&mut self, key: &RequestKey, from: impl Fn(&OraclePhase) -> bool, to: OraclePhase) {
        let Some((_, phase)) = self.phases.get_mut(key) else {
            return;
        };
        if from(phase) {
            *phase = to;
        }
    }

    fn running(&self, work: &WorkId) -> u32 {
        use OraclePhase::*;
        let runs =
            |phase: &OraclePhase| matches!(phase, Prefilled(_) | Prefilling(_) | Streaming(..));
        let all = self.phases.values();
        all.filter(|(row, phase)| row == work && runs(phase))
            .count() as u32
    }

    fn streams(&self, decode: &UpstreamId) -> u32 {
        let at =
            |phase: &OraclePhase| matches!(phase, OraclePhase::Streaming(at, _) if at == decode);
        self.phases.values().filter(|(_, phase)| at(phase)).count() as u32
    }
}

/// The engines of the fuzz test.
pub(crate) const ENGINES: [(&str, UpstreamRole); 4] = [
    ("d1", UpstreamRole::Decode),
    ("d2", UpstreamRole::Decode),
    ("p1", UpstreamRole::Prefill),
    ("p2", UpstreamRole::Prefill),
];
