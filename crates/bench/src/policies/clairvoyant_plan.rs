//! How the clairvoyant policy is set.

use crate::policies::clairvoyant_order::ClairvoyantOrder;

/// How the clairvoyant policy keeps long prompts out of the way of urgent short ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LongPrompts {
    /// A long prompt waits if a known later request would miss its target for it.
    Foreseen,
    /// One prefill engine reads short prompts only.
    Split,
}

/// One setting of the clairvoyant policy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClairvoyantPlan {
    /// Whether engines are kept below the batch at which the tightest row's between-token target fails.
    pub guards: bool,
    /// How long prompts are kept out of the way.
    pub long: LongPrompts,
    /// The order.
    pub order: ClairvoyantOrder,
}

impl ClairvoyantPlan {
    /// Every setting with these guards; the bench runs them all and takes the best.
    pub fn all(guards: &[bool]) -> Vec<Self> {
        let mut plans = Vec::new();
        let ways = [LongPrompts::Foreseen, LongPrompts::Split];
        for order in ClairvoyantOrder::ALL {
            for guards in guards {
                for long in ways {
                    plans.push(Self {
                        guards: *guards,
                        long,
                        order,
                    });
                }
            }
        }
        plans
    }
}
