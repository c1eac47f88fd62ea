//! Reports the usage of this instance's customers to other instances and receives theirs, so that
//! the quota of a customer holds when it sends requests through many instances at once.
//!
//! Each instance makes one call per second, to the aggregator of its zone, which is the first
//! instance that answers. Aggregators call each other. While a bucket is low and in use its usage
//! is reported ten times per second.

use {
    crate::{
        PeerCooldown, UsageReply, UsageRequest, UsageServer, UsageSummary,
        usage_message::FULL_COVERAGE, usage_server::USAGE_TAG,
    },
    kernel::{CustomerId, Incarnation, InstanceId, ZoneId, steady_clock},
    peer::PeerEndpoint,
    policy::{QuotaTable, UsageReporter, UsageRow, UsageTotals},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Interval between two calls while all buckets have room.
const NORMAL_PERIOD: Duration = Duration::from_secs(1);
/// Interval while a bucket is low. What all instances consume meanwhile is covered by the overage
/// that the operators allow.
const LOW_BUCKET_PERIOD: Duration = Duration::from_millis(100);
/// Timeout of a call: a few network delays and the processing on slow machines.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// First cooldown of an instance that did not answer. It doubles with each further failure.
const COOLDOWN: Duration = Duration::from_secs(2);
/// Upper limit of the cooldown, after which a recovered instance is called again.
const MAX_COOLDOWN: Duration = Duration::from_secs(16);
/// Number of instances tried per round: the usual one and the next.
const MAX_ATTEMPTS: usize = 2;

/// Usage exchange of one instance.
#[derive(Debug)]
pub struct UsageExchange {
    server: UsageServer,
    endpoint: PeerEndpoint,
    /// Aggregators of other zones, as named by instances of those zones.
    zone_aggregators: BTreeMap<ZoneId, InstanceId>,
    /// Instances that did not answer their last call.
    cooldowns: BTreeMap<InstanceId, PeerCooldown>,
    /// The totals reported to each instance, with its incarnation.
    reported: BTreeMap<InstanceId, (Incarnation, UsageTotals)>,
    /// When usage of all customers was last requested.
    last_full_request: Option<Instant>,
}

impl UsageExchange {
    /// An exchange that has reported nothing.
    pub fn new(server: UsageServer, endpoint: PeerEndpoint) -> Self {
        Self {
            server,
            endpoint,
            zone_aggregators: BTreeMap::new(),
            cooldowns: BTreeMap::new(),
            reported: BTreeMap::new(),
            last_full_request: None,
        }
    }

    /// Runs until it is dropped.
    pub async fn run(mut self) {
        let mut last = steady_clock::now();
        loop {
            let quotas = self.server.quotas.clone();
            tokio::select! {
                () = time::sleep(NORMAL_PERIOD) => {}
                () = quotas.low_bucket.notified() => {
                    let pause = LOW_BUCKET_PERIOD.saturating_sub(steady_clock::elapsed(last));
                    time::sleep(pause).await;
                }
            }
            last = steady_clock::now();
            self.run_round(last).await;
        }
    }

    /// Reports to the aggregator of the zone, or to those of other zones if this instance is the
    /// aggregator.
    async fn run_round(&mut self, now: Instant) {
        if self.server.members.state.borrow().members.is_empty() {
            // No member is known yet, but there may be others.
            return;
        }
        let own = self.server.own_totals();
        if own.is_empty() {
            // No customer has a limit, so there is nothing to share.
            return;
        }
        self.server.ledger.lock().note_own(&own, now);
        for _ in 0..MAX_ATTEMPTS {
            let peers = {
                let election = self.server.members.election.lock();
                election.usage_peers(now, |instance| self.is_cooling_down(instance, now))
            };
            let before = std::mem::replace(
                &mut *self.server.aggregator.lock(),
                peers.aggregator.clone(),
            );
            if before.is_some() && peers.aggregator.is_none() {
                self.server.quotas.table.lock().start_aggregating(now);
            }
            let Some(aggregator) = peers.aggregator else {
                return self.report_to_zones(peers.zones, &own, now).await;
            };
            if self.report_to_aggregator(aggregator, &own, now).await {
                return;
            }
        }
    }

    /// Reports to the aggregator of the zone; returns whether it answered.
    async fn report_to_aggregator(
        &mut self,
        aggregator: InstanceId,
        own: &UsageTotals,
        now: Instant,
    ) -> bool {
        let request = UsageRequest {
            balances: self.server.low_balances(),
            rows: self.unreported_rows(&aggregator, Some(&aggregator), own),
            customers: self.requested_customers(now),
            zone: None,
        };
        let Some(UsageReply::Summary(summary)) = self.call(&aggregator, &request).await else {
            return false;
        };
        let reporter = UsageReporter {
            instance: aggregator,
            life: summary.incarnation,
        };
        let now = steady_clock::now();
        let mut ledger = self.server.ledger.lock();
        ledger.note_remote(&reporter, &summary.totals, now);
        let others = ledger.others_of(summary.totals.keys());
        drop(ledger);
        let mut table = self.server.quotas.table.lock();
        table.set_coverage(f64::from(summary.coverage) / FULL_COVERAGE);
        table.note_synced(now);
        table.note_others(&others, &summary.assumed, now);
        apply_balances(&mut table, &summary, own, now);
        true
    }

    /// Reports the usage of this zone to the aggregators of all other zones. All zones adopt the
    /// bucket balances of the first zone by name that answers: one view of each bucket is better
    /// than several different ones.
    async fn report_to_zones(
        &mut self,
        zones: Vec<(ZoneId, Option<InstanceId>)>,
        own: &UsageTotals,
        now: Instant,
    ) {
        let names = zones.iter().map(|(zone, _)| zone);
        self.server.ledger.lock().expect_zones(names, now);
        let mut adopted: Option<UsageSummary> = None;
        for (zone, aggregator) in zones {
            let named = self.zone_aggregators.get(&zone).cloned();
            let named = named.filter(|named| !self.is_cooling_down(named, now));
            let Some(aggregator) = named.or(aggregator) else {
                self.server.ledger.lock().note_silence(&zone);
                continue;
            };
            let is_before = zone < self.server.members.own.zone;
            let summary = self.report_to_zone(zone, aggregator, own).await;
            if adopted.is_none() && is_before {
                adopted = summary;
            }
        }
        self.apply_zones();
        if let Some(summary) = adopted {
            let mut table = self.server.quotas.table.lock();
            apply_balances(&mut table, &summary, own, steady_clock::now());
        }
    }

    /// Reports to the aggregator of another zone, following a redirect.
    async fn report_to_zone(
        &mut self,
        zone: ZoneId,
        aggregator: InstanceId,
        own: &UsageTotals,
    ) -> Option<UsageSummary> {
        let mut aggregator = aggregator;
        for _ in 0..MAX_ATTEMPTS {
            let request = UsageRequest {
                balances: self.server.low_balances(),
                rows: self.unreported_rows(&aggregator, None, own),
                customers: None,
                zone: Some(self.server.members.own.zone.clone()),
            };
            match self.call(&aggregator, &request).await {
                Some(UsageReply::Redirect(named)) => {
                    self.zone_aggregators.insert(zone.clone(), named.clone());
                    aggregator = named;
                }
                Some(UsageReply::Summary(summary)) => {
                    let reporter = UsageReporter {
                        instance: aggregator,
                        life: summary.incarnation,
                    };
                    let now = steady_clock::now();
                    let mut ledger = self.server.ledger.lock();
                    ledger.note_zone(&zone, &reporter, &summary.totals, now);
                    drop(ledger);
                    return Some(summary);
                }
                None => break,
            }
        }
        self.zone_aggregators.remove(&zone);
        self.server.ledger.lock().note_silence(&zone);
        None
    }

    fn is_cooling_down(&self, instance: &InstanceId, now: Instant) -> bool {
        self.cooldowns
            .get(instance)
            .is_some_and(|cooldown| !cooldown.is_over(now))
    }

    /// The usage not reported to `to` yet, without what `of` reported to this instance.
    fn unreported_rows(
        &self,
        to: &InstanceId,
        of: Option<&InstanceId>,
        own: &UsageTotals,
    ) -> Vec<UsageRow> {
        let mut rows = self.server.ledger.lock().report(of, own);
        let reported = self.reported.get(to);
        rows.retain(|row| {
            reported.and_then(|(_, totals)| totals.get(&row.customer)) != Some(&row.total)
        });
        rows
    }

    /// Makes one call. A failure starts a cooldown.
    async fn call(&mut self, to: &InstanceId, request: &UsageRequest) -> Option<UsageReply> {
        // Strings and numbers always serialise.
        let body = postcard::to_stdvec(request).ok()?;
        let call = self.endpoint.call(to, USAGE_TAG, &body);
        let mut is_busy = false;
        let answer = match time::timeout(CALL_TIMEOUT, call).await {
            Ok(Ok(answer)) => postcard::from_bytes(&answer).map_err(|error| error.to_string()),
            Ok(Err(error)) => {
                is_busy = error.is_busy();
                Err(error.to_string())
            }
            Err(_) => Err("no answer in time".to_owned()),
        };
        match answer {
            Ok(reply) => {
                self.cooldowns.remove(to);
                let UsageReply::Summary(summary) = &reply else {
                    return Some(reply);
                };
                self.server.ledger.lock().confirm(&request.rows);
                let reported = self.reported.entry(to.clone()).or_default();
                if reported.0 != summary.incarnation {
                    // A new incarnation has none of the earlier reports.
                    *reported = (summary.incarnation, UsageTotals::new());
                }
                let reported = &mut reported.1;
                for row in &request.rows {
                    reported.insert(row.customer.clone(), row.total);
                }
                Some(reply)
            }
            Err(detail) => {
                tracing::info!(instance = %to, detail, "failed to report usage to an instance");
                if !is_busy {
                    self.endpoint.forget(to);
                }
                self.reported.remove(to);
                let before = self.cooldowns.get(to).map(|cooldown| cooldown.span * 2);
                let span = before.unwrap_or(COOLDOWN).min(MAX_COOLDOWN);
                let cooldown = PeerCooldown::new(span, steady_clock::now());
                self.cooldowns.insert(to.clone(), cooldown);
                None
            }
        }
    }

    /// The customers to request usage for: those whose buckets are low and, once per
    /// [`NORMAL_PERIOD`], all.
    fn requested_customers(&mut self, now: Instant) -> Option<Vec<CustomerId>> {
        let is_due = self
            .last_full_request
            .is_none_or(|last| now >= last + NORMAL_PERIOD);
        if is_due {
            self.last_full_request = Some(now);
            return None;
        }
        Some(self.server.quotas.table.lock().scarce_customers(now))
    }

    /// Applies the usage reported by other zones to the buckets, and the estimate for zones that
    /// reported nothing.
    fn apply_zones(&self) {
        let now = steady_clock::now();
        let rows = self.server.quotas.rows().into_iter();
        let limits = rows.map(|row| (row.customer, row.limit.rate)).collect();
        let mut ledger = self.server.ledger.lock();
        ledger.assume(&limits, now);
        let others = ledger.others_of(limits.keys());
        let assumed = ledger.assumed_of(limits.keys());
        let coverage = ledger.coverage(now);
        drop(ledger);
        let mut table = self.server.quotas.table.lock();
        table.set_coverage(coverage);
        table.note_synced(now);
        table.note_others(&others, &assumed, now);
    }
}

/// Adopts the bucket balances of the instance that was called.
fn apply_balances(table: &mut QuotaTable, summary: &UsageSummary, own: &UsageTotals, now: Instant) {
    match summary.is_settled {
        true => table.follow_balances(&summary.balances, own, now),
        false => table.cap_balances(&summary.balances, now),
    }
}
