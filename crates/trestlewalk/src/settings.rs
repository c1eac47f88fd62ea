//! The settings of an entry instance. `docs/SETTINGS.md` lists them field by field.

pub mod control_settings;
pub mod entry_settings;
pub mod fault_list;
pub mod field_path;
pub mod heartbeat_settings;
pub mod human_duration;
pub mod human_size;
pub mod key_settings;
pub mod limit_settings;
pub mod listen_settings;
pub mod log_settings;
pub mod name_check;
pub mod node_error;
pub mod node_reader;
pub mod peer_settings;
pub mod platform_settings;
pub mod relay_file;
pub mod setting_override;
pub mod settings_check;
pub mod settings_fault;
pub mod settings_file;
pub mod settings_node;
pub mod settings_reader;
pub mod upstream_settings;
pub mod work_defaults;

pub use {
    control_settings::{ControlSettings, RoleMoves},
    entry_settings::EntrySettings,
    heartbeat_settings::HeartbeatSettings,
    human_duration::HumanDuration,
    human_size::HumanSize,
    key_settings::{KeySettings, TestKeys},
    limit_settings::{LimitSettings, SecondSignal},
    listen_settings::ListenSettings,
    log_settings::{LogFormat, LogLevel, LogSettings},
    peer_settings::PeerSettings,
    platform_settings::PlatformSettings,
    relay_file::{RelayCapacity, RelayFile, parse_relay_file},
    setting_override::SettingOverride,
    settings_fault::{FaultPlace, SettingsFault},
    settings_file::{load_settings, parse_settings},
    settings_reader::SettingsReader,
    upstream_settings::UpstreamSettings,
    work_defaults::WorkDefaults,
};
