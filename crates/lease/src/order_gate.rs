//! Decides whether an order may be sent now.

use {
    crate::{clock_drift::add_drift_margin, lease_hold::LeaseHold},
    kernel::{FencingToken, UpstreamId},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// The decision of the gate on an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateVerdict {
    /// The lease is not held: [`LeaseLost`](kernel::ResultCode::LeaseLost).
    Lost,
    /// Send it now with this fencing token, and report an answer to [`OrderGate::on_answer`].
    Send(FencingToken),
    /// An earlier order may be in progress until then.
    Wait(Instant),
}

/// Checks each order of a process before it is sent. At most one order per upstream is in flight at a time.
#[derive(Debug)]
pub struct OrderGate {
    longest_order: Duration,
    in_flight: BTreeMap<UpstreamId, Instant>,
}

impl OrderGate {
    /// Decides on an order, and records it as sent if the verdict is to send it. `now` must be read right
    /// before the order is sent.
    ///
    /// An upstream that checks fencing tokens refuses earlier holders itself. For one that does not, the gate
    /// waits until no order of an earlier holder can be in progress.
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

    /// Whether no order of this process can be in progress.
    pub fn is_idle(&self, now: Instant) -> bool {
        self.in_flight.values().all(|done| *done <= now)
    }

    /// A gate for orders that take at most `longest_order` from sending to their last effect.
    pub fn new(longest_order: Duration) -> Self {
        Self {
            longest_order,
            in_flight: BTreeMap::new(),
        }
    }

    /// Records that an upstream answered: its order is done or was refused. An order without an answer counts
    /// as in flight for the longest time.
    pub fn on_answer(&mut self, upstream: &UpstreamId) {
        self.in_flight.remove(upstream);
    }
}
