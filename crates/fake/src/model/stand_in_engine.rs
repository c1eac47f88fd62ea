//! An engine's stand-in with its listeners.

use {
    super::{
        engine_admin,
        engine_core::EngineCore,
        engine_counters::EngineCounters,
        engine_driver::EngineDriver,
        engine_event::EngineEvent,
        engine_faults::EngineFaults,
        engine_routes::{self, EngineState},
        engine_settings::EngineSettings,
        rate_link::RateLink,
    },
    crate::{
        fake_error::FakeError,
        net::{ConnectionGate, OpenGate, StandInServer},
        ready_line::{ReadyLine, wait_for_shutdown},
    },
    kernel::unix_time,
    std::{
        net::SocketAddr,
        time::{Instant, SystemTime},
    },
};

/// Links shared by the engines of one availability zone.
#[derive(Clone, Debug)]
pub struct EngineLinks {
    /// Link for KV cache transfers.
    pub transfers: RateLink,
    /// Weight store.
    pub weights: RateLink,
}

impl EngineLinks {
    /// Creates links with the bandwidths from an engine's settings.
    pub fn new(settings: &EngineSettings) -> Self {
        Self {
            transfers: RateLink::new(settings.link_bytes_per_second),
            weights: RateLink::new(settings.weight_bytes_per_second),
        }
    }
}

impl ConnectionGate for EngineDriver {
    fn admits_connection(&self) -> bool {
        self.with(|core| !core.faults().drop_connections)
    }

    fn admits_request(&self, _earlier_requests: u64) -> bool {
        self.admits_connection()
    }
}

/// A running engine; clones share the state.
#[derive(Clone, Debug)]
pub struct StandInEngine {
    admin: StandInServer,
    driver: EngineDriver,
    server: StandInServer,
}

impl StandInEngine {
    /// Address of the stand-in's own interface.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Address of the admin interface, which accepts faults and serves counters.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Stops it like a crash: open connections are closed and active runs are lost.
    pub async fn close(self) {
        self.server.close().await;
        self.admin.close().await;
        self.driver.close().await;
    }

    /// Counts since the stand-in started.
    pub fn counters(&self) -> EngineCounters {
        self.driver.with(|core| core.counters())
    }

    /// Line that the process prints once it is listening.
    pub fn ready_line(&self) -> ReadyLine {
        ReadyLine {
            address: self.address(),
            admin: self.admin_address(),
        }
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        let drops = faults.drop_connections;
        self.driver.handle(EngineEvent::Faults(faults));
        if drops {
            self.server.drop_connections();
        }
    }

    /// Starts an engine with its own links.
    ///
    /// # Errors
    ///
    /// [`FakeError::Bind`] when a listener cannot be bound.
    pub async fn start(settings: EngineSettings) -> Result<Self, FakeError> {
        let links = EngineLinks::new(&settings);
        Self::start_with_links(settings, links).await
    }

    /// Starts an engine with links that it shares with other engines of this process.
    ///
    /// # Errors
    ///
    /// [`FakeError::Bind`] when a listener cannot be bound.
    pub async fn start_with_links(
        settings: EngineSettings,
        links: EngineLinks,
    ) -> Result<Self, FakeError> {
        let (server, listener) = StandInServer::bind(settings.address).await?;
        let (admin, admin_listener) = StandInServer::bind(settings.admin).await?;
        let name = settings.name.clone();
        let first_handle = unix_time::micros(SystemTime::now());
        let core = EngineCore::new(settings, Instant::now(), first_handle);
        let driver = EngineDriver::new(core, server.address(), links);
        let engine = Self {
            admin,
            driver,
            server,
        };
        let state = EngineState::new(engine.driver.clone(), name);
        let router = engine_routes::routes(state);
        engine.server.serve(listener, router, engine.driver.clone());
        let admin_router = engine_admin::routes(engine.clone());
        engine.admin.serve(admin_listener, admin_router, OpenGate);
        Ok(engine)
    }
}

/// Runs an engine's stand-in in this process until SIGTERM or SIGINT.
///
/// # Errors
///
/// [`FakeError::Bind`] and [`FakeError::Signal`].
pub async fn run_engine(settings: EngineSettings) -> Result<(), FakeError> {
    let engine = StandInEngine::start(settings).await?;
    engine.ready_line().print();
    wait_for_shutdown().await?;
    engine.close().await;
    Ok(())
}
