//! The settings of an entry instance. `docs/SETTINGS.md` lists them field by field.

pub mod control_settings;
pub mod entry_settings;
pub mod heartbeat_settings;
pub mod human_duration;
pub mod human_size;
pub mod key_settings;
pub mod limit_settings;
pub mod listen_settings;
pub mod log_settings;
pub mod peer_settings;
pub mod platform_settings;
pub mod upstream_settings;
pub mod work_defaults;

pub use {
    control_settings::{ControlSettings, RoleMoves},
    entry_settings::EntrySettings,
    heartbeat_settings::HeartbeatSettings,
    human_duration::HumanDuration,
    human_size::HumanSize,
    key_settings::KeySettings,
    limit_settings::{LimitSettings, SecondSignal},
    listen_settings::ListenSettings,
    log_settings::{LogFormat, LogLevel, LogSettings},
    peer_settings::PeerSettings,
    platform_settings::PlatformSettings,
    upstream_settings::UpstreamSettings,
    work_defaults::WorkDefaults,
};
