//! Cache of answers for replays, bounded by size.

use {
    crate::{answer_size::AnswerSize, incarnation_key::IncarnationKey, ticket::TicketSerial},
    std::collections::BTreeMap,
};

/// Identifies a ticket across all incarnations that an instance holds.
pub type TicketKey = (IncarnationKey, TicketSerial);

#[derive(Debug)]
struct CachedAnswer<A> {
    answer: A,
    order: u64,
}

/// Answers by ticket. The oldest is evicted first when the limit is reached.
#[derive(Debug)]
pub struct AnswerCache<A> {
    answers: BTreeMap<TicketKey, CachedAnswer<A>>,
    bytes: usize,
    limit: usize,
    next_order: u64,
    order: BTreeMap<u64, TicketKey>,
}

impl<A: AnswerSize> AnswerCache<A> {
    /// The total size of all cached answers, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The cached answer of a ticket.
    pub fn get(&self, key: &TicketKey) -> Option<&A> {
        self.answers.get(key).map(|kept| &kept.answer)
    }

    /// Caches an answer, and evicts the oldest ones while the total size is over the limit.
    pub fn insert(&mut self, key: TicketKey, answer: A) {
        self.remove(&key);
        self.bytes += answer.size();
        let order = self.next_order;
        self.next_order += 1;
        self.order.insert(order, key.clone());
        self.answers.insert(key, CachedAnswer { answer, order });
        self.shrink();
    }

    /// An empty cache with a limit in bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            answers: BTreeMap::new(),
            bytes: 0,
            limit,
            next_order: 0,
            order: BTreeMap::new(),
        }
    }

    /// Removes the answer of a ticket, if there is one.
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
