//! Sizes of requests that found no place during one tick.

use crate::{LengthBelief, PlaceRequest};

/// The smallest sizes that fit at no engine. In one tick memory is taken and none falls free, so larger ones don't fit either.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnfitSizes {
    /// Prompt and expected output, tokens; none is the larger of two in both.
    sizes: Vec<(u64, f64)>,
}

impl UnfitSizes {
    /// Records a request that found no place. One that may not go to all engines tells nothing of others.
    pub(crate) fn add(&mut self, request: &PlaceRequest, belief: &LengthBelief) {
        let is_bound = !request.avoid.is_empty() || request.software.is_some();
        if is_bound || !request.holders.is_empty() || self.covers(request, belief) {
            return;
        }
        let prompt = request.need.prompt;
        let output = belief.mean();
        let is_smaller = |size: &(u64, f64)| size.0 < prompt || size.1 < output;
        self.sizes.retain(is_smaller);
        self.sizes.push((prompt, output));
    }

    /// Whether the request is as large as one that found no place. Where an engine holds the prompt less room is needed.
    pub(crate) fn covers(&self, request: &PlaceRequest, belief: &LengthBelief) -> bool {
        if !request.holders.is_empty() {
            return false;
        }
        let output = belief.mean();
        let mut sizes = self.sizes.iter();
        sizes.any(|size| size.0 <= request.need.prompt && size.1 <= output)
    }
}
