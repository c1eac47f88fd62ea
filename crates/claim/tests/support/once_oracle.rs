//! The invariants of at-most-once execution.

use claim::Ticket;

/// One dispatch that ran.
#[derive(Debug)]
pub(crate) struct DoneRun {
    pub(crate) at_ms: u64,
    pub(crate) key: Option<usize>,
    pub(crate) submission: usize,
    pub(crate) ticket: Ticket,
}

#[derive(Debug, Default)]
pub(crate) struct OnceOracle {
    /// Submissions that were answered "not run", with their ticket if the caller sent one.
    pub(crate) denied: Vec<(usize, Option<Ticket>)>,
    /// The minimum time for which a key is remembered.
    pub(crate) key_life_ms: u64,
    pub(crate) replayed: usize,
    pub(crate) runs: Vec<DoneRun>,
}

impl OnceOracle {
    /// The first violated invariant. A ticket runs at most once, a key runs at most once within its lifetime,
    /// and a submission answered "not run" never ran.
    pub(crate) fn fault(&self) -> Option<String> {
        for (index, run) in self.runs.iter().enumerate() {
            for other in &self.runs[..index] {
                let same_key = run.key.is_some() && run.key == other.key;
                let in_life = run.at_ms - other.at_ms < self.key_life_ms;
                if run.ticket == other.ticket || same_key && in_life {
                    return Some(format!("{other:?} ran, and {run:?}"));
                }
            }
            for (submission, ticket) in &self.denied {
                if *submission == run.submission || ticket.as_ref() == Some(&run.ticket) {
                    return Some(format!("{submission} was not run, but {run:?}"));
                }
            }
        }
        None
    }
}
