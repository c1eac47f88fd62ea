//! The distribution of output lengths of one row.

/// Buckets per doubling of the length.
const BUCKETS_PER_DOUBLING: f64 = 8.0;
/// The buckets cover up to 2^17 tokens.
const BUCKET_COUNT: usize = 17 * 8 + 1;
/// At this total, the weight of all recorded lengths is halved.
const DECAY_AT: f64 = 1024.0;
/// The number of assumed answers of maximum length. They dominate the estimates while few lengths are recorded.
const PRIOR_COUNT: f64 = 4.0;

/// A histogram with geometric buckets. It is small and deterministic, and its decay lets it follow drift.
#[derive(Clone, Debug)]
pub struct LengthSketch {
    counts: Vec<f64>,
    /// The weight of the lengths above the lower edge of each bucket.
    tails: Vec<f64>,
    total: f64,
}

impl Default for LengthSketch {
    fn default() -> Self {
        Self {
            counts: vec![0.0; BUCKET_COUNT],
            tails: vec![0.0; BUCKET_COUNT + 1],
            total: 0.0,
        }
    }
}

impl LengthSketch {
    /// The recorded lengths: the middle of each bucket and its weight, ascending. Assumed answers are left out.
    pub fn buckets(&self) -> impl Iterator<Item = (f64, f64)> {
        let counts = self.counts.iter().enumerate();
        counts.map(|(bucket, count)| (length_at(bucket as f64 + 0.5), *count))
    }

    /// The expected length of an answer of at most `bound` tokens.
    pub fn mean(&self, bound: f64) -> f64 {
        let mut sum = PRIOR_COUNT * bound;
        for (bucket, count) in self.counts.iter().enumerate() {
            sum += count * length_at(bucket as f64 + 0.5).min(bound);
        }
        sum / (PRIOR_COUNT + self.total)
    }

    /// The mean of the recorded lengths; 0 if there are none.
    pub fn mean_seen(&self) -> f64 {
        let mut sum = 0.0;
        for (bucket, count) in self.counts.iter().enumerate() {
            sum += count * length_at(bucket as f64 + 0.5);
        }
        sum / self.total.max(1.0)
    }

    /// Records the length of an answer.
    pub fn record(&mut self, tokens: u32) {
        if self.total >= DECAY_AT {
            self.decay();
        }
        let bucket = position(f64::from(tokens)) as usize;
        self.counts[bucket.min(BUCKET_COUNT - 1)] += 1.0;
        self.total += 1.0;
        for tail in &mut self.tails[..=bucket.min(BUCKET_COUNT - 1)] {
            *tail += 1.0;
        }
    }

    /// The distribution of the remaining length of an answer that has `tokens` tokens and may have `bound`.
    pub fn remaining(&self, tokens: f64, bound: f64) -> RemainingLength<'_> {
        RemainingLength {
            bound,
            sketch: self,
            survivors: self.survivors(tokens),
            tokens,
        }
    }

    /// The weight of all recorded lengths; it fades as more are recorded.
    pub fn total(&self) -> f64 {
        self.total
    }

    /// The length not exceeded by a share of the answers of at most `bound` tokens.
    pub fn quantile(&self, share: f64, bound: f64) -> f64 {
        let above = (1.0 - share) * (PRIOR_COUNT + self.total);
        for bucket in 0..BUCKET_COUNT {
            if PRIOR_COUNT + self.tails[bucket + 1] <= above {
                return length_at(bucket as f64 + 1.0).min(bound);
            }
        }
        bound
    }

    fn decay(&mut self) {
        for count in self.counts.iter_mut().chain(&mut self.tails) {
            *count /= 2.0;
        }
        self.total /= 2.0;
    }

    /// The weight of the recorded and assumed lengths above `tokens`.
    fn survivors(&self, tokens: f64) -> f64 {
        let position = position(tokens).min(BUCKET_COUNT as f64 - 1.0);
        let bucket = position as usize;
        let part = position - bucket as f64;
        let (upper, lower) = (self.tails[bucket], self.tails[bucket + 1]);
        PRIOR_COUNT + upper + (lower - upper) * part
    }
}

/// The distribution of the remaining length of an answer.
#[derive(Clone, Copy, Debug)]
pub struct RemainingLength<'a> {
    bound: f64,
    sketch: &'a LengthSketch,
    survivors: f64,
    tokens: f64,
}

impl RemainingLength<'_> {
    /// The probability that the answer ends within `more` tokens.
    pub fn end_probability(&self, more: f64) -> f64 {
        if self.tokens + more >= self.bound {
            return 1.0;
        }
        1.0 - self.sketch.survivors(self.tokens + more) / self.survivors
    }
}

/// The length at a position on the bucket scale.
fn length_at(position: f64) -> f64 {
    (position / BUCKETS_PER_DOUBLING).exp2() - 1.0
}

/// The position of a length on the bucket scale.
fn position(tokens: f64) -> f64 {
    (tokens.max(0.0) + 1.0).log2() * BUCKETS_PER_DOUBLING
}
