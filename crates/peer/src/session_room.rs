//! The room for what sessions received and nobody has read yet.

use {
    crate::{peer_settings::PeerSettings, session_place::SessionPlace},
    quinn::{Connection, VarInt},
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard},
    },
};

/// The part of its stream's window by which a session opens the window of its link further. The transport tells the sender
/// of room that reading made only once it is an eighth of the link's window: so much has to be left beside all sessions.
const MORE_PART: u32 = 4;

/// Counts the sessions of all links, and opens the window of each link for those that it has: sessions that nobody reads
/// hold up neither the calls of their link nor more memory than there is for all of them. Clones share it.
#[derive(Clone, Debug)]
pub(crate) struct SessionRoom {
    limit: usize,
    link_window: u32,
    sessions: Arc<Mutex<SessionCounts>>,
    /// By how much one session opens the window of its link, bytes.
    session_window: u32,
}

#[derive(Debug, Default)]
struct SessionCounts {
    /// By the stable id of the connection.
    by_link: BTreeMap<usize, u32>,
    total: usize,
}

impl SessionRoom {
    pub(crate) fn new(settings: &PeerSettings) -> Self {
        let stream_window = settings.stream_window;
        let session_window = stream_window.saturating_add(stream_window / MORE_PART);
        let limit = settings.session_memory / (session_window.max(1) as usize);
        Self {
            limit: limit.max(1),
            link_window: settings.link_window,
            sessions: Arc::default(),
            session_window,
        }
    }

    /// The number of sessions that have a place.
    pub(crate) fn taken(&self) -> usize {
        self.lock().total
    }

    /// Takes the place of one session of a link; `None` if there is no room.
    pub(crate) fn take(&self, connection: &Connection) -> Option<SessionPlace> {
        let mut counts = self.lock();
        if counts.total >= self.limit {
            return None;
        }
        counts.total += 1;
        let count = counts.by_link.entry(connection.stable_id()).or_default();
        *count += 1;
        self.set_window(connection, *count);
        Some(SessionPlace::new(connection.clone(), self.clone()))
    }

    pub(crate) fn give_back(&self, connection: &Connection) {
        let mut counts = self.lock();
        counts.total = counts.total.saturating_sub(1);
        let Some(count) = counts.by_link.get_mut(&connection.stable_id()) else {
            return;
        };
        *count = count.saturating_sub(1);
        let left = *count;
        if left == 0 {
            counts.by_link.remove(&connection.stable_id());
        }
        self.set_window(connection, left);
    }

    /// Called with the counts locked, so that the last count wins.
    fn set_window(&self, connection: &Connection, sessions: u32) {
        let more = sessions.saturating_mul(self.session_window);
        connection.set_receive_window(VarInt::from_u32(self.link_window.saturating_add(more)));
    }

    fn lock(&self) -> MutexGuard<'_, SessionCounts> {
        self.sessions
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}
