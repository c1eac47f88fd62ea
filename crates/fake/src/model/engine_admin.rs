//! HTTP routes of an engine's admin interface.

use {
    super::{
        engine_counters::EngineCounters, engine_faults::EngineFaults,
        stand_in_engine::StandInEngine,
    },
    crate::net::JsonBody,
    axum::{
        Json, Router,
        extract::State,
        routing::{get, post},
    },
    http::StatusCode,
};

/// Creates the router of the admin address.
pub(super) fn routes(engine: StandInEngine) -> Router {
    Router::new()
        .route("/admin/counters", get(counters))
        .route("/admin/faults", post(set_faults))
        .with_state(engine)
}

async fn counters(State(engine): State<StandInEngine>) -> Json<EngineCounters> {
    Json(engine.counters())
}

async fn set_faults(
    State(engine): State<StandInEngine>,
    JsonBody(faults): JsonBody<EngineFaults>,
) -> StatusCode {
    engine.set_faults(faults);
    StatusCode::NO_CONTENT
}
