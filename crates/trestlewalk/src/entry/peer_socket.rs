//! The socket on which an instance exchanges messages with the others of its availability zone, with keys made at the
//! start of the process.

use {
    crate::{
        RunError,
        run_error::PeersSnafu,
        settings::{RelayCapacity, RelayFile},
    },
    kernel::unix_time,
    peer::{AddressTable, PeerEndpoint, PeerKeys, PeerSettings},
    snafu::ResultExt,
    spread::MemberRow,
    std::time::{Duration, SystemTime},
};

/// How far past the period of reads an instance waits for the next one before it reads the store itself.
const LATE_READ_MARGIN: Duration = Duration::from_millis(350);
/// The timeout for opening a connection: a few round trips, and the handshake at both ends on slow hosts.
const CONNECT_LIMIT: Duration = Duration::from_millis(600);

/// The share of the memory for what the sessions of all links have received and nobody has read yet.
const SESSION_SHARE: f64 = 1.0 / 8.0;
/// The share of the memory for what links receive beside that until it is read.
const LINK_SHARE: f64 = 1.0 / 8.0;
/// The links of both directions that this share is divided over.
const LINK_COUNT: f64 = 256.0;
/// The least window of a link, bytes: one stream goes at full speed.
const MIN_LINK_WINDOW: f64 = 65_536.0;
/// The largest window of a link, bytes.
const MAX_LINK_WINDOW: f64 = 1_048_576.0;

/// The open socket, with its keys and the member row that announces it.
pub struct PeerSocket {
    /// The endpoint that sends and receives on the socket.
    pub endpoint: PeerEndpoint,
    /// The keys of this process, made at its start.
    pub keys: PeerKeys,
    /// The row by which other instances know this one.
    pub row: MemberRow,
}

impl PeerSocket {
    /// Opens the socket that the settings name; `None` when they name none.
    ///
    /// # Errors
    ///
    /// The socket can't be opened, or the instance's name is not valid in a certificate.
    pub fn open(settings: &RelayFile) -> Result<Option<Self>, RunError> {
        let Some(address) = settings.listen.peers else {
            return Ok(None);
        };
        let keys = PeerKeys::self_signed(&settings.instance).context(PeersSnafu)?;
        let call_limit = settings.platform.list_poll + LATE_READ_MARGIN;
        let links = PeerSettings::builder()
            .call_timeout(call_limit)
            .connect_timeout(CONNECT_LIMIT)
            .link_window(link_window(&settings.capacity))
            .session_memory((settings.capacity.memory_bytes() * SESSION_SHARE) as usize)
            .build();
        let endpoint = PeerEndpoint::builder()
            .address(address)
            .addresses(AddressTable::new())
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

/// What a peer may send over a link before it is read, bytes, beside what its sessions may.
fn link_window(capacity: &RelayCapacity) -> u32 {
    let window = capacity.memory_bytes() * LINK_SHARE / LINK_COUNT;
    window.clamp(MIN_LINK_WINDOW, MAX_LINK_WINDOW) as u32
}
