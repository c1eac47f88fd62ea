//! The instances that were asked for places and did not answer. Free of I/O; times are passed in.

use {
    kernel::InstanceId,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// After how many calls in a row without an answer another instance is asked: one may be lost with a packet.
const MAX_SILENT_CALLS: u32 = 2;
/// The first pause before a silent instance is probed. It doubles with each probe that stays unanswered.
const PROBE_PAUSE: Duration = Duration::from_millis(500);
/// The longest pause between probes.
const MAX_PROBE_PAUSE: Duration = Duration::from_secs(8);

/// The silence of each instance; those that answer have none.
#[derive(Clone, Debug, Default)]
pub struct SilentSchedulers {
    silences: BTreeMap<InstanceId, Silence>,
}

#[derive(Clone, Copy, Debug)]
struct Silence {
    calls: u32,
    pause: Duration,
    probe_at: Instant,
}

impl SilentSchedulers {
    /// Records an answer.
    pub fn note_answer(&mut self, instance: &InstanceId) {
        self.silences.remove(instance);
    }

    /// Records a call that got no answer. Returns whether the instance is not to be asked from now on.
    pub fn note_silence(&mut self, instance: &InstanceId, now: Instant) -> bool {
        let silence = self.silences.entry(instance.clone()).or_insert(Silence {
            calls: 0,
            pause: PROBE_PAUSE,
            probe_at: now + PROBE_PAUSE,
        });
        silence.calls = silence.calls.saturating_add(1);
        silence.calls == MAX_SILENT_CALLS
    }

    /// Whether an instance is not to be asked.
    pub fn is_silent(&self, instance: &InstanceId) -> bool {
        let silence = self.silences.get(instance);
        silence.is_some_and(|silence| silence.calls >= MAX_SILENT_CALLS)
    }

    /// The silent instances whose probe is due.
    pub fn take_due(&mut self, now: Instant) -> Vec<InstanceId> {
        let mut due = Vec::new();
        for (instance, silence) in &mut self.silences {
            if silence.calls < MAX_SILENT_CALLS || now < silence.probe_at {
                continue;
            }
            silence.pause = (silence.pause * 2).min(MAX_PROBE_PAUSE);
            silence.probe_at = now + silence.pause;
            due.push(instance.clone());
        }
        due
    }

    /// Forgets the instances that are no members any more.
    pub fn retain(&mut self, is_member: impl Fn(&InstanceId) -> bool) {
        self.silences.retain(|instance, _| is_member(instance));
    }
}
