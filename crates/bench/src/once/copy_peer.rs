//! A second instance over loopback TCP: the origin of a ticket, or the keeper of a copy.

use {
    claim::{IncarnationKey, SubmitVerdict, Ticket, TicketSettings, TicketTable},
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncBufReadExt, AsyncWriteExt, BufReader},
        net::{TcpListener, TcpStream},
    },
};

const DIGEST: u64 = 5;
const TICKET_LIFE: Duration = Duration::from_secs(3600);

/// What one instance answers to its one peer, a line each: `mint`, `submit TICKET` or `copy TICKET`.
#[derive(Debug)]
pub struct CopyPeer {
    copies: BTreeMap<String, u64>,
    table: TicketTable<Vec<u8>>,
}

/// The connection to a [`CopyPeer`].
#[derive(Debug)]
pub struct PeerLink {
    stream: BufReader<TcpStream>,
}

impl CopyPeer {
    /// Answers one connection until it ends.
    async fn serve(mut self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut stream = BufReader::new(stream);
        let mut line = String::new();
        while stream.read_line(&mut line).await? > 0 {
            let reply = format!("{}\n", self.reply(line.trim_end()));
            stream.get_mut().write_all(reply.as_bytes()).await?;
            line.clear();
        }
        Ok(())
    }

    fn reply(&mut self, line: &str) -> String {
        let now = Instant::now();
        match line.split_once(' ') {
            Some(("copy", ticket)) => {
                self.copies.insert(ticket.to_owned(), DIGEST);
                "kept".to_owned()
            }
            Some(("submit", ticket)) => match ticket.parse::<Ticket>() {
                Ok(ticket) => match self.table.submit(now, &ticket, DIGEST) {
                    SubmitVerdict::Run(_) => "run".to_owned(),
                    _ => "no".to_owned(),
                },
                Err(error) => error.to_string(),
            },
            _ => self
                .table
                .mint(now, TICKET_LIFE)
                .map_or_else(|error| error.to_string(), |ticket| ticket.to_string()),
        }
    }

    /// Starts a peer and connects to it.
    ///
    /// # Errors
    ///
    /// The loopback's.
    pub async fn start(table: TicketTable<Vec<u8>>) -> io::Result<PeerLink> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let peer = Self {
            copies: BTreeMap::new(),
            table,
        };
        tokio::spawn(async move {
            let (stream, _) = listener.accept().await?;
            peer.serve(stream).await
        });
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(PeerLink {
            stream: BufReader::new(stream),
        })
    }
}

impl PeerLink {
    /// One message and its reply.
    ///
    /// # Errors
    ///
    /// The connection's.
    pub async fn ask(&mut self, line: &str) -> io::Result<String> {
        let message = format!("{line}\n");
        self.stream.get_mut().write_all(message.as_bytes()).await?;
        let mut reply = String::new();
        self.stream.read_line(&mut reply).await?;
        Ok(reply.trim_end().to_owned())
    }
}

/// A table of a life that starts now, without a limit that a measurement could reach.
///
/// # Errors
///
/// None for names that a ticket can carry.
pub fn table(instance: &str) -> Result<TicketTable<Vec<u8>>, claim::ClaimError> {
    let life = IncarnationKey {
        incarnation: 1,
        instance: instance.into(),
    };
    let settings = TicketSettings::builder().secret(1).ticket_limit(usize::MAX);
    TicketTable::new(Instant::now(), life, "riga-a".into(), settings.build())
}
