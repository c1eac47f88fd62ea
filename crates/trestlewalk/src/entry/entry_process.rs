//! One entry instance from start to close.
//!
//! The steps of a close:
//!
//! 1. `/ready` answers 503, so that the balancer sends no new requests.
//! 2. The request path refuses new requests and hands its tickets over to a successor.
//! 3. Queued and running requests get at most the close limit to end.
//! 4. Background tasks end.
//! 5. The admin server ends last.

use {
    crate::{
        RunError,
        admin::{AdminServer, AdminState, readiness_state::CLOSING_CONDITION},
        entry::{
            CloseReport, CloseSteps, EntryParts, EntrySockets, ProcessSignals, ReadyLine,
            RequestPath,
        },
        run_error::{CutByCloseSnafu, RuntimeSnafu},
        settings::{EntrySettings, SecondSignal},
    },
    kernel::{PluginEntry, StateMap},
    snafu::ResultExt,
    std::{
        io,
        time::{Duration, SystemTime},
    },
    tokio::runtime::{Builder, Runtime},
};

const ADMIN_CLOSE_LIMIT: Duration = Duration::from_secs(1);
const POOL_CLOSE_LIMIT: Duration = Duration::from_secs(5);

/// A running entry instance.
pub struct EntryProcess {
    admin: AdminServer,
    parts: EntryParts,
    path: RequestPath,
}

impl EntryProcess {
    /// Closes the parts in the order given at the head of this module.
    pub async fn close(self) -> CloseReport {
        let steps = CloseSteps::new(self.parts.settings.limits.close);
        self.parts
            .readiness
            .block(CLOSING_CONDITION, "this instance is closing");
        let report = steps
            .run("request path", self.path.close(steps.remaining()))
            .await;
        let ended = steps
            .run("background work", self.parts.pool.close(POOL_CLOSE_LIMIT))
            .await;
        if !ended {
            tracing::warn!("background work did not end in time");
        }
        steps
            .run("admin server", self.admin.close(ADMIN_CLOSE_LIMIT))
            .await;
        report
    }

    /// Runs an instance until a signal closes it.
    ///
    /// # Errors
    ///
    /// A socket can't be opened, or the close cut requests off.
    pub async fn run(settings: EntrySettings) -> Result<(), RunError> {
        let mut signals = ProcessSignals::new()?;
        let second_signal = settings.limits.second_signal;
        let (process, line, _) = Self::start(settings).await?;
        line.print()?;
        signals.wait_close().await;
        tracing::info!("closing");
        let gate = process.path.gate();
        let report = tokio::select! {
            report = process.close() => report,
            () = wait_second_signal(&mut signals, second_signal) => {
                let count = gate.open() as u64;
                return CutByCloseSnafu { cause: "a second signal", count }.fail();
            }
        };
        if report.cut > 0 {
            return CutByCloseSnafu {
                cause: "the close limit",
                count: report.cut,
            }
            .fail();
        }
        Ok(())
    }

    /// Opens the sockets and starts the parts. Returns the process, its addresses and the state that plug-ins read.
    ///
    /// # Errors
    ///
    /// A socket can't be opened.
    pub async fn start(settings: EntrySettings) -> Result<(Self, ReadyLine, StateMap), RunError> {
        let sockets = EntrySockets::bind(&settings.listen).await?;
        let admin_address = sockets.admin.local_addr().context(RuntimeSnafu)?;
        let callers_address = sockets.callers.local_addr().context(RuntimeSnafu)?;
        let parts = EntryParts::new(settings, SystemTime::now());
        let path = RequestPath::start(sockets.callers, &parts)?;
        let line = ReadyLine {
            admin: admin_address,
            callers: callers_address,
            instance: parts.identity.instance.clone(),
            peers: Some(path.peers_address()?),
        };
        PluginEntry::register_metrics(&parts.map, &parts.registry);
        let state = AdminState::builder()
            .readiness(parts.readiness.clone())
            .map(parts.map.clone())
            .registry(parts.registry.clone())
            .source(RequestPath::source(&parts))
            .build();
        let admin = AdminServer::start(sockets.admin, state);
        let map = parts.map.clone();
        Ok((Self { admin, parts, path }, line, map))
    }
}

/// Builds the runtime of an entry instance with `workers` threads, at least one.
///
/// # Errors
///
/// The operating system refuses the threads.
pub fn entry_runtime(workers: u32) -> io::Result<Runtime> {
    let workers = usize::try_from(workers).unwrap_or(1).max(1);
    Builder::new_multi_thread()
        .enable_all()
        .worker_threads(workers)
        .build()
}

async fn wait_second_signal(signals: &mut ProcessSignals, second_signal: SecondSignal) {
    match second_signal {
        SecondSignal::Ignored => std::future::pending().await,
        SecondSignal::Immediate => signals.wait_close().await,
    }
}
