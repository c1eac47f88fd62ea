//! A decode engine as it truly is.

use {
    crate::{
        scenario::engine_sizes::EngineSizes,
        world::{
            progress_queue::{JobId, ProgressMark, ProgressQueue},
            reading_state::ReadingIndex,
        },
    },
    std::{collections::BTreeMap, time::Instant},
};

/// What a stream has come to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StreamStep {
    /// Its first token is there.
    First(ReadingIndex),
    /// Its last token is there.
    Last(ReadingIndex),
}

/// The marks of one stream.
#[derive(Clone, Copy, Debug)]
struct StreamMarks {
    first: ProgressMark,
    last: ProgressMark,
}

/// Places, and the streams of the batch. One unit of progress is one token of each stream.
#[derive(Debug)]
pub(crate) struct DecodeEngine {
    pub(crate) alive: bool,
    base: f64,
    /// Places in use: transfers under way and streams.
    pub(crate) held: u32,
    pub(crate) leaving: bool,
    /// Counts the engine's deaths.
    pub(crate) life: u64,
    pub(crate) places: u32,
    progress: ProgressQueue,
    slope: f64,
    streams: BTreeMap<ReadingIndex, StreamMarks>,
    /// Tells an outdated timer from the one that counts.
    pub(crate) version: u64,
}

impl DecodeEngine {
    pub(crate) fn new(sizes: &EngineSizes, now: Instant) -> Self {
        Self {
            alive: true,
            base: sizes.decode_base.as_secs_f64(),
            held: 0,
            leaving: false,
            life: 0,
            places: sizes.decode_places,
            progress: ProgressQueue::new(now),
            slope: sizes.decode_slope.as_secs_f64(),
            streams: BTreeMap::new(),
            version: 0,
        }
    }

    /// Whether a place is free.
    pub(crate) fn has_place(&self) -> bool {
        self.held < self.places
    }

    /// Streams that generate tokens.
    pub(crate) fn running(&self) -> usize {
        self.streams.len()
    }

    /// The time from one token to the next, seconds, with `running` streams.
    pub(crate) fn step_seconds(&self, running: usize) -> f64 {
        self.base + self.slope * (running.max(1) - 1) as f64
    }

    /// Tokens that each stream has left.
    pub(crate) fn tokens_left(&self) -> impl Iterator<Item = f64> {
        let streams = self.streams.values();
        streams.map(|marks| self.progress.left(marks.last))
    }

    /// When the streams' progress was brought up to date.
    pub(crate) fn updated(&self) -> Instant {
        self.progress.updated()
    }

    pub(crate) fn advance(&mut self, now: Instant) {
        self.progress.advance(now);
    }

    /// A transfer ended: the stream joins the batch.
    pub(crate) fn join(&mut self, now: Instant, reading: ReadingIndex, tokens: u32) {
        self.progress.advance(now);
        let first = self.progress.insert(first_job(reading), 1.0);
        let last = self
            .progress
            .insert(last_job(reading), f64::from(tokens.max(1)));
        self.streams.insert(reading, StreamMarks { first, last });
        self.changed();
    }

    /// A stream ends or is cancelled; its place is free.
    pub(crate) fn leave(&mut self, now: Instant, reading: ReadingIndex) {
        self.progress.advance(now);
        let Some(marks) = self.streams.remove(&reading) else {
            return;
        };
        self.progress.remove(first_job(reading), marks.first);
        self.progress.remove(last_job(reading), marks.last);
        self.held -= 1;
        self.changed();
    }

    pub(crate) fn next_due(&self) -> Option<Instant> {
        self.progress.next_due()
    }

    pub(crate) fn pop_due(&mut self) -> Option<StreamStep> {
        let job = self.progress.pop_due()?;
        let reading = (job / 2) as ReadingIndex;
        if job % 2 == 0 {
            return Some(StreamStep::First(reading));
        }
        Some(StreamStep::Last(reading))
    }

    fn changed(&mut self) {
        let step = self.step_seconds(self.streams.len());
        self.progress.set_rate(1.0 / step);
        self.version += 1;
    }
}

fn first_job(reading: ReadingIndex) -> JobId {
    reading as JobId * 2
}

fn last_job(reading: ReadingIndex) -> JobId {
    reading as JobId * 2 + 1
}
