//! The platform's stand-in on its sockets.

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

/// The core behind its lock, which is never held across an await.
#[derive(Clone, Debug)]
pub(super) struct PlatformState {
    core: Arc<Mutex<PlatformCore>>,
}

impl PlatformState {
    /// Does something with the core.
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

/// A running platform; clones share it.
#[derive(Clone, Debug)]
pub struct StandInPlatform {
    admin: StandInServer,
    server: StandInServer,
    state: PlatformState,
}

impl StandInPlatform {
    /// Where it answers.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Where it takes faults and shows counters.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Stops it; open connections are closed.
    pub async fn close(self) {
        self.server.close().await;
        self.admin.close().await;
    }

    /// The counters.
    pub fn counters(&self) -> PlatformCounters {
        self.state.with(|core| core.counters().clone())
    }

    /// Puts an instance in the list.
    pub fn put_instance(&self, record: InstanceRecord) {
        self.state
            .with(|core| core.put_instance(Instant::now(), record));
    }

    /// What its process says when it is ready.
    pub fn ready_line(&self) -> ReadyLine {
        ReadyLine {
            address: self.address(),
            admin: self.admin_address(),
        }
    }

    /// Takes an instance off the list; `false` if it was not there.
    pub fn remove_instance(&self, name: &str) -> bool {
        self.state
            .with(|core| core.remove_instance(Instant::now(), name).0)
    }

    /// Goes back to the last snapshot of rows and objects.
    pub fn restore(&self) {
        self.state.with(PlatformCore::restore);
    }

    /// Puts faults in place of the old ones.
    pub fn set_faults(&self, faults: PlatformFaults) {
        let down = faults.down;
        self.state.with(|core| core.set_faults(faults));
        if down {
            self.server.drop_connections();
        }
    }

    /// Starts it.
    ///
    /// # Errors
    ///
    /// [`FakeError::Bind`] when an address can't be listened on.
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

    /// Keeps a copy of rows and objects.
    pub fn take_snapshot(&self) {
        self.state.with(PlatformCore::take_snapshot);
    }
}

/// Runs the platform's stand-in as this process, until it is told to end.
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
