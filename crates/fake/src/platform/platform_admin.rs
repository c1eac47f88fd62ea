//! HTTP routes of the platform's admin interface.

use {
    super::{
        platform_counters::PlatformCounters, platform_faults::PlatformFaults,
        stand_in_platform::StandInPlatform,
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
pub(super) fn routes(platform: StandInPlatform) -> Router {
    Router::new()
        .route("/admin/counters", get(counters))
        .route("/admin/faults", post(set_faults))
        .route("/admin/restore", post(restore))
        .route("/admin/snapshot", post(take_snapshot))
        .with_state(platform)
}

async fn counters(State(platform): State<StandInPlatform>) -> Json<PlatformCounters> {
    Json(platform.counters())
}

async fn restore(State(platform): State<StandInPlatform>) -> StatusCode {
    platform.restore();
    StatusCode::NO_CONTENT
}

async fn set_faults(
    State(platform): State<StandInPlatform>,
    JsonBody(faults): JsonBody<PlatformFaults>,
) -> StatusCode {
    platform.set_faults(faults);
    StatusCode::NO_CONTENT
}

async fn take_snapshot(State(platform): State<StandInPlatform>) -> StatusCode {
    platform.take_snapshot();
    StatusCode::NO_CONTENT
}
