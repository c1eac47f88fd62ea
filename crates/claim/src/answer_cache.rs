//! Answers kept for replays, within a limit.

use {
    crate::{answer_size::AnswerSize, incarnation_key::IncarnationKey, ticket::TicketSerial},
    std::collections::BTreeMap,
};

/// Names a ticket among all lives that an instance holds.
pub type TicketKey = (IncarnationKey, TicketSerial);

#[derive(Debug)]
struct CachedAnswer<A> {
    answer: A,
    order: u64,
}

/// Answers by ticket. The oldest goes first when the limit is reached.
#[derive(Debug)]
pub struct AnswerCache<A> {
    answers: BTreeMap<TicketKey, CachedAnswer<A>>,
    bytes: usize,
    limit: usize,
    next_order: u64,
    order: BTreeMap<u64, TicketKey>,
}

impl<A: AnswerSize> AnswerCache<A> {
    /// The bytes of all answers.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The answer of a ticket.
    pub fn get(&self, key: &TicketKey) -> Option<&A> {
        self.answers.get(key).map(|kept| &kept.answer)
    }

    /// Keeps an answer, and drops the oldest ones while all are larger than the limit.
    pub fn insert(&mut self, key: TicketKey, answer: A) {
        self.remove(&key);
        self.bytes += answer.size();
        let order = self.next_order;
        self.next_order += 1;
        self.order.insert(order, key.clone());
        self.answers.insert(key, CachedAnswer { answer, order });
        self.shrink();
    }

    /// No answers, and the most bytes of all.
    pub fn new(limit: usize) -> Self {
        Self {
            answers: BTreeMap::new(),
            bytes: 0,
            limit,
            next_order: 0,
            order: BTreeMap::new(),
        }
    }

    /// Drops a ticket's answer, if there is one.
    pub fn remove(&mut self, key: &TicketKey) {
        let Some(kept) = self.answers.remove(key) else {
            return;
        };
        self.bytes -= kept.answer.size();
        self.order.remove(&kept.order);
    }

    fn shrink(&mut self) {
        while self.bytes > self.limit {
            let Some((_, key)) = self.order.pop_first() else {
                return;
            };
            self.remove(&key);
        }
    }
}
