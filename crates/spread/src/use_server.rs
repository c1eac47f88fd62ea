//! Takes what other instances tell of their customers' use.

use {
    crate::{MemberBoard, UseCall, UseReply, UseSums, use_message::FULL_REACH},
    kernel::{Incarnation, InstanceId, LockRank, RankedLock, steady_clock},
    peer::{PeerIdentity, PeerIncoming, ProtocolTag},
    policy::{UsageLedger, UsageReporter, UsageTotals},
    relay::QuotaBuckets,
    std::sync::Arc,
    tokio::sync::mpsc,
};

/// Calls about use.
pub const USE_TAG: ProtocolTag = 0x41;

/// The sums of one instance, and what they are made of. Clones share them.
#[derive(Clone, Debug)]
pub struct UseBoard {
    /// Whom this instance tells; none while it is the first of its zone.
    pub first: Arc<RankedLock<Option<InstanceId>>>,
    /// What was told.
    pub ledger: Arc<RankedLock<UsageLedger>>,
    /// This life of the instance.
    pub life: Incarnation,
    /// The instances.
    pub members: MemberBoard,
    /// The quotas.
    pub quotas: QuotaBuckets,
}

impl UseBoard {
    /// A board that was told nothing.
    pub fn new(life: Incarnation, members: MemberBoard, quotas: QuotaBuckets) -> Self {
        Self {
            first: Arc::new(RankedLock::new(LockRank::Samples, None)),
            ledger: Arc::new(RankedLock::new(LockRank::Readings, UsageLedger::default())),
            life,
            members,
            quotas,
        }
    }

    /// What the instance itself has used.
    pub fn own(&self) -> UsageTotals {
        let table = self.quotas.table.lock();
        let own = table
            .own_usage()
            .map(|(customer, own)| (customer.clone(), own));
        own.collect()
    }

    /// What is in the buckets that are low.
    pub fn rooms(&self) -> UsageTotals {
        let now = steady_clock::now();
        let table = self.quotas.table.lock();
        table.low_balances(now)
    }

    /// Answers calls until the endpoint closes.
    pub async fn serve(self, calls: mpsc::Receiver<PeerIncoming>) {
        let mut calls = calls;
        while let Some(incoming) = calls.recv().await {
            let PeerIncoming::Call { body, from, reply } = incoming else {
                continue;
            };
            let call = match postcard::from_bytes::<UseCall>(&body) {
                Ok(call) => call,
                Err(error) => {
                    tracing::warn!(instance = %from.instance, %error, "a call about use can't be read");
                    continue;
                }
            };
            let answer = self.answer(from, &call);
            // Texts and numbers always have a binary form.
            if let Ok(body) = postcard::to_stdvec(&answer) {
                reply.send(body.into());
            }
        }
    }

    fn answer(&self, from: PeerIdentity, call: &UseCall) -> UseReply {
        let now = steady_clock::now();
        let first = self.first.lock().clone();
        if let Some(first) = first.filter(|_| call.zone.is_some()) {
            return UseReply::Ask(first);
        }
        let teller = UsageReporter {
            instance: from.instance,
            life: from.incarnation,
        };
        self.quotas.table.lock().cap_balances(&call.rooms, now);
        let own = self.own();
        let mut ledger = self.ledger.lock();
        let totals = match &call.zone {
            Some(zone) => {
                let told = call.rows.iter();
                let told = told.map(|row| (row.customer.clone(), row.total));
                ledger.note_zone(zone, &teller, &told.collect(), now);
                let rows = ledger.report(None, &own).into_iter();
                rows.map(|row| (row.customer, row.total)).collect()
            }
            None => {
                ledger.note_report(&teller, &call.rows, now);
                ledger.others_for(&teller.instance, &own)
            }
        };
        let told = call.rows.iter().map(|row| &row.customer);
        let others = ledger.others_of(told.clone());
        let assumed = ledger.assumed_of(told);
        let all_assumed = ledger.assumed_of(totals.keys());
        drop(ledger);
        // The rooms that go back are those after what was told.
        let mut table = self.quotas.table.lock();
        table.note_others(&others, &assumed, now);
        drop(table);
        UseReply::Sums(self.sums(call, totals, &all_assumed))
    }

    fn sums(&self, call: &UseCall, totals: UsageTotals, assumed: &UsageTotals) -> UseSums {
        let now = steady_clock::now();
        let table = self.quotas.table.lock();
        let mut sums = UseSums {
            is_settled: table.is_settled(now),
            life: self.life,
            reach: (table.coverage() * FULL_REACH) as u8,
            ..UseSums::default()
        };
        let mut is_pressed = false;
        for row in &call.rows {
            is_pressed |= table.is_scarce(&row.customer, now);
        }
        for (customer, total) in totals {
            if call
                .wanted
                .as_ref()
                .is_some_and(|wanted| !wanted.contains(&customer))
            {
                continue;
            }
            if let Some(room) = table.reported_balance(&customer, now) {
                sums.rooms.insert(customer.clone(), room as i64);
            }
            if let Some(assumed) = assumed.get(&customer).filter(|assumed| **assumed != 0) {
                sums.assumed.insert(customer.clone(), *assumed);
            }
            sums.totals.insert(customer, total);
        }
        drop(table);
        if is_pressed {
            // Others are to know soon as well.
            self.quotas.low_bucket.notify_one();
        }
        sums
    }
}
