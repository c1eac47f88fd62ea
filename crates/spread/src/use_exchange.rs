//! Tells other instances what this one's customers use, and hears what they use there.
//!
//! Answers a customer that sends through many instances at once. Each instance makes one call a second, to the first of its
//! zone that answers; the first ones call each other. While a bucket is low and in use it is told of ten times a second.

use {
    crate::{
        ReaderRest, UseBoard, UseCall, UseReply, UseSums, use_message::FULL_REACH,
        use_server::USE_TAG,
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
const CALM_PERIOD: Duration = Duration::from_secs(1);
/// The same while one is low: what all use meanwhile is covered by what the operators allow beyond limits.
const PRESSED_PERIOD: Duration = Duration::from_millis(100);
/// How long an answer is waited for: a few ways and the work of small machines.
const CALL_LIMIT: Duration = Duration::from_millis(300);
/// How long one that gave no answer is not asked; twice as long after each further time.
const REST: Duration = Duration::from_secs(2);
/// The same at most: one that is back is told again by then.
const LONGEST_REST: Duration = Duration::from_secs(16);
/// How many are tried in one turn: the one that is usual, and the next.
const TRIES: usize = 2;

/// The exchange of one instance.
#[derive(Debug)]
pub struct UseExchange {
    board: UseBoard,
    endpoint: PeerEndpoint,
    /// The first instances of other zones, as others of these name them.
    firsts: BTreeMap<ZoneId, InstanceId>,
    /// Those that gave no answer.
    rests: BTreeMap<InstanceId, ReaderRest>,
    /// What was told to which life of whom.
    told: BTreeMap<InstanceId, (Incarnation, UsageTotals)>,
    /// When all customers were asked for last.
    whole: Option<Instant>,
}

impl UseExchange {
    /// An exchange that has told nothing.
    pub fn new(board: UseBoard, endpoint: PeerEndpoint) -> Self {
        Self {
            board,
            endpoint,
            firsts: BTreeMap::new(),
            rests: BTreeMap::new(),
            told: BTreeMap::new(),
            whole: None,
        }
    }

    /// Goes on for as long as it is not dropped.
    pub async fn run(mut self) {
        let mut last = steady_clock::now();
        loop {
            let quotas = self.board.quotas.clone();
            tokio::select! {
                () = time::sleep(CALM_PERIOD) => {}
                () = quotas.low_bucket.notified() => {
                    let rest = PRESSED_PERIOD.saturating_sub(steady_clock::elapsed(last));
                    time::sleep(rest).await;
                }
            }
            last = steady_clock::now();
            self.round(last).await;
        }
    }

    /// Tells the instance that is asked, or the first ones of other zones when this one is the first of its own.
    async fn round(&mut self, now: Instant) {
        if self.board.members.state.borrow().members.is_empty() {
            // Nobody is known yet: there may be others.
            return;
        }
        let own = self.board.own();
        if own.is_empty() {
            // No customer has a limit: there is nothing to share.
            return;
        }
        self.board.ledger.lock().note_own(&own, now);
        for _ in 0..TRIES {
            let partners = {
                let plan = self.board.members.plan.lock();
                plan.use_partners(now, |instance| self.is_resting(instance, now))
            };
            let before = std::mem::replace(&mut *self.board.first.lock(), partners.first.clone());
            if before.is_some() && partners.first.is_none() {
                self.board.quotas.table.lock().start_aggregating(now);
            }
            let Some(first) = partners.first else {
                return self.tell_zones(partners.zones, &own, now).await;
            };
            if self.tell_first(first, &own, now).await {
                return;
            }
        }
    }

    /// Tells the instance that adds up for this one; whether it answered.
    async fn tell_first(&mut self, first: InstanceId, own: &UsageTotals, now: Instant) -> bool {
        let call = UseCall {
            rooms: self.board.rooms(),
            rows: self.news(&first, Some(&first), own),
            wanted: self.wanted(now),
            zone: None,
        };
        let Some(UseReply::Sums(sums)) = self.tell(&first, &call).await else {
            return false;
        };
        let teller = UsageReporter {
            instance: first,
            life: sums.life,
        };
        let now = steady_clock::now();
        let mut ledger = self.board.ledger.lock();
        ledger.note_remote(&teller, &sums.totals, now);
        let others = ledger.others_of(sums.totals.keys());
        drop(ledger);
        let mut table = self.board.quotas.table.lock();
        table.set_coverage(f64::from(sums.reach) / FULL_REACH);
        table.note_synced(now);
        table.note_others(&others, &sums.assumed, now);
        take_rooms(&mut table, &sums, own, now);
        true
    }

    /// Tells the first instances of all other zones what this one's has used. All go by the rooms of the first zone by name that
    /// answers: one view of each bucket is better than several that differ.
    async fn tell_zones(
        &mut self,
        zones: Vec<(ZoneId, Option<InstanceId>)>,
        own: &UsageTotals,
        now: Instant,
    ) {
        let names = zones.iter().map(|(zone, _)| zone);
        self.board.ledger.lock().expect_zones(names, now);
        let mut followed: Option<UseSums> = None;
        for (zone, first) in zones {
            let named = self.firsts.get(&zone).cloned();
            let named = named.filter(|named| !self.is_resting(named, now));
            let Some(first) = named.or(first) else {
                self.board.ledger.lock().note_silence(&zone);
                continue;
            };
            let is_before = zone < self.board.members.own.zone;
            let sums = self.tell_zone(zone, first, own).await;
            if followed.is_none() && is_before {
                followed = sums;
            }
        }
        self.take_zones();
        if let Some(sums) = followed {
            let mut table = self.board.quotas.table.lock();
            take_rooms(&mut table, &sums, own, steady_clock::now());
        }
    }

    /// Tells the first instance of another zone, and whoever it names in its place.
    async fn tell_zone(
        &mut self,
        zone: ZoneId,
        first: InstanceId,
        own: &UsageTotals,
    ) -> Option<UseSums> {
        let mut first = first;
        for _ in 0..TRIES {
            let call = UseCall {
                rooms: self.board.rooms(),
                rows: self.news(&first, None, own),
                wanted: None,
                zone: Some(self.board.members.own.zone.clone()),
            };
            match self.tell(&first, &call).await {
                Some(UseReply::Ask(named)) => {
                    self.firsts.insert(zone.clone(), named.clone());
                    first = named;
                }
                Some(UseReply::Sums(sums)) => {
                    let teller = UsageReporter {
                        instance: first,
                        life: sums.life,
                    };
                    let now = steady_clock::now();
                    let mut ledger = self.board.ledger.lock();
                    ledger.note_zone(&zone, &teller, &sums.totals, now);
                    drop(ledger);
                    return Some(sums);
                }
                None => break,
            }
        }
        self.firsts.remove(&zone);
        self.board.ledger.lock().note_silence(&zone);
        None
    }

    fn is_resting(&self, instance: &InstanceId, now: Instant) -> bool {
        self.rests
            .get(instance)
            .is_some_and(|rest| !rest.is_over(now))
    }

    /// What `to` was not told yet, without what `of` told this instance.
    fn news(&self, to: &InstanceId, of: Option<&InstanceId>, own: &UsageTotals) -> Vec<UsageRow> {
        let mut rows = self.board.ledger.lock().report(of, own);
        let told = self.told.get(to);
        rows.retain(|row| told.and_then(|(_, told)| told.get(&row.customer)) != Some(&row.total));
        rows
    }

    /// Makes one call.
    async fn tell(&mut self, to: &InstanceId, call: &UseCall) -> Option<UseReply> {
        // Texts and numbers always have a binary form.
        let body = postcard::to_stdvec(call).ok()?;
        let calling = self.endpoint.call(to, USE_TAG, &body);
        let answer = match time::timeout(CALL_LIMIT, calling).await {
            Ok(Ok(answer)) => postcard::from_bytes(&answer).map_err(|error| error.to_string()),
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err("no answer in time".to_owned()),
        };
        match answer {
            Ok(reply) => {
                self.rests.remove(to);
                let UseReply::Sums(sums) = &reply else {
                    return Some(reply);
                };
                self.board.ledger.lock().confirm(&call.rows);
                let told = self.told.entry(to.clone()).or_default();
                if told.0 != sums.life {
                    // A new life knows nothing of what was told before.
                    *told = (sums.life, UsageTotals::new());
                }
                let told = &mut told.1;
                for row in &call.rows {
                    told.insert(row.customer.clone(), row.total);
                }
                Some(reply)
            }
            Err(detail) => {
                tracing::info!(instance = %to, detail, "an instance was not told of use");
                self.endpoint.forget(to);
                self.told.remove(to);
                let before = self.rests.get(to).map(|rest| rest.span * 2);
                let span = before.unwrap_or(REST).min(LONGEST_REST);
                let rest = ReaderRest::new(span, steady_clock::now());
                self.rests.insert(to.clone(), rest);
                None
            }
        }
    }

    /// The customers to ask for: those whose buckets are low, and from time to time all.
    fn wanted(&mut self, now: Instant) -> Option<Vec<CustomerId>> {
        let is_due = self.whole.is_none_or(|whole| now >= whole + CALM_PERIOD);
        if is_due {
            self.whole = Some(now);
            return None;
        }
        Some(self.board.quotas.table.lock().scarce_customers(now))
    }

    /// Takes what the other zones told into the buckets, and what those that told nothing may have used.
    fn take_zones(&self) {
        let now = steady_clock::now();
        let rows = self.board.quotas.rows().into_iter();
        let limits = rows.map(|row| (row.customer, row.limit.rate)).collect();
        let mut ledger = self.board.ledger.lock();
        ledger.assume(&limits, now);
        let others = ledger.others_of(limits.keys());
        let assumed = ledger.assumed_of(limits.keys());
        let reach = ledger.coverage(now);
        drop(ledger);
        let mut table = self.board.quotas.table.lock();
        table.set_coverage(reach);
        table.note_synced(now);
        table.note_others(&others, &assumed, now);
    }
}

/// Takes over what the one asked has in its buckets.
fn take_rooms(table: &mut QuotaTable, sums: &UseSums, own: &UsageTotals, now: Instant) {
    match sums.is_settled {
        true => table.follow_balances(&sums.rooms, own, now),
        false => table.cap_balances(&sums.rooms, now),
    }
}
