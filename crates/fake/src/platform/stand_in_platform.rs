//! The platform's stand-in with its listeners.

use {
    super::{
        platform_admin, platform_core::PlatformCore, platform_counters::PlatformCounters,
        platform_faults::PlatformFaults, platform_routes, platform_settings::PlatformSettings,
    },
    crate::{
        fake_error::FakeError,
        net::{ConnectionGate, OpenGate, StandInServer},
        ready_line::{ReadyLine, wait_for_shutdown},
    },
    plat::InstanceRecord,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Instant,
    },
};

/// The core behind a lock that is never held across an await.
#[derive(Clone, Debug)]
pub(super) struct PlatformState {
    core: Arc<Mutex<PlatformCore>>,
}

impl PlatformState {
    /// Runs a closure on the core while its lock is held.
    pub(super) fn with<T>(&self, work: impl FnOnce(&mut PlatformCore) -> T) -> T {
        let mut core = self
            .core
            .lock()
            .unwrap_or_else(|poison| poison.into_inner());
        work(&mut core)
    }
}

impl ConnectionGate for PlatformState {
    fn admits_connection(&self) -> bool {
        self.with(|core| !core.faults().down)
    }

    fn admits_request(&self, _earlier_requests: u64) -> bool {
        self.admits_connection()
    }
}

/// A running platform; clones share the state.
#[derive(Clone, Debug)]
pub struct StandInPlatform {
    admin: StandInServer,
    server: StandInServer,
    state: PlatformState,
}

impl StandInPlatform {
    /// Address of the stand-in's own interface.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Address of the admin interface, which accepts faults and serves counters.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Stops the stand-in and closes open connections.
    pub async fn close(self) {
        self.server.close().await;
        self.admin.close().await;
    }

    /// Counts since the stand-in started.
    pub fn counters(&self) -> PlatformCounters {
        self.state.with(|core| core.counters().clone())
    }

    /// Adds an instance or replaces the one of the same name.
    pub fn put_instance(&self, record: InstanceRecord) {
        self.state
            .with(|core| core.put_instance(Instant::now(), record));
    }

    /// Line that the process prints once it is listening.
    pub fn ready_line(&self) -> ReadyLine {
        ReadyLine {
            address: self.address(),
            admin: self.admin_address(),
        }
    }

    /// Removes an instance; the flag is `false` if it was not listed.
    pub fn remove_instance(&self, name: &str) -> bool {
        self.state
            .with(|core| core.remove_instance(Instant::now(), name).0)
    }

    /// Restores the last snapshot of rows and objects.
    pub fn restore(&self) {
        self.state.with(PlatformCore::restore);
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        let down = faults.down;
        self.state.with(|core| core.set_faults(faults));
        if down {
            self.server.drop_connections();
        }
    }

    /// Binds the listeners and starts the stand-in.
    ///
    /// # Errors
    ///
    /// [`FakeError::Bind`] when a listener cannot be bound.
    pub async fn start(settings: PlatformSettings) -> Result<Self, FakeError> {
        let (server, listener) = StandInServer::bind(settings.address).await?;
        let (admin, admin_listener) = StandInServer::bind(settings.admin).await?;
        let state = PlatformState {
            core: Arc::new(Mutex::new(PlatformCore::new(&settings))),
        };
        let platform = Self {
            admin,
            server,
            state,
        };
        let router = platform_routes::routes(platform.state.clone());
        platform
            .server
            .serve(listener, router, platform.state.clone());
        let admin_router = platform_admin::routes(platform.clone());
        platform.admin.serve(admin_listener, admin_router, OpenGate);
        Ok(platform)
    }

    /// Saves the rows and objects for [`Self::restore`].
    pub fn take_snapshot(&self) {
        self.state.with(PlatformCore::take_snapshot);
    }
}

/// Runs the platform's stand-in in this process until SIGTERM or SIGINT.
///
/// # Errors
///
/// [`FakeError::Bind`] and [`FakeError::Signal`].
pub async fn run_platform(settings: PlatformSettings) -> Result<(), FakeError> {
    let platform = StandInPlatform::start(settings).await?;
    platform.ready_line().print();
    wait_for_shutdown().await?;
    platform.close().await;
    Ok(())
}
