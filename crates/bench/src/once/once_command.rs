//! `bench once`.

use {
    crate::{
        bench_error::{BenchError, OnceWaySnafu, RuntimeSnafu},
        once::{
            copy_peer::table,
            once_ways::{OnceWays, WayResult},
        },
    },
    claim::{SubmitVerdict, TicketTable},
    clap::Args,
    hdrhistogram::Histogram,
    snafu::ResultExt,
    std::{
        fs,
        process::ExitCode,
        time::{Duration, Instant},
    },
    tokio::runtime::Runtime,
};

/// Digits that the histograms keep.
const DIGITS: u8 = 3;
const PAGE_BYTES: usize = 4096;
const TICKET_LIFE: Duration = Duration::from_secs(3600);

/// Measures tickets against a platform write a request and a copy at a second instance, over loopback. For
/// information, not for a bound.
#[derive(Args, Debug)]
pub struct OnceCommand {
    /// Tickets that are kept while the memory is read.
    #[arg(default_value_t = 200_000, long)]
    kept: usize,
    /// Requests by each way, one after the other.
    #[arg(default_value_t = 20_000, long)]
    requests: u32,
}

impl OnceCommand {
    /// Prints the times and the bytes.
    ///
    /// # Errors
    ///
    /// The loopback's, or a stand-in that refuses.
    pub fn run(self) -> Result<ExitCode, BenchError> {
        self.memory().context(OnceWaySnafu)?;
        let runtime = Runtime::new().context(RuntimeSnafu)?;
        runtime.block_on(self.times()).context(OnceWaySnafu)?;
        Ok(ExitCode::SUCCESS)
    }

    fn memory(&self) -> WayResult<()> {
        let mut table = table("entry-1")?;
        let now = Instant::now();
        let empty = resident_bytes();
        for _ in 0..self.kept {
            table.mint(now, TICKET_LIFE)?;
        }
        let minted = resident_bytes();
        self.print_bytes("minted, not used", minted.saturating_sub(empty));
        for _ in 0..self.kept {
            use_ticket(&mut table, now)?;
        }
        let used = resident_bytes();
        self.print_bytes("used", used.saturating_sub(minted));
        println!("{} records", table.counts().records);
        Ok(())
    }

    fn print_bytes(&self, name: &str, bytes: usize) {
        let each = bytes as f64 / self.kept.max(1) as f64;
        println!("{name}: {each:.1} bytes a ticket");
    }

    async fn times(&self) -> WayResult<()> {
        let mut ways = OnceWays::start().await?;
        let mut local = WayTimes::new("ticket at its origin, 0 messages");
        for _ in 0..self.requests {
            let began = Instant::now();
            ways.local()?;
            local.record(began);
        }
        local.print();
        let mut forward = WayTimes::new("ticket passed on to its origin, 2 messages");
        for _ in 0..self.requests {
            let ticket = ways.foreign_ticket().await?;
            let began = Instant::now();
            ways.forward(&ticket).await?;
            forward.record(began);
        }
        forward.print();
        let mut copy = WayTimes::new("copy at a second instance, 2 messages before the run");
        for _ in 0..self.requests {
            let began = Instant::now();
            ways.copy().await?;
            copy.record(began);
        }
        copy.print();
        let mut bytes = 0;
        let mut write = WayTimes::new("row at the platform, 2 messages before the run");
        for _ in 0..self.requests {
            let began = Instant::now();
            bytes = ways.write().await?;
            write.record(began);
        }
        write.print();
        println!("the last row: {bytes} bytes of key and value at the platform");
        ways.close().await;
        Ok(())
    }
}

/// The times of one way.
struct WayTimes {
    name: &'static str,
    nanos: Histogram<u64>,
}

impl WayTimes {
    fn new(name: &'static str) -> Self {
        let nanos = Histogram::new(DIGITS).expect("three digits are allowed");
        Self { name, nanos }
    }

    fn print(&self) {
        let micros = |quantile| self.nanos.value_at_quantile(quantile) as f64 / 1e3;
        let (median, late) = (micros(0.5), micros(0.99));
        println!(
            "{}: median {median:.1} us, 99 in 100 {late:.1} us",
            self.name
        );
    }

    fn record(&mut self, began: Instant) {
        let nanos = u64::try_from(began.elapsed().as_nanos()).unwrap_or(u64::MAX);
        let _ = self.nanos.record(nanos);
    }
}

/// The memory of this process, as the kernel counts it.
fn resident_bytes() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * PAGE_BYTES
}

fn use_ticket(table: &mut TicketTable<Vec<u8>>, now: Instant) -> WayResult<()> {
    let ticket = table.mint(now, TICKET_LIFE)?;
    match table.submit(now, &ticket, 0) {
        SubmitVerdict::Run(_) => Ok(()),
        verdict => Err(format!("{verdict:?}").into()),
    }
}
