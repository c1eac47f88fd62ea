//! What is believed of the output length of one request.

use admit::normal_quantile;

/// How many output lengths a belief has.
const POINTS: usize = 16;
/// An answer that exceeds all believed lengths goes on for at least this much, tokens: one event of a coarse stream.
const MIN_REST: f64 = 64.0;
/// The mean rest of an answer beyond the greatest believed length, as a share of that length.
const TAIL_SHARE: f64 = 0.1;

/// Some equally likely output lengths, tokens, ascending. Between them the probability is interpolated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LengthBelief {
    /// Maximum output, tokens.
    bound: f64,
    points: [f64; POINTS],
}

impl LengthBelief {
    /// An output of exactly the maximum, tokens.
    pub fn at_most(bound: f64) -> Self {
        Self {
            bound,
            points: [bound; POINTS],
        }
    }

    /// A lognormal length around a hint in tokens, whose logarithm has the standard deviation `spread`; at most `bound`.
    pub fn around(hint: f64, spread: f64, bound: f64) -> Self {
        let mut points = [bound; POINTS];
        for (index, point) in points.iter_mut().enumerate() {
            let deviations = normal_quantile(share(index));
            *point = (hint * (deviations * spread).exp()).min(bound);
        }
        Self { bound, points }
    }

    /// The quantiles of weighted lengths in tokens, ascending; the maximum when all weights are 0.
    pub fn of_weights(weights: &[(f64, f64)], bound: f64) -> Self {
        let total = weights.iter().map(|(_, weight)| weight).sum::<f64>();
        let mut belief = Self::at_most(bound);
        if total <= 0.0 {
            return belief;
        }
        let mut index = 0;
        let mut below = 0.0;
        let mut lower = weights[0].0;
        for (at, (length, weight)) in weights.iter().enumerate() {
            // A weight lies evenly between the middles to its neighbours.
            let next = weights.get(at + 1).map_or(*length, |(next, _)| *next);
            let upper = f64::midpoint(*length, next);
            let above = below + weight / total;
            while index < POINTS && share(index) < above {
                let part = (share(index) - below) / (above - below);
                belief.points[index] = (lower + (upper - lower) * part).min(bound);
                index += 1;
            }
            below = above;
            lower = upper;
        }
        belief
    }

    /// The probability that the output is longer than `produced + more`, given that it is longer than `produced`.
    pub fn alive(&self, produced: f64, more: f64) -> f64 {
        if more <= 0.0 {
            return 1.0;
        }
        if produced + MIN_REST >= self.bound {
            return f64::from(u8::from(more < MIN_REST));
        }
        if produced + more >= self.bound {
            return 0.0;
        }
        if produced <= 0.0 {
            return self.survival(more);
        }
        let before = self.survival(produced);
        (self.survival(produced + more) / before).min(1.0)
    }

    /// Maximum output, tokens.
    pub fn bound(&self) -> f64 {
        self.bound
    }

    /// The expected output, tokens.
    pub fn mean(&self) -> f64 {
        self.points.iter().sum::<f64>() / POINTS as f64
    }

    /// A length that nearly every answer reaches, tokens.
    pub fn shortest(&self) -> f64 {
        self.points[0]
    }

    /// The expected output, given that it is longer than `produced`, tokens.
    pub fn mean_beyond(&self, produced: f64) -> f64 {
        let first = self.points.partition_point(|point| *point <= produced);
        let later = &self.points[first..];
        if later.is_empty() {
            return produced + self.tail();
        }
        later.iter().sum::<f64>() / later.len() as f64
    }

    /// The probability that the output is longer than `tokens`; above 0.
    fn survival(&self, tokens: f64) -> f64 {
        let upper = self.points.partition_point(|point| *point <= tokens);
        if upper == POINTS {
            let beyond = tokens - self.points[POINTS - 1];
            let rest = 1.0 - share(POINTS - 1);
            return (rest * (-beyond / self.tail()).exp()).max(f64::MIN_POSITIVE);
        }
        let (lower, from) = match upper {
            0 => (0.0, 0.0),
            _ => (self.points[upper - 1], share(upper - 1)),
        };
        // An output is longer than 0; lengths far below the least believed one are as good as impossible.
        let part = (tokens - lower) / (self.points[upper] - lower);
        let part = match upper {
            0 => part.powi(4),
            _ => part,
        };
        1.0 - (from + (share(upper) - from) * part)
    }

    /// The mean rest of an output beyond all points, tokens.
    fn tail(&self) -> f64 {
        (self.points[POINTS - 1] * TAIL_SHARE).max(MIN_REST)
    }
}

/// The probability that an output is shorter than the point of this index.
fn share(index: usize) -> f64 {
    (index as f64 + 0.5) / POINTS as f64
}
