//! The books of an allocator: every index changes here, and only here.

use crate::{
    cell_allocator::CellAllocator, held_request::HeldRequest, request_key::RequestKey,
    request_phase::RequestPhase,
};

impl CellAllocator {
    /// Enters a request in every index that its phase names.
    pub(crate) fn put(&mut self, key: RequestKey, held: HeldRequest) {
        let row = self.rows.entry(held.request.work.clone()).or_default();
        match &held.phase {
            RequestPhase::Queued => {
                row.queue.insert(held.place, key.clone());
            }
            _ => row.running += 1,
        }
        match &held.phase {
            RequestPhase::Decoding { decode, .. } | RequestPhase::Transferring { decode, .. } => {
                if let Some(engine) = self.decodes.get_mut(decode) {
                    engine.streams.insert(key.clone());
                }
            }
            RequestPhase::Prefilling { prefill, .. } => {
                self.reading += 1;
                if let Some(engine) = self.prefills.get_mut(prefill) {
                    engine.reading.insert(key.clone());
                }
            }
            RequestPhase::Queued => {}
            RequestPhase::Read { evicts, .. } => {
                self.read.insert((*evicts, key.clone()));
            }
        }
        self.expiries.insert((held.expires, key.clone()));
        self.requests.insert(key, held);
    }

    /// Takes a request out of every index; all that it held is free.
    pub(crate) fn remove(&mut self, key: &RequestKey) -> Option<HeldRequest> {
        let held = self.requests.remove(key)?;
        self.expiries.remove(&(held.expires, key.clone()));
        let row = self.rows.entry(held.request.work.clone()).or_default();
        match &held.phase {
            RequestPhase::Queued => {
                row.queue.remove(&held.place);
            }
            _ => row.running -= 1,
        }
        match &held.phase {
            RequestPhase::Decoding { decode, .. } | RequestPhase::Transferring { decode, .. } => {
                if let Some(engine) = self.decodes.get_mut(decode) {
                    engine.streams.remove(key);
                }
            }
            RequestPhase::Prefilling { prefill, .. } => {
                self.reading -= 1;
                if let Some(engine) = self.prefills.get_mut(prefill) {
                    engine.reading.remove(key);
                }
            }
            RequestPhase::Queued => {}
            RequestPhase::Read { evicts, .. } => {
                self.read.remove(&(*evicts, key.clone()));
            }
        }
        Some(held)
    }
}
