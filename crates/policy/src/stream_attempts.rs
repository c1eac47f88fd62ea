//! The calls made for one request of a model service, and whether further ones are allowed.

use crate::RepeatRule;

/// How many further engines are tried after refusals; each refusal costs a round trip.
const REFUSAL_RETRIES: u32 = 3;

/// How a call ended, as far as it matters for further calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// The request must not be sent, for example while it is in quarantine: no call was or will be made.
    Blocked,
    /// An engine accepted the prefill of the prompt.
    Prefilled,
    /// An engine received the prefill and did not run it.
    PrefillRefused,
    /// An engine received the request and did not run it.
    Refused,
    /// An engine ran the request, or may have run it.
    Ran,
    /// The call was not sent.
    Unsent,
}

/// Counts the calls of one request.
///
/// Each call after the first that reached an engine takes a retry from the budget of the service. The first prefill
/// that an engine accepts is free.
#[derive(Clone, Copy, Debug)]
pub struct StreamAttempts {
    /// Calls that reached an engine, the first included.
    arrivals: u32,
    has_prefilled: bool,
    /// Whether the retry for the next call has already been taken from the budget.
    is_reserved: bool,
    /// Whether no further call is allowed, since the retry budget is spent or the request is blocked.
    is_spent: bool,
    refused: u32,
    repeat: RepeatRule,
    runs: u32,
    tries: u32,
}

impl StreamAttempts {
    /// Whether the request may have run.
    pub fn has_run(&self) -> bool {
        self.runs > 0
    }

    /// How often the request may have run.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Whether another engine may be tried, if there is time left.
    pub fn can_continue(&self) -> bool {
        let may_run =
            self.runs < self.tries && (self.runs == 0 || self.repeat == RepeatRule::Resumable);
        !self.is_spent && may_run && self.refused <= REFUSAL_RETRIES
    }

    /// Creates the counts of a request that may run on up to `tries` engines.
    pub fn new(repeat: RepeatRule, tries: u32) -> Self {
        Self {
            arrivals: 0,
            has_prefilled: false,
            is_reserved: false,
            is_spent: false,
            refused: 0,
            repeat,
            runs: 0,
            tries,
        }
    }

    /// Records how a call ended.
    pub fn note(&mut self, end: AttemptEnd) {
        match end {
            AttemptEnd::Blocked => self.is_spent = true,
            AttemptEnd::Prefilled => self.has_prefilled = true,
            AttemptEnd::PrefillRefused => {
                self.has_prefilled = true;
                self.arrivals += 1;
            }
            AttemptEnd::Refused => {
                self.arrivals += 1;
                self.refused += 1;
            }
            AttemptEnd::Ran => {
                self.arrivals += 1;
                self.runs += 1;
            }
            AttemptEnd::Unsent => {}
        }
    }

    /// Takes the retry for the next call from the budget in advance, so that a stream is not abandoned for a call that
    /// is not allowed; `false` when the budget is spent.
    pub fn reserve_retry(&mut self, take_retry: impl FnOnce() -> bool) -> bool {
        self.is_reserved = self.allow_call(take_retry);
        self.is_reserved
    }

    /// Whether the prompt may be prefilled at a prefill engine now.
    ///
    /// The first prefill is free if it is accepted. The prompt of a broken stream may be prefilled again: a prefill
    /// engine needs half the time of the decode engine, which the caller sees as a pause, and does not slow down the
    /// streams running there. Such a prefill takes a retry, and is allowed only if the retry for the run after it has
    /// been reserved.
    pub fn allow_prefill(&mut self, take_retry: impl FnOnce() -> bool) -> bool {
        match self.has_prefilled {
            true => self.has_run() && self.is_reserved && take_retry(),
            false => true,
        }
    }

    /// Whether a further call is allowed: the first always is, each later one takes a retry from the budget.
    pub fn allow_call(&mut self, take_retry: impl FnOnce() -> bool) -> bool {
        let is_reserved = std::mem::take(&mut self.is_reserved);
        let is_allowed = is_reserved || self.arrivals == 0 || take_retry();
        self.is_spent |= !is_allowed;
        is_allowed
    }
}
