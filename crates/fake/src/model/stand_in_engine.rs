//! An engine's stand-in on its sockets.

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

/// The links that the engines of one availability zone share.
#[derive(Clone, Debug)]
pub struct EngineLinks {
    /// Carries KV caches.
    pub transfers: RateLink,
    /// Carries weights.
    pub weights: RateLink,
}

impl EngineLinks {
    /// Links with the rates of an engine's settings.
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

/// A running engine; clones share it.
#[derive(Clone, Debug)]
pub struct StandInEngine {
    admin: StandInServer,
    driver: EngineDriver,
    server: StandInServer,
}

impl StandInEngine {
    /// Where it answers.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Where it takes faults and shows counters.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Stops it as a crash would: open connections are closed, nothing is finished.
    pub async fn close(self) {
        self.server.close().await;
        self.admin.close().await;
        self.driver.close().await;
    }

    /// The counters.
    pub fn counters(&self) -> EngineCounters {
        self.driver.with(|core| core.counters())
    }

    /// What its process says when it is ready.
    pub fn ready_line(&self) -> ReadyLine {
        ReadyLine {
            address: self.address(),
            admin: self.admin_address(),
        }
    }

    /// Puts faults in place of the old ones.
    pub fn set_faults(&self, faults: EngineFaults) {
        let drops = faults.drop_connections;
        self.driver.handle(EngineEvent::Faults(faults));
        if drops {
            self.server.drop_connections();
        }
    }

    /// Starts it with links of its own.
    ///
    /// # Errors
    ///
    /// [`FakeError::Bind`] when an address can't be listened on.
    pub async fn start(settings: EngineSettings) -> Result<Self, FakeError> {
        let links = EngineLinks::new(&settings);
        Self::start_with_links(settings, links).await
    }

    /// Starts it with links that it shares with other engines of this process.
    ///
    /// # Errors
    ///
    /// [`FakeError::Bind`] when an address can't be listened on.
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

/// Runs an engine's stand-in as this process, until it is told to end.
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
