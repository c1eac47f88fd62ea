//! A plain service's stand-in with its listeners.

use {
    super::{
        service_counters::ServiceCounters, service_faults::ServiceFaults, service_routes,
        service_settings::ServiceSettings, service_state::ServiceState,
    },
    crate::{
        fake_error::FakeError,
        net::{JsonBody, OpenGate, StandInServer},
        ready_line::{ReadyLine, wait_for_shutdown},
    },
    axum::{
        Json, Router,
        extract::State,
        routing::{get, post},
    },
    http::StatusCode,
    std::net::SocketAddr,
};

/// A running service; clones share the state.
#[derive(Clone, Debug)]
pub struct StandInService {
    admin: StandInServer,
    server: StandInServer,
    state: ServiceState,
}

impl StandInService {
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
    pub fn counters(&self) -> ServiceCounters {
        self.state.with(|shared| shared.counters.clone())
    }

    /// Line that the process prints once it is listening.
    pub fn ready_line(&self) -> ReadyLine {
        ReadyLine {
            address: self.address(),
            admin: self.admin_address(),
        }
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        let drops = faults.drop_connections;
        self.state.with(|shared| shared.faults = faults);
        if drops {
            self.server.drop_connections();
        }
    }

    /// Binds the listeners and starts the stand-in.
    ///
    /// # Errors
    ///
    /// [`FakeError::Bind`] when a listener cannot be bound.
    pub async fn start(settings: ServiceSettings) -> Result<Self, FakeError> {
        let (server, listener) = StandInServer::bind(settings.address).await?;
        let (admin, admin_listener) = StandInServer::bind(settings.admin).await?;
        let service = Self {
            admin,
            server,
            state: ServiceState::new(settings.delay),
        };
        let router = service_routes::routes(service.state.clone());
        service
            .server
            .serve(listener, router, service.state.clone());
        let admin_router = admin_routes(service.clone());
        service.admin.serve(admin_listener, admin_router, OpenGate);
        Ok(service)
    }
}

/// Runs a service's stand-in in this process until SIGTERM or SIGINT.
///
/// # Errors
///
/// [`FakeError::Bind`] and [`FakeError::Signal`].
pub async fn run_service(settings: ServiceSettings) -> Result<(), FakeError> {
    let service = StandInService::start(settings).await?;
    service.ready_line().print();
    wait_for_shutdown().await?;
    service.close().await;
    Ok(())
}

fn admin_routes(service: StandInService) -> Router {
    Router::new()
        .route("/admin/counters", get(counters))
        .route("/admin/faults", post(set_faults))
        .with_state(service)
}

async fn counters(State(service): State<StandInService>) -> Json<ServiceCounters> {
    Json(service.counters())
}

async fn set_faults(
    State(service): State<StandInService>,
    JsonBody(faults): JsonBody<ServiceFaults>,
) -> StatusCode {
    service.set_faults(faults);
    StatusCode::NO_CONTENT
}
