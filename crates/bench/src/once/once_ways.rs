//! The ways to run a request at most once, one request each.

use {
    crate::once::copy_peer::{CopyPeer, PeerLink, table},
    claim::{
        ClaimEvent, ClaimKeeper, ClaimRecord, ClaimVerdict, ClockReading, KeyedClaim,
        PermitDispatch, RunPermit, SubmitVerdict, Ticket, TicketTable, UnsentRequest, claim_key,
    },
    fake::platform::{PlatformSettings, StandInPlatform},
    plat::HttpPlatform,
    std::{
        error::Error,
        sync::Arc,
        time::{Duration, Instant, SystemTime},
    },
};

const DIGEST: u64 = 5;
const TICKET_LIFE: Duration = Duration::from_secs(3600);

/// What a way's setting up or one of its requests may fail with.
pub type WayResult<T> = Result<T, Box<dyn Error + Send + Sync>>;

/// Everything that the ways need.
pub struct OnceWays {
    keeper: ClaimKeeper<HttpPlatform>,
    link: PeerLink,
    platform: StandInPlatform,
    serial: u64,
    table: TicketTable<Vec<u8>>,
}

impl OnceWays {
    /// Stops the stand-in.
    pub async fn close(self) {
        self.platform.close().await;
    }

    /// A copy of the ticket's use at a second instance before the run.
    ///
    /// # Errors
    ///
    /// The peer's connection.
    pub async fn copy(&mut self) -> WayResult<()> {
        let (ticket, permit) = self.permit()?;
        let reply = self.link.ask(&format!("copy {ticket}")).await?;
        if reply != "kept" {
            return Err(reply.into());
        }
        self.run(permit);
        Ok(())
    }

    /// A ticket that was minted at another instance, and is passed on to it; the minting is not part of it.
    ///
    /// # Errors
    ///
    /// The peer's connection.
    pub async fn forward(&mut self, ticket: &str) -> WayResult<()> {
        let reply = self.link.ask(&format!("submit {ticket}")).await?;
        match reply.as_str() {
            "run" => Ok(()),
            _ => Err(reply.into()),
        }
    }

    /// A ticket of the peer.
    ///
    /// # Errors
    ///
    /// The peer's connection.
    pub async fn foreign_ticket(&mut self) -> WayResult<String> {
        Ok(self.link.ask("mint").await?)
    }

    /// A ticket at its origin.
    ///
    /// # Errors
    ///
    /// Those of minting.
    pub fn local(&mut self) -> WayResult<()> {
        let (_, permit) = self.permit()?;
        self.run(permit);
        Ok(())
    }

    /// Starts the stand-in and the peer.
    ///
    /// # Errors
    ///
    /// The loopback's.
    pub async fn start() -> WayResult<Self> {
        let platform = StandInPlatform::start(PlatformSettings::default()).await?;
        let address = format!("http://{}", platform.address());
        let client = HttpPlatform::builder().address(address).build()?;
        Ok(Self {
            keeper: ClaimKeeper::new(Arc::new(client)),
            link: CopyPeer::start(table("entry-2")?).await?,
            platform,
            serial: 0,
            table: table("entry-1")?,
        })
    }

    /// A row at the platform before the run, as an idempotency key has it. The bytes of its key and value.
    ///
    /// # Errors
    ///
    /// The platform's refusal.
    pub async fn write(&mut self) -> WayResult<usize> {
        let (ticket, permit) = self.permit()?;
        self.serial += 1;
        let clock = ClockReading {
            now: Instant::now(),
            wall: SystemTime::now(),
        };
        let record = ClaimRecord::under_permit(clock, &permit, ticket, DIGEST);
        let key = claim_key(1, "confirm", "studio", &self.serial.to_string());
        let bytes = key.len() + record.to_value().len();
        let mut claim = KeyedClaim::new(key, record);
        match self.keeper.settle(&mut claim, ClaimEvent::Start).await {
            ClaimVerdict::Run => self.run(permit),
            verdict => return Err(format!("{verdict:?}").into()),
        }
        Ok(bytes)
    }

    fn permit(&mut self) -> WayResult<(Ticket, RunPermit)> {
        let now = Instant::now();
        let ticket = self.table.mint(now, TICKET_LIFE)?;
        match self.table.submit(now, &ticket, DIGEST) {
            SubmitVerdict::Run(permit) => Ok((ticket, permit)),
            verdict => Err(format!("{verdict:?}").into()),
        }
    }

    fn run(&mut self, permit: RunPermit) {
        let dispatch = permit.dispatch(Instant::now(), UnsentRequest::from_caller(()));
        if let PermitDispatch::Started { run, sent, .. } = dispatch {
            self.table.finish(run, sent, Vec::new());
        }
    }
}
