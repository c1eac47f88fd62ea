//! Selects engines by predicted cost.

use crate::{
    decode_option::DecodeOption, pair_sampler::PairSampler, prefill_option::PrefillOption,
};

/// Options whose cost exceeds the lowest by at most this fraction are tied.
const TIE_SHARE: f64 = 0.01;

/// Selects the engine with the lowest predicted cost; among ties the less loaded of two sampled at random.
///
/// Prefix affinity needs no separate rule: an engine that has the prefix cached finishes earlier.
#[derive(Clone, Debug)]
pub struct EngineSelector {
    sampler: PairSampler,
}

impl EngineSelector {
    /// The decode engine with the lowest predicted time between tokens among those with a free slot.
    pub fn decode<'a>(&mut self, options: &[DecodeOption<'a>]) -> Option<DecodeOption<'a>> {
        let mut costs = Vec::with_capacity(options.len());
        for option in options {
            if option.free == 0 {
                continue;
            }
            costs.push((option.step_seconds(), *option));
        }
        self.lowest(&costs, |option| f64::from(option.used))
    }

    /// Creates a selector; the seed determines how ties are broken.
    pub fn new(seed: u64) -> Self {
        Self {
            sampler: PairSampler::new(seed),
        }
    }

    /// The prefill engine predicted to finish the prompt first.
    pub fn prefill<'a>(
        &mut self,
        prompt_tokens: f64,
        options: &[PrefillOption<'a>],
    ) -> Option<PrefillOption<'a>> {
        let mut costs = Vec::with_capacity(options.len());
        for option in options {
            costs.push((option.finish_seconds(prompt_tokens), *option));
        }
        self.lowest(&costs, |option| option.queue_seconds)
    }

    fn lowest<T: Copy>(&mut self, costs: &[(f64, T)], load: impl Fn(&T) -> f64) -> Option<T> {
        let best = costs.iter().map(|(cost, _)| *cost).reduce(f64::min)?;
        let bound = best + best.abs() * TIE_SHARE;
        let ties = costs.iter().filter(|(cost, _)| *cost <= bound);
        let ties: Vec<T> = ties.map(|(_, option)| *option).collect();
        if ties.is_empty() {
            return None;
        }
        let (left, right) = self.sampler.pair(ties.len());
        let (left, right) = (ties[left], ties[right]);
        if load(&right) < load(&left) {
            return Some(right);
        }
        Some(left)
    }
}
