//! Whether an order may be sent now.

use {
    crate::{clock_drift::add_drift_margin, lease_hold::LeaseHold},
    kernel::{FencingToken, UpstreamId},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// What the gate says of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateVerdict {
    /// The lease is not held: [`LeaseLost`](kernel::ResultCode::LeaseLost).
    Lost,
    /// Send it now, with this number, and tell the gate what became of it.
    Send(FencingToken),
    /// An earlier order may be at work until then.
    Wait(Instant),
}

/// The gate before each order of one process. One order an upstream is at work at a time.
#[derive(Debug)]
pub struct OrderGate {
    longest_order: Duration,
    in_flight: BTreeMap<UpstreamId, Instant>,
}

impl OrderGate {
    /// Decides on an order, and takes it for sent if it says so. `now` is read right before the order is sent.
    ///
    /// An upstream that checks fencing numbers refuses an earlier holder by itself. For one that doesn't, the gate
    /// waits until no earlier holder's order can be at work.
    pub fn decide(
        &mut self,
        now: Instant,
        hold: Option<LeaseHold>,
        upstream: &UpstreamId,
        checks_fence: bool,
    ) -> GateVerdict {
        let Some(hold) = hold.filter(|hold| now < hold.until) else {
            return GateVerdict::Lost;
        };
        let own = self.in_flight.get(upstream).copied();
        let others = (!checks_fence).then_some(hold.unchecked_from);
        let earliest = own.max(others).unwrap_or(now);
        if now < earliest {
            return GateVerdict::Wait(earliest);
        }
        let done = now + add_drift_margin(self.longest_order);
        self.in_flight.insert(upstream.clone(), done);
        GateVerdict::Send(hold.fence)
    }

    /// Whether no order of this process can be at work.
    pub fn is_idle(&self, now: Instant) -> bool {
        self.in_flight.values().all(|done| *done <= now)
    }

    /// A gate for orders that take `longest_order` at most from their sending to their last effect.
    pub fn new(longest_order: Duration) -> Self {
        Self {
            longest_order,
            in_flight: BTreeMap::new(),
        }
    }

    /// An upstream answered: its order is done, or was refused. An order without an answer counts as at work for
    /// the longest time.
    pub fn on_answer(&mut self, upstream: &UpstreamId) {
        self.in_flight.remove(upstream);
    }
}
