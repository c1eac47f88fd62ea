//! The place of one session in the room for unread data.

use {crate::session_room::SessionRoom, quinn::Connection};

/// Gives its room back when it is dropped.
#[derive(Debug)]
pub(crate) struct SessionPlace {
    connection: Connection,
    room: SessionRoom,
}

impl SessionPlace {
    pub(crate) fn new(connection: Connection, room: SessionRoom) -> Self {
        Self { connection, room }
    }
}

impl Drop for SessionPlace {
    fn drop(&mut self) {
        self.room.give_back(&self.connection);
    }
}
