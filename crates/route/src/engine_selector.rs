//! The choice among engines.

use crate::{
    decode_option::DecodeOption, pair_sampler::PairSampler, prefill_option::PrefillOption,
};

/// Options whose cost is within this share of the best one's count as equal.
const TIE_SHARE: f64 = 0.01;

/// Chooses engines by cost; among equal ones the better of two that the seed picks.
///
/// Prefix affinity needs no rule of its own: an engine that holds the prefix finishes earlier.
#[derive(Clone, Debug)]
pub struct EngineSelector {
    draws: PairSampler,
}

impl EngineSelector {
    /// The decode engine with the least predicted between-token time among those with a free place.
    pub fn decode<'a>(&mut self, options: &[DecodeOption<'a>]) -> Option<DecodeOption<'a>> {
        let mut costs = Vec::with_capacity(options.len());
        for option in options {
            if option.free == 0 {
                continue;
            }
            costs.push((option.step_seconds(), *option));
        }
        self.least(&costs, |option| f64::from(option.used))
    }

    /// A choice whose ties the seed settles.
    pub fn new(seed: u64) -> Self {
        Self {
            draws: PairSampler::new(seed),
        }
    }

    /// The prefill engine that would have read the prompt first.
    pub fn prefill<'a>(
        &mut self,
        prompt_tokens: f64,
        options: &[PrefillOption<'a>],
    ) -> Option<PrefillOption<'a>> {
        let mut costs = Vec::with_capacity(options.len());
        for option in options {
            costs.push((option.finish_seconds(prompt_tokens), *option));
        }
        self.least(&costs, |option| option.queue_seconds)
    }

    fn least<T: Copy>(&mut self, costs: &[(f64, T)], second: impl Fn(&T) -> f64) -> Option<T> {
        let best = costs.iter().map(|(cost, _)| *cost).reduce(f64::min)?;
        let bound = best + best.abs() * TIE_SHARE;
        let ties = costs.iter().filter(|(cost, _)| *cost <= bound);
        let ties: Vec<T> = ties.map(|(_, option)| *option).collect();
        if ties.is_empty() {
            return None;
        }
        let (left, right) = self.draws.pair(ties.len());
        let (left, right) = (ties[left], ties[right]);
        if second(&right) < second(&left) {
            return Some(right);
        }
        Some(left)
    }
}
