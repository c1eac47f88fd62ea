//! Writes notes of streams to the store and reads them, for callers who come back after all instances are gone.

use {
    crate::{
        log_rows::{decode_notes, encode_notes, row_key, shard_prefix},
        version_reader::{VersionQuestion, VersionReader},
    },
    kernel::{ServiceId, SoftwareVersion, WorkerPool, ZoneId, steady_clock},
    plat::{PlatError, RowStore, StoredRow, Transaction, TransactionReply},
    policy::{LogRow, LoggedNote, NoteIndex, NoteLog, SoftwareNote, StreamKey, log_shard},
    relay::RelayCounts,
    std::{
        collections::{BTreeMap, BTreeSet},
        future::Future,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{mpsc, oneshot},
        task::JoinSet,
        time,
    },
};

/// Time from one write to the next.
const WRITE_PERIOD: Duration = Duration::from_millis(150);
/// How long questions are collected, so that one read answers all of them.
const COLLECT_TIME: Duration = Duration::from_millis(30);
/// Time from the end of one read to the next.
const READ_PAUSE: Duration = Duration::from_millis(70);
/// How often a write is tried that others were ahead of, before it waits for the next one.
const MAX_COMMITS: usize = 2;
/// How long a call to the store may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Notes that wait for the clock of the store; further ones are dropped.
const MAX_UNDATED: usize = 8_192;
/// Batches and questions that may wait; further ones are refused.
const MAX_WAITING: usize = 1_024;

/// A question for the version at which a stream began.
#[derive(Debug)]
struct Question {
    reply: oneshot::Sender<Option<SoftwareVersion>>,
    stream: StreamKey,
}

/// The log of one instance. Clones share it.
#[derive(Clone, Debug)]
pub struct NoteStore {
    questions: mpsc::Sender<Question>,
    versions: mpsc::Sender<VersionQuestion>,
    writes: mpsc::Sender<Vec<SoftwareNote>>,
}

#[derive(Debug)]
struct LogWriter<S> {
    counts: RelayCounts,
    log: NoteLog,
    store: Arc<S>,
    /// Notes that came before the first answer of the store, each with the time at which it came.
    undated: Vec<(Instant, SoftwareNote)>,
    zone: ZoneId,
}

#[derive(Debug)]
struct LogReader<S> {
    index: NoteIndex,
    store: Arc<S>,
}

impl NoteStore {
    /// Opens the log of an availability zone. It makes no call until there are notes or questions.
    pub fn open<S: RowStore + 'static>(
        store: Arc<S>,
        zone: ZoneId,
        counts: RelayCounts,
        pool: &WorkerPool,
    ) -> Self {
        let (writes, batches) = mpsc::channel(MAX_WAITING);
        let (questions, asked) = mpsc::channel(MAX_WAITING);
        let writer = LogWriter {
            counts,
            log: NoteLog::new(),
            store: store.clone(),
            undated: Vec::new(),
            zone,
        };
        pool.spawn(writer.run(batches));
        let reader = LogReader {
            index: NoteIndex::default(),
            store,
        };
        let versions = VersionReader::new(reader.store.clone());
        pool.spawn(reader.run(asked));
        let (version_questions, asked) = mpsc::channel(MAX_WAITING);
        pool.spawn(versions.run(asked));
        Self {
            questions,
            versions: version_questions,
            writes,
        }
    }

    /// Has notes written; whether that is possible.
    pub fn write(&self, notes: Vec<SoftwareNote>) -> bool {
        self.writes.try_send(notes).is_ok()
    }

    /// The versions of a service by the store, by a read that begins after the call; `None` if the store does not tell them.
    pub async fn versions(&self, service: ServiceId) -> Option<Vec<SoftwareVersion>> {
        let (reply, answer) = oneshot::channel();
        let question = VersionQuestion { reply, service };
        self.versions.try_send(question).ok()?;
        answer.await.ok().flatten()
    }

    /// The version at which a stream began, by a read that begins after the call; `None` if it is not found, or the store
    /// does not answer.
    pub async fn find(&self, stream: StreamKey) -> Option<SoftwareVersion> {
        let (reply, answer) = oneshot::channel();
        self.questions.try_send(Question { reply, stream }).ok()?;
        answer.await.ok().flatten()
    }
}

impl<S: RowStore> LogWriter<S> {
    async fn run(mut self, batches: mpsc::Receiver<Vec<SoftwareNote>>) {
        let mut batches = batches;
        loop {
            if !self.log.is_pending() && self.undated.is_empty() {
                let Some(notes) = batches.recv().await else {
                    return;
                };
                self.add(notes);
            }
            let write_at = time::Instant::now() + WRITE_PERIOD;
            loop {
                match time::timeout_at(write_at, batches.recv()).await {
                    Ok(Some(notes)) => self.add(notes),
                    Ok(None) => return,
                    Err(_) => break,
                }
            }
            if let Err(error) = self.write().await {
                tracing::debug!(%error, "failed to write notes of streams");
            }
            self.counts.note_stored("dropped", self.log.take_dropped());
        }
    }

    fn add(&mut self, notes: Vec<SoftwareNote>) {
        let now = steady_clock::now();
        let room = MAX_UNDATED.saturating_sub(self.undated.len());
        self.counts
            .note_stored("dropped", notes.len().saturating_sub(room) as u64);
        let notes = notes.into_iter().take(room);
        self.undated.extend(notes.map(|note| (now, note)));
        self.date(now);
    }

    /// Passes the notes that wait for the clock of the store to the log, once it is known.
    fn date(&mut self, now: Instant) {
        let Some(clock) = self.store.clock(now) else {
            return;
        };
        for (came_at, note) in self.undated.drain(..) {
            let waited = now.saturating_duration_since(came_at);
            let life = note.life.saturating_sub(waited);
            self.log.add(SoftwareNote { life, ..note }, clock);
        }
    }

    /// Writes the notes that wait. Each row is written on condition that its stored version is known: another writer's notes
    /// are merged, and an earlier write that takes effect late changes nothing.
    async fn write(&mut self) -> Result<(), PlatError> {
        let now = steady_clock::now();
        self.date(now);
        let Some(clock) = self.store.clock(now) else {
            return Ok(());
        };
        for _ in 0..MAX_COMMITS {
            let rows = self.log.rows(clock);
            if rows.is_empty() {
                return Ok(());
            }
            match limited(self.store.commit(&self.changes(&rows))).await? {
                TransactionReply::Committed => {
                    self.counts.note_stored("writes", 1);
                    self.log.note_written(&rows);
                    return Ok(());
                }
                TransactionReply::Conflict { rows: stored } => self.merge(&rows, &stored, clock),
            }
        }
        tracing::debug!("others write notes of streams of this zone as well");
        Ok(())
    }

    /// Merges the stored rows that a write was refused for.
    fn merge(&mut self, rows: &[LogRow], stored: &[StoredRow], clock: Duration) {
        for row in rows {
            let key = row_key(&self.zone, row);
            let Some(found) = stored.iter().find(|stored| stored.key == key) else {
                self.log.merge(row.shard, 0, Vec::new(), clock);
                continue;
            };
            let notes = decode_notes(&found.value);
            if notes.is_none() {
                tracing::warn!(%key, "failed to decode notes of streams");
            }
            let notes = notes.unwrap_or_default();
            self.log.merge(row.shard, found.version, notes, clock);
        }
    }

    fn changes(&self, rows: &[LogRow]) -> Transaction {
        let mut changes = Transaction::default();
        for row in rows {
            let key = row_key(&self.zone, row);
            changes.write(key, row.version, encode_notes(&row.notes));
        }
        changes
    }
}

impl<S: RowStore + 'static> LogReader<S> {
    async fn run(mut self, questions: mpsc::Receiver<Question>) {
        let mut questions = questions;
        while let Some(question) = questions.recv().await {
            let mut waiting = self.answered_now(question);
            let read_at = time::Instant::now() + COLLECT_TIME;
            while let Ok(Some(question)) = time::timeout_at(read_at, questions.recv()).await {
                waiting.extend(self.answered_now(question));
            }
            if waiting.is_empty() {
                continue;
            }
            self.read(&waiting).await;
            for question in waiting {
                let software = self.index.software(question.stream).cloned();
                // Fails only when the caller has left.
                let _ = question.reply.send(software);
            }
            time::sleep(READ_PAUSE).await;
        }
    }

    /// Answers a question at once if the stream is known. Returns it otherwise.
    fn answered_now(&self, question: Question) -> Vec<Question> {
        match self.index.software(question.stream) {
            Some(software) => {
                let _ = question.reply.send(Some(software.clone()));
                Vec::new()
            }
            None => vec![question],
        }
    }

    async fn read(&mut self, waiting: &[Question]) {
        let shards: BTreeSet<u64> = waiting
            .iter()
            .map(|question| log_shard(question.stream))
            .collect();
        let mut reading = JoinSet::new();
        for shard in shards {
            let store = self.store.clone();
            reading.spawn(async move { (shard, read_shard(&*store, shard).await) });
        }
        while let Some(read) = reading.join_next().await {
            match read {
                Ok((shard, Ok(notes))) => {
                    let clock = self.store.clock(steady_clock::now());
                    self.index.replace(shard, notes, clock);
                }
                Ok((shard, Err(error))) => {
                    tracing::info!(shard, %error, "failed to read notes of streams")
                }
                Err(_) => {}
            }
        }
    }
}

async fn read_shard<S: RowStore>(store: &S, shard: u64) -> Result<Vec<LoggedNote>, PlatError> {
    let rows = limited(store.scan(&shard_prefix(shard))).await?;
    let mut streams = BTreeMap::new();
    for row in &rows {
        match decode_notes(&row.value) {
            Some(notes) => streams.extend(notes.into_iter().map(|note| (note.stream, note))),
            None => tracing::warn!(key = %row.key, "failed to decode notes of streams"),
        }
    }
    Ok(streams.into_values().collect())
}

/// Limits a call to the store to [`CALL_TIMEOUT`].
async fn limited<T>(call: impl Future<Output = Result<T, PlatError>>) -> Result<T, PlatError> {
    match time::timeout(CALL_TIMEOUT, call).await {
        Ok(outcome) => outcome,
        Err(_) => Err(PlatError::Unreachable {
            detail: "no answer in time".to_owned(),
        }),
    }
}
