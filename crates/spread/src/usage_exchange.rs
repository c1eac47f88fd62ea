//! Tells other instances what this one's customers use, and hears what they use there.
//!
//! Answers a customer that sends through many instances at once. Each instance makes one call a second, to the first of its
//! zone that answers; the first ones call each other. While a bucket is low and in use it is told of ten times a second.

use {
    crate::{
        PeerCooldown, UsageReply, UsageRequest, UsageServer, UsageSummary,
        usage_message::FULL_REACH, usage_server::USAGE_TAG,
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

/// From one call to the next while all buckets have room.
const NORMAL_PERIOD: Duration = Duration::from_secs(1);
/// The same while one is low: what all use meanwhile is covered by what the operators allow beyond limits.
const LOW_BUCKET_PERIOD: Duration = Duration::from_millis(100);
/// How long an answer is waited for: a few ways and the work of small machines.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// How long one that gave no answer is not asked; twice as long after each further time.
const COOLDOWN: Duration = Duration::from_secs(2);
/// The same at most: one that is back is told again by then.
const MAX_COOLDOWN: Duration = Duration::from_secs(16);
/// How many are tried in one turn: the one that is usual, and the next.
const MAX_ATTEMPTS: usize = 2;

/// The exchange of one instance.
#[derive(Debug)]
pub struct UsageExchange {
    server: UsageServer,
    endpoint: PeerEndpoint,
    /// The first instances of other zones, as others of these name them.
    zone_aggregators: BTreeMap<ZoneId, InstanceId>,
    /// Those that gave no answer.
    cooldowns: BTreeMap<InstanceId, PeerCooldown>,
    /// What was told to which life of whom.
    reported: BTreeMap<InstanceId, (Incarnation, UsageTotals)>,
    /// When all customers were asked for last.
    last_full_request: Option<Instant>,
}

impl UsageExchange {
    /// An exchange that has told nothing.
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

    /// Goes on for as long as it is not dropped.
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

    /// Tells the instance that is asked, or the first ones of other zones when this one is the first of its own.
    async fn run_round(&mut self, now: Instant) {
        if self.server.members.state.borrow().members.is_empty() {
            // Nobody is known yet: there may be others.
            return;
        }
        let own = self.server.own_totals();
        if own.is_empty() {
            // No customer has a limit: there is nothing to share.
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
            let Some(first) = peers.aggregator else {
                return self.report_to_zones(peers.zones, &own, now).await;
            };
            if self.report_to_aggregator(first, &own, now).await {
                return;
            }
        }
    }

    /// Tells the instance that adds up for this one; whether it answered.
    async fn report_to_aggregator(
        &mut self,
        first: InstanceId,
        own: &UsageTotals,
        now: Instant,
    ) -> bool {
        let call = UsageRequest {
            bucket_levels: self.server.low_bucket_levels(),
            rows: self.unreported_rows(&first, Some(&first), own),
            customers: self.requested_customers(now),
            zone: None,
        };
        let Some(UsageReply::Summary(sums)) = self.call(&first, &call).await else {
            return false;
        };
        let teller = UsageReporter {
            instance: first,
            life: sums.life,
        };
        let now = steady_clock::now();
        let mut ledger = self.server.ledger.lock();
        ledger.note_remote(&teller, &sums.totals, now);
        let others = ledger.others_of(sums.totals.keys());
        drop(ledger);
        let mut table = self.server.quotas.table.lock();
        table.set_coverage(f64::from(sums.reach) / FULL_REACH);
        table.note_synced(now);
        table.note_others(&others, &sums.assumed, now);
        apply_bucket_levels(&mut table, &sums, own, now);
        true
    }

    /// Tells the first instances of all other zones what this one's has used. All go by the bucket_levels of the first zone by name that
    /// answers: one view of each bucket is better than several that differ.
    async fn report_to_zones(
        &mut self,
        zones: Vec<(ZoneId, Option<InstanceId>)>,
        own: &UsageTotals,
        now: Instant,
    ) {
        let names = zones.iter().map(|(zone, _)| zone);
        self.server.ledger.lock().expect_zones(names, now);
        let mut followed: Option<UsageSummary> = None;
        for (zone, first) in zones {
            let named = self.zone_aggregators.get(&zone).cloned();
            let named = named.filter(|named| !self.is_cooling_down(named, now));
            let Some(first) = named.or(first) else {
                self.server.ledger.lock().note_silence(&zone);
                continue;
            };
            let is_before = zone < self.server.members.own.zone;
            let sums = self.report_to_zone(zone, first, own).await;
            if followed.is_none() && is_before {
                followed = sums;
            }
        }
        self.apply_zones();
        if let Some(sums) = followed {
            let mut table = self.server.quotas.table.lock();
            apply_bucket_levels(&mut table, &sums, own, steady_clock::now());
        }
    }

    /// Tells the first instance of another zone, and whoever it names in its place.
    async fn report_to_zone(
        &mut self,
        zone: ZoneId,
        first: InstanceId,
        own: &UsageTotals,
    ) -> Option<UsageSummary> {
        let mut first = first;
        for _ in 0..MAX_ATTEMPTS {
            let call = UsageRequest {
                bucket_levels: self.server.low_bucket_levels(),
                rows: self.unreported_rows(&first, None, own),
                customers: None,
                zone: Some(self.server.members.own.zone.clone()),
            };
            match self.call(&first, &call).await {
                Some(UsageReply::Redirect(named)) => {
                    self.zone_aggregators.insert(zone.clone(), named.clone());
                    first = named;
                }
                Some(UsageReply::Summary(sums)) => {
                    let teller = UsageReporter {
                        instance: first,
                        life: sums.life,
                    };
                    let now = steady_clock::now();
                    let mut ledger = self.server.ledger.lock();
                    ledger.note_zone(&zone, &teller, &sums.totals, now);
                    drop(ledger);
                    return Some(sums);
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

    /// What `to` was not told yet, without what `of` told this instance.
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

    /// Makes one call.
    async fn call(&mut self, to: &InstanceId, call: &UsageRequest) -> Option<UsageReply> {
        // Texts and numbers always have a binary form.
        let body = postcard::to_stdvec(call).ok()?;
        let calling = self.endpoint.call(to, USAGE_TAG, &body);
        let answer = match time::timeout(CALL_TIMEOUT, calling).await {
            Ok(Ok(answer)) => postcard::from_bytes(&answer).map_err(|error| error.to_string()),
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err("no answer in time".to_owned()),
        };
        match answer {
            Ok(reply) => {
                self.cooldowns.remove(to);
                let UsageReply::Summary(sums) = &reply else {
                    return Some(reply);
                };
                self.server.ledger.lock().confirm(&call.rows);
                let reported = self.reported.entry(to.clone()).or_default();
                if reported.0 != sums.life {
                    // A new life knows nothing of what was told before.
                    *reported = (sums.life, UsageTotals::new());
                }
                let reported = &mut reported.1;
                for row in &call.rows {
                    reported.insert(row.customer.clone(), row.total);
                }
                Some(reply)
            }
            Err(detail) => {
                tracing::info!(instance = %to, detail, "an instance was not told of use");
                self.endpoint.forget(to);
                self.reported.remove(to);
                let before = self.cooldowns.get(to).map(|cooldown| cooldown.span * 2);
                let span = before.unwrap_or(COOLDOWN).min(MAX_COOLDOWN);
                let cooldown = PeerCooldown::new(span, steady_clock::now());
                self.cooldowns.insert(to.clone(), cooldown);
                None
            }
        }
    }

    /// The customers to ask for: those whose buckets are low, and from time to time all.
    fn requested_customers(&mut self, now: Instant) -> Option<Vec<CustomerId>> {
        let is_due = self
            .last_full_request
            .is_none_or(|last_full_request| now >= last_full_request + NORMAL_PERIOD);
        if is_due {
            self.last_full_request = Some(now);
            return None;
        }
        Some(self.server.quotas.table.lock().scarce_customers(now))
    }

    /// Takes what the other zones told into the buckets, and what those that told nothing may have used.
    fn apply_zones(&self) {
        let now = steady_clock::now();
        let rows = self.server.quotas.rows().into_iter();
        let limits = rows.map(|row| (row.customer, row.limit.rate)).collect();
        let mut ledger = self.server.ledger.lock();
        ledger.assume(&limits, now);
        let others = ledger.others_of(limits.keys());
        let assumed = ledger.assumed_of(limits.keys());
        let reach = ledger.coverage(now);
        drop(ledger);
        let mut table = self.server.quotas.table.lock();
        table.set_coverage(reach);
        table.note_synced(now);
        table.note_others(&others, &assumed, now);
    }
}

/// Takes over what the one asked has in its buckets.
fn apply_bucket_levels(
    table: &mut QuotaTable,
    sums: &UsageSummary,
    own: &UsageTotals,
    now: Instant,
) {
    match sums.is_settled {
        true => table.follow_balances(&sums.bucket_levels, own, now),
        false => table.cap_balances(&sums.bucket_levels, now),
    }
}
