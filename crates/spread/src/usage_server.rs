//! Takes what other instances tell of their customers' use.

use {
    crate::{MemberRegistry, UsageReply, UsageRequest, UsageSummary, usage_message::FULL_REACH},
    kernel::{Incarnation, InstanceId, LockRank, RankedLock, steady_clock},
    peer::{PeerIdentity, PeerIncoming, ProtocolTag},
    policy::{UsageLedger, UsageReporter, UsageTotals},
    relay::QuotaBuckets,
    std::sync::Arc,
    tokio::sync::mpsc,
};

/// Calls about use.
pub const USAGE_TAG: ProtocolTag = 0x41;

/// The sums of one instance, and what they are made of. Clones share them.
#[derive(Clone, Debug)]
pub struct UsageServer {
    /// Whom this instance tells; none while it is the first of its zone.
    pub aggregator: Arc<RankedLock<Option<InstanceId>>>,
    /// What was told.
    pub ledger: Arc<RankedLock<UsageLedger>>,
    /// This life of the instance.
    pub life: Incarnation,
    /// The instances.
    pub members: MemberRegistry,
    /// The quotas.
    pub quotas: QuotaBuckets,
}

impl UsageServer {
    /// A board that was told nothing.
    pub fn new(life: Incarnation, members: MemberRegistry, quotas: QuotaBuckets) -> Self {
        Self {
            aggregator: Arc::new(RankedLock::new(LockRank::Samples, None)),
            ledger: Arc::new(RankedLock::new(LockRank::Readings, UsageLedger::default())),
            life,
            members,
            quotas,
        }
    }

    /// What the instance itself has used.
    pub fn own_totals(&self) -> UsageTotals {
        let table = self.quotas.table.lock();
        let own = table
            .own_usage()
            .map(|(customer, own)| (customer.clone(), own));
        own.collect()
    }

    /// What is in the buckets that are low.
    pub fn low_bucket_levels(&self) -> UsageTotals {
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
            let call = match postcard::from_bytes::<UsageRequest>(&body) {
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

    fn answer(&self, from: PeerIdentity, call: &UsageRequest) -> UsageReply {
        let now = steady_clock::now();
        let first = self.aggregator.lock().clone();
        if let Some(first) = first.filter(|_| call.zone.is_some()) {
            return UsageReply::Redirect(first);
        }
        let teller = UsageReporter {
            instance: from.instance,
            life: from.incarnation,
        };
        self.quotas
            .table
            .lock()
            .cap_balances(&call.bucket_levels, now);
        let own = self.own_totals();
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
        // The bucket_levels that go back are those after what was told.
        let mut table = self.quotas.table.lock();
        table.note_others(&others, &assumed, now);
        drop(table);
        UsageReply::Summary(self.summary(call, totals, &all_assumed))
    }

    fn summary(
        &self,
        call: &UsageRequest,
        totals: UsageTotals,
        assumed: &UsageTotals,
    ) -> UsageSummary {
        let now = steady_clock::now();
        let table = self.quotas.table.lock();
        let mut summary = UsageSummary {
            is_settled: table.is_settled(now),
            life: self.life,
            reach: (table.coverage() * FULL_REACH) as u8,
            ..UsageSummary::default()
        };
        let mut is_pressed = false;
        for row in &call.rows {
            is_pressed |= table.is_scarce(&row.customer, now);
        }
        for (customer, total) in totals {
            if call
                .customers
                .as_ref()
                .is_some_and(|customers| !customers.contains(&customer))
            {
                continue;
            }
            if let Some(room) = table.reported_balance(&customer, now) {
                summary.bucket_levels.insert(customer.clone(), room as i64);
            }
            if let Some(assumed) = assumed.get(&customer).filter(|assumed| **assumed != 0) {
                summary.assumed.insert(customer.clone(), *assumed);
            }
            summary.totals.insert(customer, total);
        }
        drop(table);
        if is_pressed {
            // Others are to know soon as well.
            self.quotas.low_bucket.notify_one();
        }
        summary
    }
}
