//! Platform state without I/O.

use {
    super::{
        instance_registry::InstanceRegistry,
        platform_counters::{PeakMeter, PlatformCounters},
        platform_faults::PlatformFaults,
        platform_settings::PlatformSettings,
        row_table::RowTable,
    },
    bytes::Bytes,
    plat::{InstanceRecord, StoredRow, Transaction, TransactionReply},
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Whether the reply to a write is delivered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplyDelivery {
    /// The write took effect and the connection is closed without a response.
    Lost,
    /// The reply is sent.
    Sent,
}

#[derive(Clone, Debug, Default)]
struct StoreState {
    objects: BTreeMap<Arc<str>, Bytes>,
    rows: RowTable,
}

/// Rows, objects, instance list, faults and counters of one platform.
#[derive(Clone, Debug)]
pub struct PlatformCore {
    registry: InstanceRegistry,
    counters: PlatformCounters,
    faults: PlatformFaults,
    list_lag: Duration,
    read_meter: PeakMeter,
    rng: Pcg64Mcg,
    snapshot: StoreState,
    store: StoreState,
    write_meter: PeakMeter,
}

impl PlatformCore {
    /// Commits a transaction or reports its conflict.
    pub fn commit(
        &mut self,
        now: Instant,
        transaction: &Transaction,
    ) -> (TransactionReply, ReplyDelivery) {
        let reply = self.store.rows.commit(transaction);
        match reply {
            TransactionReply::Committed => self.counters.transactions_committed += 1,
            TransactionReply::Conflict { .. } => self.counters.transaction_conflicts += 1,
        }
        (reply, self.count_write(now))
    }

    /// Counts since the stand-in started.
    pub fn counters(&self) -> &PlatformCounters {
        &self.counters
    }

    /// Active faults.
    pub fn faults(&self) -> &PlatformFaults {
        &self.faults
    }

    /// Reads one object; `None` if the key does not exist.
    pub fn get_object(&mut self, now: Instant, key: &str) -> Option<Bytes> {
        self.count_read(now);
        self.store.objects.get(key).cloned()
    }

    /// Reads one row; `None` if the key does not exist.
    pub fn get_row(&mut self, now: Instant, key: &str) -> Option<StoredRow> {
        self.count_read(now);
        self.store.rows.get(key).cloned()
    }

    /// Reads the list of instances with the lag of the faults, else of the settings.
    pub fn list_instances(&mut self, now: Instant) -> Vec<InstanceRecord> {
        self.count_read(now);
        self.counters.list_reads += 1;
        let lag = self.faults.list_lag.unwrap_or(self.list_lag);
        self.registry.list(now, lag)
    }

    /// Creates an empty platform.
    pub fn new(settings: &PlatformSettings) -> Self {
        Self {
            registry: InstanceRegistry::default(),
            counters: PlatformCounters::default(),
            faults: PlatformFaults::default(),
            list_lag: settings.list_lag,
            read_meter: PeakMeter::default(),
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            snapshot: StoreState::default(),
            store: StoreState::default(),
            write_meter: PeakMeter::default(),
        }
    }

    /// Adds an instance or replaces the one of the same name.
    pub fn put_instance(&mut self, now: Instant, record: InstanceRecord) -> ReplyDelivery {
        self.registry.put(now, record);
        self.count_write(now)
    }

    /// Writes one object, replacing any earlier content.
    pub fn put_object(&mut self, now: Instant, key: Arc<str>, content: Bytes) -> ReplyDelivery {
        self.store.objects.insert(key, content);
        self.count_write(now)
    }

    /// Removes an instance; the flag is `false` if it was not listed.
    pub fn remove_instance(&mut self, now: Instant, name: &str) -> (bool, ReplyDelivery) {
        let found = self.registry.remove(now, name);
        (found, self.count_write(now))
    }

    /// Restores the rows and objects of the last snapshot; empty if there is none.
    pub fn restore(&mut self) {
        self.store = self.snapshot.clone();
    }

    /// Reads the rows whose key starts with `prefix`.
    pub fn scan_rows(&mut self, now: Instant, prefix: &str) -> Vec<StoredRow> {
        self.count_read(now);
        self.store.rows.scan(prefix)
    }

    /// Replaces all faults.
    pub fn set_faults(&mut self, faults: PlatformFaults) {
        self.faults = faults;
    }

    /// Saves the rows and objects for [`Self::restore`].
    pub fn take_snapshot(&mut self) {
        self.snapshot = self.store.clone();
    }

    fn count_read(&mut self, now: Instant) {
        self.counters.reads += 1;
        self.counters.peak_reads = self.read_meter.count(now);
    }

    fn count_write(&mut self, now: Instant) -> ReplyDelivery {
        self.counters.writes += 1;
        self.counters.peak_writes = self.write_meter.count(now);
        if !self.should_lose_reply() {
            return ReplyDelivery::Sent;
        }
        self.counters.lost_replies += 1;
        ReplyDelivery::Lost
    }

    fn should_lose_reply(&mut self) -> bool {
        if self.faults.lose_next_replies > 0 {
            self.faults.lose_next_replies -= 1;
            return true;
        }
        let probability = self.faults.lose_reply_probability.clamp(0.0, 1.0);
        self.rng.random_bool(probability)
    }
}
