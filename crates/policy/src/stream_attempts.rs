//! The calls that one request of a model service has made, and which further ones may go out.

use crate::RepeatRule;

/// How many further engines are asked after refusals; a refusal costs a round trip.
const REFUSED_TRIES: u32 = 3;

/// How a call of a request ended, as far as further calls depend on it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// The request is in quarantine: nothing was sent, and nothing will be.
    Blocked,
    /// An engine accepted the reading of the prompt.
    Prefilled,
    /// An engine had the reading and did not do it.
    PrefillRefused,
    /// An engine had the request and did not run it.
    Refused,
    /// An engine ran it, or may have run it.
    Ran,
    /// The call did not leave.
    Unsent,
}

/// Counts the calls of one request.
///
/// The service's retry budget pays for each call after the first that reached an engine. The first reading that an engine
/// accepts is free.
#[derive(Clone, Copy, Debug)]
pub struct StreamAttempts {
    /// Calls that count against the retry budget, the first included.
    arrivals: u32,
    has_read: bool,
    /// A retry was taken out of the budget for the next call.
    is_paid: bool,
    /// Set when no further call may go out: the retry budget allowed none, or the request is in quarantine.
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

    /// Whether another engine may be asked, if there is time left.
    pub fn can_continue(&self) -> bool {
        let may_run =
            self.runs < self.tries && (self.runs == 0 || self.repeat == RepeatRule::Resumable);
        !self.is_spent && may_run && self.refused <= REFUSED_TRIES
    }

    /// A request of a row that may run on `tries` engines.
    pub fn new(repeat: RepeatRule, tries: u32) -> Self {
        Self {
            arrivals: 0,
            has_read: false,
            is_paid: false,
            is_spent: false,
            refused: 0,
            repeat,
            runs: 0,
            tries,
        }
    }

    /// A call ended.
    pub fn note(&mut self, end: AttemptEnd) {
        match end {
            AttemptEnd::Blocked => self.is_spent = true,
            AttemptEnd::Prefilled => self.has_read = true,
            AttemptEnd::PrefillRefused => {
                self.has_read = true;
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

    /// Takes the retry for the next call out of the budget ahead, so that a stream is not left for a call that may not go
    /// out; `false` when there is none.
    pub fn reserve_retry(&mut self, take_retry: impl FnOnce() -> bool) -> bool {
        self.is_paid = self.allow_call(take_retry);
        self.is_paid
    }

    /// Whether the prompt may be read apart now.
    ///
    /// The first reading is free if it is accepted. A stream that broke may have its prompt read again: a prefill engine
    /// takes half of the time that the decode engine takes, which the caller sees as a pause, and does not slow the streams
    /// that run there. That is a repeated call, and goes out only if the run after it is paid for already.
    pub fn allow_prefill(&mut self, take_retry: impl FnOnce() -> bool) -> bool {
        match self.has_read {
            true => self.has_run() && self.is_paid && take_retry(),
            false => true,
        }
    }

    /// Whether a further call may go out: the first may, each later one takes a retry out of the budget.
    pub fn allow_call(&mut self, take_retry: impl FnOnce() -> bool) -> bool {
        let is_paid = std::mem::take(&mut self.is_paid);
        let may = is_paid || self.arrivals == 0 || take_retry();
        self.is_spent |= !may;
        may
    }
}
