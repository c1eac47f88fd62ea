//! What the path bench measures: stand-ins here, and one entry instance as a process of its own.

use {
    crate::{
        bench_error::{BenchError, FakeStartSnafu, KeysSnafu, PlatformSnafu},
        path::child_entry::ChildEntry,
    },
    engine::wire::engine_role::EngineRole,
    fake::{EngineSettings, PlatformSettings, StandInEngine, StandInPlatform, model::EngineLinks},
    kernel::unix_time,
    plat::{
        EditOrigin, EditRequest, HttpPlatform, InstanceKind, InstanceRecord, InstanceState,
        TableRepository,
    },
    snafu::ResultExt,
    std::{
        net::SocketAddr,
        time::{Duration, SystemTime},
    },
    table::{FileBase, read_csv},
    trestlewalk::{
        EntrySettings,
        settings::{KeySettings, TestKeys},
    },
};

const INSTANCE: &str = "bench-1";
/// The model that the engines serve.
pub const MODEL: &str = "bench-model";
const ZONE: &str = "bench";
/// So fast that the stand-in's own work is lost in the noise.
const FAST_RATE: f64 = 1e12;
const TABLE: &str = "\
work,service,model,rank,weight,limit,zones,first_token,between_tokens,patience,repeat,retries,waste
bench,bench-service,bench-model,1,1,,,,,60s,yes,2,1
";

/// The running world.
pub struct PathWorld {
    /// The decode engine.
    pub decode: StandInEngine,
    /// The entry instance.
    pub entry: ChildEntry,
    platform: StandInPlatform,
    /// The prefill engine.
    pub prefill: StandInEngine,
}

impl PathWorld {
    /// Closes the stand-ins and ends the entry instance.
    pub async fn close(self) {
        drop(self.entry);
        self.decode.close().await;
        self.prefill.close().await;
        self.platform.close().await;
    }

    /// Starts a world whose streams give a token each `token_time`.
    ///
    /// # Errors
    ///
    /// A stand-in or the entry instance can't be started.
    pub async fn start(token_time: Duration, places: u32) -> Result<Self, BenchError> {
        let platform = StandInPlatform::start(PlatformSettings::default())
            .await
            .context(FakeStartSnafu)?;
        let prefill = start_engine(EngineRole::Prefill, token_time, places).await?;
        let decode = start_engine(EngineRole::Decode, token_time, places).await?;
        platform.put_instance(record(
            "prefill-1",
            InstanceKind::Prefill,
            prefill.address(),
        ));
        platform.put_instance(record("decode-1", InstanceKind::Decode, decode.address()));
        put_table(platform.address()).await?;
        let entry = ChildEntry::start(&entry_settings(platform.address())?)?;
        platform.put_instance(record(INSTANCE, InstanceKind::Entry, entry.peers));
        Ok(Self {
            decode,
            entry,
            platform,
            prefill,
        })
    }
}

fn entry_settings(platform: SocketAddr) -> Result<EntrySettings, BenchError> {
    let (_, mut keys) = peer::make_test_keys(&[INSTANCE]).context(KeysSnafu)?;
    let mut settings = EntrySettings {
        instance: INSTANCE.into(),
        zone: ZONE.into(),
        ..EntrySettings::default()
    };
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    settings.listen.admin = loopback;
    settings.listen.callers = loopback;
    settings.listen.peers = loopback;
    settings.platform.address = platform;
    if let Some(keys) = keys.pop() {
        let test = TestKeys {
            authority: keys.authorities,
            certificate: keys.certificate,
            key: keys.private_key,
        };
        settings.keys = KeySettings {
            test: Some(test),
            ..KeySettings::default()
        };
    }
    Ok(settings)
}

async fn put_table(platform: SocketAddr) -> Result<(), BenchError> {
    let client = HttpPlatform::builder()
        .address(format!("http://{platform}"))
        .build()
        .context(PlatformSnafu)?;
    let rows = read_csv("the bench's table", TABLE.as_bytes())
        .map(|file| file.rows)
        .unwrap_or_default();
    let at = unix_time::since_epoch(SystemTime::now());
    let origin = EditOrigin {
        at,
        author: "bench".into(),
        floor: 0,
        id: "bench".into(),
    };
    let edit = EditRequest {
        base: FileBase {
            digest: None,
            version: 0,
        },
        origin,
        rows,
    };
    TableRepository::new(client)
        .commit_edit(&edit)
        .await
        .context(PlatformSnafu)?;
    Ok(())
}

fn record(name: &str, kind: InstanceKind, address: SocketAddr) -> InstanceRecord {
    InstanceRecord {
        address: address.to_string().into(),
        checks_fence: false,
        kind,
        model: Some(MODEL.into()),
        name: name.into(),
        service: Some("bench-service".into()),
        state: InstanceState::Live,
        zone: ZONE.into(),
    }
}

async fn start_engine(
    role: EngineRole,
    token_time: Duration,
    places: u32,
) -> Result<StandInEngine, BenchError> {
    let settings = EngineSettings::builder()
        .decode_base(token_time)
        .decode_places(places)
        .decode_slope(Duration::ZERO)
        .link_bytes_per_second(FAST_RATE)
        .models(vec![MODEL.into()])
        .name(format!("{role:?}").into())
        .prefill_rate(FAST_RATE)
        .queue_limit(places as usize * 2)
        .readers(places as usize)
        .role(role)
        .build();
    let links = EngineLinks::new(&settings);
    StandInEngine::start_with_links(settings, links)
        .await
        .context(FakeStartSnafu)
}
