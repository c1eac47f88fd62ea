//! `bench path`.

use {
    crate::{
        bench_error::{BenchError, EntryRunSnafu, EntryStartSnafu, ReportWriteSnafu, RuntimeSnafu},
        path::{
            closed_loop::{LoopClient, RequestTimes},
            path_report::{PathReport, quantile_ms},
            path_world::PathWorld,
        },
    },
    clap::Args,
    snafu::ResultExt,
    std::{io, process::ExitCode, time::Duration},
    tokio::{runtime::Runtime, task::JoinSet, time},
    trestlewalk::{
        EntrySettings,
        entry::{EntryProcess, entry_runtime},
    },
};

/// The stand-in's time from one token to the next while times and processor time are measured.
const FAST_TOKEN: Duration = Duration::from_millis(1);
/// The same while streams are held open.
const SLOW_TOKEN: Duration = Duration::from_millis(500);
const PLACES: u32 = 2_000;
/// Requests before anything is measured.
const WARM_REQUESTS: u64 = 100;
/// Streams at once while processor time is measured.
const STREAMS_AT_ONCE: u64 = 16;
/// Tokens of each long stream.
const LONG_TOKENS: u32 = 1_000;
/// How long a world may take to serve its first request.
const READY_LIMIT: Duration = Duration::from_secs(20);
const READY_PAUSE: Duration = Duration::from_millis(50);
const MICROS: f64 = 1e6;

/// The arguments of `path`.
#[derive(Args, Debug)]
pub struct PathCommand {
    /// Print one JSON object.
    #[arg(long)]
    json: bool,
    /// How many requests each closed loop sends.
    #[arg(default_value_t = 2_000, long)]
    requests: u64,
    /// How many streams are open when the memory is read.
    #[arg(default_value_t = 1_000, long)]
    streams: u64,
}

/// The arguments of `entry`: what `path` starts as a process of its own.
#[derive(Args, Debug)]
pub struct EntryCommand {
    /// The settings as JSON.
    settings: String,
}

/// What was counted while the entry instance relayed.
#[derive(Clone, Copy, Debug, Default)]
struct LoadCount {
    cpu: Duration,
    failed: u64,
    requests: u64,
    tokens: u64,
}

impl EntryCommand {
    /// Runs an entry instance until it is killed.
    ///
    /// # Errors
    ///
    /// The settings can't be read, or the instance can't start.
    pub fn run(self) -> Result<ExitCode, BenchError> {
        let settings: EntrySettings = serde_json::from_str(&self.settings)
            .map_err(io::Error::other)
            .context(EntryStartSnafu)?;
        let runtime = entry_runtime(settings.limits.workers).context(RuntimeSnafu)?;
        runtime
            .block_on(EntryProcess::run(settings))
            .context(EntryRunSnafu)?;
        Ok(ExitCode::SUCCESS)
    }
}

impl PathCommand {
    /// Measures and prints.
    ///
    /// # Errors
    ///
    /// The world can't be started, or the report can't be written.
    pub fn run(self) -> Result<ExitCode, BenchError> {
        let runtime = Runtime::new().context(RuntimeSnafu)?;
        let report = runtime.block_on(self.measure())?;
        match self.json {
            true => println!(
                "{}",
                serde_json::to_string(&report).context(ReportWriteSnafu)?
            ),
            false => println!("{report}"),
        }
        Ok(ExitCode::SUCCESS)
    }

    async fn measure(&self) -> Result<PathReport, BenchError> {
        let world = PathWorld::start(FAST_TOKEN, PLACES).await?;
        let client = LoopClient::default();
        wait_ready(&world, &client).await;
        let idle_mb = world.entry.probe().resident_mb();
        let (mut direct, mut through, failed) = self.run_loops(&world, &client).await;
        let short = load(&world, &client, self.requests, 1).await;
        let long = load(&world, &client, STREAMS_AT_ONCE * 4, LONG_TOKENS).await;
        world.close().await;
        let (resident_mb, open_streams) = self.hold_streams(&client).await?;
        let cpu_us_per_request = micros_each(short.cpu, short.requests);
        let long_requests = cpu_us_per_request * long.requests as f64;
        let relayed = (long.cpu.as_secs_f64() * MICROS - long_requests).max(0.0);
        Ok(PathReport {
            added_p50_ms: quantile_ms(&mut through, 0.5) - quantile_ms(&mut direct, 0.5),
            added_p99_ms: quantile_ms(&mut through, 0.99) - quantile_ms(&mut direct, 0.99),
            cpu_us_per_request,
            cpu_us_per_token: relayed / long.tokens.max(1) as f64,
            failed: failed + short.failed + long.failed,
            idle_mb,
            open_streams,
            resident_mb,
        })
    }

    /// The two closed loops, a request of each in turn, so that whatever else the machine does hits both.
    async fn run_loops(
        &self,
        world: &PathWorld,
        client: &LoopClient,
    ) -> (Vec<Duration>, Vec<Duration>, u64) {
        let mut direct = Vec::new();
        let mut through = Vec::new();
        let mut failed = 0;
        for number in 0..WARM_REQUESTS + self.requests {
            let straight = client
                .direct(world.prefill.address(), world.decode.address(), number, 1)
                .await;
            let relayed = client
                .through(world.entry.callers, number + u64::from(u32::MAX), 1)
                .await;
            if number < WARM_REQUESTS {
                continue;
            }
            let (Some(straight), Some(relayed)) = (straight, relayed) else {
                failed += 1;
                continue;
            };
            direct.push(straight.first);
            through.push(relayed.first);
        }
        (direct, through, failed)
    }

    /// Opens streams, reads the memory, and counts those that gave a token by then.
    async fn hold_streams(&self, client: &LoopClient) -> Result<(f64, u64), BenchError> {
        let world = PathWorld::start(SLOW_TOKEN, PLACES).await?;
        wait_ready(&world, client).await;
        let mut streams = JoinSet::new();
        for number in 0..self.streams {
            let client = client.clone();
            let callers = world.entry.callers;
            streams.spawn(async move { client.through(callers, number, LONG_TOKENS).await });
        }
        let started = time::Instant::now();
        let mut open = 0;
        while started.elapsed() < READY_LIMIT && open < self.streams {
            time::sleep(READY_PAUSE).await;
            open = u64::from(world.decode.counters().places_used);
        }
        let resident_mb = world.entry.probe().resident_mb();
        streams.abort_all();
        world.close().await;
        Ok((resident_mb, open))
    }
}

/// Sends requests, some at once, and counts the entry instance's processor time.
async fn load(world: &PathWorld, client: &LoopClient, requests: u64, tokens: u32) -> LoadCount {
    let before = world.entry.probe().cpu();
    let mut tasks = JoinSet::new();
    let mut count = LoadCount::default();
    for number in 0..requests {
        if tasks.len() as u64 >= STREAMS_AT_ONCE {
            count.take(tasks.join_next().await.and_then(Result::ok).flatten());
        }
        let client = client.clone();
        let callers = world.entry.callers;
        let name = number + u64::from(u32::MAX) * u64::from(tokens + 1);
        tasks.spawn(async move { client.through(callers, name, tokens).await });
    }
    while let Some(outcome) = tasks.join_next().await {
        count.take(outcome.ok().flatten());
    }
    count.cpu = world.entry.probe().cpu().saturating_sub(before);
    count
}

impl LoadCount {
    fn take(&mut self, outcome: Option<RequestTimes>) {
        let Some(times) = outcome else {
            self.failed += 1;
            return;
        };
        self.requests += 1;
        self.tokens += u64::from(times.tokens);
    }
}

fn micros_each(total: Duration, count: u64) -> f64 {
    total.as_secs_f64() * MICROS / count.max(1) as f64
}

async fn wait_ready(world: &PathWorld, client: &LoopClient) {
    let started = time::Instant::now();
    let mut number = u64::from(u32::MAX) / 2;
    while started.elapsed() < READY_LIMIT {
        number += 1;
        if client
            .through(world.entry.callers, number, 1)
            .await
            .is_some()
        {
            return;
        }
        time::sleep(READY_PAUSE).await;
    }
}
