//! Receives the usage reports of other instances.

use {
    crate::{MemberRegistry, UsageReply, UsageRequest, UsageSummary, usage_message::FULL_COVERAGE},
    kernel::{Incarnation, InstanceId, LockRank, RankedLock, steady_clock},
    peer::{PeerIdentity, PeerIncoming, ProtocolTag},
    policy::{UsageLedger, UsageReporter, UsageTotals},
    relay::QuotaBuckets,
    std::sync::Arc,
    tokio::sync::mpsc,
};

/// Protocol tag of usage requests.
pub const USAGE_TAG: ProtocolTag = 0x41;

/// Collected usage of one instance and the inputs to it. Clones share their state.
#[derive(Clone, Debug)]
pub struct UsageServer {
    /// The instance that this one reports to; `None` while it is the aggregator of its zone.
    pub aggregator: Arc<RankedLock<Option<InstanceId>>>,
    /// Usage reported by other instances.
    pub ledger: Arc<RankedLock<UsageLedger>>,
    /// Incarnation of this instance.
    pub incarnation: Incarnation,
    /// Known instances.
    pub members: MemberRegistry,
    /// Quotas enforced by this instance.
    pub quotas: QuotaBuckets,
}

impl UsageServer {
    /// A server that has received no reports.
    pub fn new(incarnation: Incarnation, members: MemberRegistry, quotas: QuotaBuckets) -> Self {
        Self {
            aggregator: Arc::new(RankedLock::new(LockRank::Samples, None)),
            ledger: Arc::new(RankedLock::new(LockRank::Readings, UsageLedger::default())),
            incarnation,
            members,
            quotas,
        }
    }

    /// Usage counted by this instance itself.
    pub fn own_totals(&self) -> UsageTotals {
        let table = self.quotas.table.lock();
        let own = table
            .own_usage()
            .map(|(customer, own)| (customer.clone(), own));
        own.collect()
    }

    /// Balances of the token buckets that are low.
    pub fn low_balances(&self) -> UsageTotals {
        let now = steady_clock::now();
        let table = self.quotas.table.lock();
        table.low_balances(now)
    }

    /// Answers requests until the endpoint closes.
    pub async fn serve(self, calls: mpsc::Receiver<PeerIncoming>) {
        let mut calls = calls;
        while let Some(incoming) = calls.recv().await {
            let PeerIncoming::Call { body, from, reply } = incoming else {
                continue;
            };
            let request = match postcard::from_bytes::<UsageRequest>(&body) {
                Ok(request) => request,
                Err(error) => {
                    tracing::warn!(instance = %from.instance, %error, "failed to decode a usage request");
                    continue;
                }
            };
            let answer = self.answer(from, &request);
            // Strings and numbers always serialise.
            if let Ok(body) = postcard::to_stdvec(&answer) {
                reply.send(body.into());
            }
        }
    }

    fn answer(&self, from: PeerIdentity, request: &UsageRequest) -> UsageReply {
        let now = steady_clock::now();
        let aggregator = self.aggregator.lock().clone();
        if let Some(aggregator) = aggregator.filter(|_| request.zone.is_some()) {
            return UsageReply::Redirect(aggregator);
        }
        let reporter = UsageReporter {
            instance: from.instance,
            life: from.incarnation,
        };
        self.quotas
            .table
            .lock()
            .cap_balances(&request.balances, now);
        let own = self.own_totals();
        let mut ledger = self.ledger.lock();
        let totals = match &request.zone {
            Some(zone) => {
                let reported = request.rows.iter();
                let reported = reported.map(|row| (row.customer.clone(), row.total));
                ledger.note_zone(zone, &reporter, &reported.collect(), now);
                let rows = ledger.report(None, &own).into_iter();
                rows.map(|row| (row.customer, row.total)).collect()
            }
            None => {
                ledger.note_report(&reporter, &request.rows, now);
                ledger.others_for(&reporter.instance, &own)
            }
        };
        let customers = request.rows.iter().map(|row| &row.customer);
        let others = ledger.others_of(customers.clone());
        let assumed = ledger.assumed_of(customers);
        let all_assumed = ledger.assumed_of(totals.keys());
        drop(ledger);
        // The returned bucket balances must include the usage just reported.
        let mut table = self.quotas.table.lock();
        table.note_others(&others, &assumed, now);
        drop(table);
        UsageReply::Summary(self.summary(request, totals, &all_assumed))
    }

    fn summary(
        &self,
        request: &UsageRequest,
        totals: UsageTotals,
        assumed: &UsageTotals,
    ) -> UsageSummary {
        let now = steady_clock::now();
        let table = self.quotas.table.lock();
        let mut summary = UsageSummary {
            is_settled: table.is_settled(now),
            incarnation: self.incarnation,
            coverage: (table.coverage() * FULL_COVERAGE) as u8,
            ..UsageSummary::default()
        };
        let mut is_any_scarce = false;
        for row in &request.rows {
            is_any_scarce |= table.is_scarce(&row.customer, now);
        }
        for (customer, total) in totals {
            if request
                .customers
                .as_ref()
                .is_some_and(|customers| !customers.contains(&customer))
            {
                continue;
            }
            if let Some(balance) = table.reported_balance(&customer, now) {
                summary.balances.insert(customer.clone(), balance as i64);
            }
            if let Some(assumed) = assumed.get(&customer).filter(|assumed| **assumed != 0) {
                summary.assumed.insert(customer.clone(), *assumed);
            }
            summary.totals.insert(customer, total);
        }
        drop(table);
        if is_any_scarce {
            // Wake the exchange, so that other instances learn of it soon.
            self.quotas.low_bucket.notify_one();
        }
        summary
    }
}
