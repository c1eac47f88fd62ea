//! The platform without its sockets.

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

/// Whether the caller hears of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplyDelivery {
    /// The write took effect, and the connection is closed without an answer.
    Lost,
    /// The answer is sent.
    Sent,
}

#[derive(Clone, Debug, Default)]
struct StoreState {
    objects: BTreeMap<Arc<str>, Bytes>,
    rows: RowTable,
}

/// Rows, objects, list, faults and counters of one platform.
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
    /// Commits a transaction.
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

    /// The counters.
    pub fn counters(&self) -> &PlatformCounters {
        &self.counters
    }

    /// The faults in force.
    pub fn faults(&self) -> &PlatformFaults {
        &self.faults
    }

    /// Reads one object.
    pub fn get_object(&mut self, now: Instant, key: &str) -> Option<Bytes> {
        self.count_read(now);
        self.store.objects.get(key).cloned()
    }

    /// Reads one row.
    pub fn get_row(&mut self, now: Instant, key: &str) -> Option<StoredRow> {
        self.count_read(now);
        self.store.rows.get(key).cloned()
    }

    /// Reads the list of instances, as it was a while ago.
    pub fn list_instances(&mut self, now: Instant) -> Vec<InstanceRecord> {
        self.count_read(now);
        self.counters.list_reads += 1;
        let lag = self.faults.list_lag.unwrap_or(self.list_lag);
        self.registry.list(now, lag)
    }

    /// A platform with nothing in it.
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

    /// Puts an instance in the list.
    pub fn put_instance(&mut self, now: Instant, record: InstanceRecord) -> ReplyDelivery {
        self.registry.put(now, record);
        self.count_write(now)
    }

    /// Writes one object.
    pub fn put_object(&mut self, now: Instant, key: Arc<str>, content: Bytes) -> ReplyDelivery {
        self.store.objects.insert(key, content);
        self.count_write(now)
    }

    /// Takes an instance off the list; `false` if it was not there.
    pub fn remove_instance(&mut self, now: Instant, name: &str) -> (bool, ReplyDelivery) {
        let found = self.registry.remove(now, name);
        (found, self.count_write(now))
    }

    /// Goes back to the rows and objects of the last snapshot; to nothing if there was none.
    pub fn restore(&mut self) {
        self.store = self.snapshot.clone();
    }

    /// Reads the rows of a prefix.
    pub fn scan_rows(&mut self, now: Instant, prefix: &str) -> Vec<StoredRow> {
        self.count_read(now);
        self.store.rows.scan(prefix)
    }

    /// Puts faults in place of the old ones.
    pub fn set_faults(&mut self, faults: PlatformFaults) {
        self.faults = faults;
    }

    /// Keeps a copy of the rows and objects for [`Self::restore`].
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
