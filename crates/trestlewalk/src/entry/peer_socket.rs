//! Where an instance talks to the others of its availability zone: a socket, and keys made at the start of the process.

use {
    crate::{RunError, run_error::PeersSnafu, settings::RelayFile},
    kernel::unix_time,
    peer::{PeerBook, PeerEndpoint, PeerKeys, PeerSettings},
    snafu::ResultExt,
    spread::MemberRow,
    std::time::{Duration, SystemTime},
};

/// How much longer than the period of readings an instance waits for the next one before it reads the store itself.
const LATE_READING: Duration = Duration::from_millis(350);
/// How long a connection may take: a few round trips, and the work of both ends on small machines.
const CONNECT_LIMIT: Duration = Duration::from_millis(600);

/// The open socket with its keys.
pub struct PeerSocket {
    /// The socket.
    pub endpoint: PeerEndpoint,
    /// The keys of this life of the process.
    pub keys: PeerKeys,
    /// How the others know this instance.
    pub row: MemberRow,
}

impl PeerSocket {
    /// Opens the socket that the settings name; none when they name none.
    ///
    /// # Errors
    ///
    /// The socket can't be opened, or the instance's name can't stand in a certificate.
    pub fn open(settings: &RelayFile) -> Result<Option<Self>, RunError> {
        let Some(address) = settings.listen.peers else {
            return Ok(None);
        };
        let keys = PeerKeys::self_signed(&settings.instance).context(PeersSnafu)?;
        let call_limit = settings.platform.list_poll + LATE_READING;
        let links = PeerSettings::builder()
            .call_timeout(call_limit)
            .connect_timeout(CONNECT_LIMIT)
            .build();
        let endpoint = PeerEndpoint::builder()
            .address(address)
            .book(PeerBook::new())
            .incarnation(unix_time::micros(SystemTime::now()))
            .instance(settings.instance.clone())
            .keys(&keys)
            .settings(links)
            .build()
            .context(PeersSnafu)?;
        let row = MemberRow {
            address: endpoint.local_address().context(PeersSnafu)?,
            capacity: settings.capacity.weight(),
            instance: settings.instance.clone(),
            zone: settings.zone.clone(),
        };
        Ok(Some(Self {
            endpoint,
            keys,
            row,
        }))
    }
}
