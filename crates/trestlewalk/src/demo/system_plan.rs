//! The configuration of the system of the demonstration.

use {
    engine::wire::engine_role::EngineRole,
    fake::{EngineSettings, LengthSpread, ServiceSettings},
    plat::{InstanceKind, InstanceRecord, InstanceState},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// The availability zones.
pub const ZONES: [&str; 3] = ["gijon", "santander", "ferrol"];
/// The services with model engines, each with its model.
pub const MODELS: [(&str, &str); 2] = [("redactor", "redactor-13b"), ("glaze-llm", "glaze-7b")];
/// The plain services.
pub const SERVICES: [&str; 2] = ["booking-app", "carta"];
/// The number of decode engines of each model in each availability zone.
pub const DECODE_ENGINES: usize = 2;
/// The distribution of the lengths of answers.
pub const LENGTH_SPREAD: LengthSpread = LengthSpread { least_share: 0.4 };

/// The table at the start of the day.
pub const TABLE: &str = "\
work,service,model,rank,weight,limit,zones,first_token,between_tokens,patience,repeat,retries,waste
booking-page,booking-app,,0,2,300,,200ms,,3s,yes,2,0
chart-tile,carta,,0,4,600,,250ms,,3s,yes,2,0
cone-schedule,glaze-llm,glaze-7b,3,2,120,,480ms,25ms,20s,yes,2,0.4
kiln-log,glaze-llm,glaze-7b,5,1,60,,,,40s,yes,2,0.2
line-check,redactor,redactor-13b,3,2,120,,,,40s,yes,2,0.05
slot-confirm,booking-app,,0,4,200,,250ms,,5s,no,1,0
slot-suggest,glaze-llm,glaze-7b,2,4,200,,480ms,25ms,10s,yes,2,0.5
wreck-contact,redactor,redactor-13b,2,4,60,,,,40s,yes,3,0.05
";

/// The operator's edit at noon, as the old and the new start of a row. `kiln-log` gets the lowest priority, and at most
/// twelve of its requests run at once, four in each availability zone.
pub const NOON_EDIT: (&str, &str) = (
    "kiln-log,glaze-llm,glaze-7b,5,1,60,",
    "kiln-log,glaze-llm,glaze-7b,9,1,12,",
);

/// The settings of one engine.
pub fn engine_settings(name: &str, model: &str, role: EngineRole) -> EngineSettings {
    EngineSettings::builder()
        .decode_base(Duration::from_millis(6))
        .decode_places(20)
        .decode_slope(Duration::from_micros(400))
        .length_spread(LENGTH_SPREAD)
        .models(vec![model.into()])
        .name(Arc::from(name))
        .role(role)
        .build()
}

/// The settings of one replica of a plain service.
pub fn service_settings() -> ServiceSettings {
    ServiceSettings {
        delay: Duration::from_millis(5),
        ..ServiceSettings::default()
    }
}

/// An entry of the platform's list of instances; the list names a live instance.
pub fn list_record(
    name: &str,
    zone: &str,
    kind: InstanceKind,
    service: Option<&str>,
    address: SocketAddr,
) -> InstanceRecord {
    InstanceRecord {
        address: address.to_string().into(),
        checks_fence: false,
        kind,
        model: None,
        name: name.into(),
        service: service.map(Into::into),
        state: InstanceState::Live,
        zone: zone.into(),
    }
}
