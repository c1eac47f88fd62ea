//! Shares what instances read from the platform's store, so that the load on the store does not
//! grow with the number of instances.
//!
//! In each availability zone one instance, the reader, reads the list of upstreams and the routes.
//! The others request updates from it and get only what changed. No instance is configured as the
//! reader: [`ReaderElection`] decides on each instance independently which one it is, also while
//! the store refuses, is silent, or all instances start together. [`SharedSource`] implements
//! [`OperatorSource`](relay::OperatorSource), so its caller does not know whether an update came
//! from the store or from a peer. Instances discover each other from a directory in the store
//! ([`MemberDirectory`]) and from the requests they receive.

pub mod directory_view;
pub mod list_digest;
pub mod list_journal;
pub mod list_mirror;
pub mod list_reader;
mod log_rows;
pub mod lone_source;
pub mod member_directory;
pub mod member_registry;
pub mod member_row;
pub mod note_exchange;
pub mod note_message;
pub mod note_server;
pub mod note_store;
pub mod peer_cooldown;
pub mod pending_request;
pub mod place_exchange;
pub mod place_message;
pub mod place_server;
pub mod reader_election;
pub mod report_journal;
pub mod report_watcher;
pub mod shared_source;
pub mod silent_schedulers;
pub mod software_directory;
pub mod spread_message;
pub mod spread_server;
pub mod spread_state;
pub mod spread_times;
pub mod store_probe;
pub mod usage_exchange;
pub mod usage_message;
pub mod usage_server;
pub mod version_keeper;
mod version_reader;

pub use {
    directory_view::DirectoryView,
    list_digest::{ListDigest, PartNumber},
    list_journal::ListJournal,
    list_mirror::ListMirror,
    list_reader::ListReader,
    lone_source::LoneSource,
    member_directory::MemberDirectory,
    member_registry::MemberRegistry,
    member_row::MemberRow,
    note_exchange::NoteExchange,
    note_message::{NOTE_TAG, NoteReply, NoteRequest},
    note_server::NoteServer,
    note_store::NoteStore,
    peer_cooldown::PeerCooldown,
    pending_request::PendingRequest,
    place_exchange::PlaceExchange,
    place_message::{PLACE_TAG, PlaceCall, PlaceResult},
    place_server::PlaceServer,
    reader_election::{ReadStep, ReaderElection, RequesterState, UsagePeers},
    report_journal::{ReportJournal, ReportOrigin},
    report_watcher::ReportWatcher,
    shared_source::SharedSource,
    silent_schedulers::SilentSchedulers,
    software_directory::SoftwareDirectory,
    spread_message::{
        JournalPosition, ListChange, ListPart, PeerRoutes, ReportUpdate, RouteTableAge,
        RouteTableCopy, SpreadReply, SpreadRequest, SpreadUpdate, TimedReply,
    },
    spread_server::{SPREAD_TAG, SpreadServer},
    spread_state::{ReadFailure, SpreadState},
    spread_times::SpreadTimes,
    store_probe::StoreProbe,
    usage_exchange::UsageExchange,
    usage_message::{UsageReply, UsageRequest, UsageSummary},
    usage_server::{USAGE_TAG, UsageServer},
    version_keeper::VersionKeeper,
};
