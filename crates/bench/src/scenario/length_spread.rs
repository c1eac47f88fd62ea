//! How long prompts and answers are.

use {
    rand_distr::{Distribution, LogNormal},
    rand_pcg::Pcg64,
    serde::{Deserialize, Serialize},
};

/// A log-normal spread of lengths in tokens, cut at both ends.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LengthSpread {
    /// The shortest length, tokens.
    pub least: u32,
    /// The median length, tokens.
    pub median: u32,
    /// The longest length, tokens.
    pub most: u32,
    /// The standard deviation of the length's natural logarithm; 0 gives the median every time.
    pub sigma: f64,
}

impl LengthSpread {
    /// Draws one length, in tokens.
    pub fn sample(&self, rng: &mut Pcg64) -> u32 {
        let centre = f64::from(self.median).ln();
        let Ok(spread) = LogNormal::new(centre, self.sigma) else {
            return self.median;
        };
        let length = spread.sample(rng).round();
        length.clamp(f64::from(self.least), f64::from(self.most)) as u32
    }

    /// Says what is wrong with the spread, if anything.
    pub(crate) fn fault(&self) -> Option<&'static str> {
        if self.least == 0 {
            return Some("`least` must be over 0");
        }
        if self.least > self.median || self.median > self.most {
            return Some("`least`, `median` and `most` must not fall");
        }
        if !self.sigma.is_finite() || self.sigma < 0.0 {
            return Some("`sigma` must be 0 or more");
        }
        None
    }
}
