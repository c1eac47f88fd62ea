//! The request path of an instance that runs without an allocator: each instance routes by its own view of the
//! upstreams, and the upstreams reject what exceeds their capacity.
//!
//! [`CallerServer`] accepts requests, [`RequestHandler`] finds their route in the [`RouteTable`], [`PlainFlow`] and
//! [`StreamFlow`] call upstreams chosen from [`SharedUpstreams`], and [`SourceWatch`] keeps both tables up to date from
//! an [`OperatorSource`]. The wire protocols of callers and upstreams are behind [`CallerDialect`] and
//! [`UpstreamDialect`].

pub mod access_refusal;
pub mod answer_owner;
pub mod answer_place;
pub mod body_allowance;
pub mod buffer_budget;
pub mod call_end;
pub mod call_watch;
pub mod caller_limits;
pub mod caller_request;
pub mod caller_server;
pub mod capacity_reader;
pub mod close_clock;
pub mod connection_activity;
pub mod connection_headers;
pub mod connection_pool;
pub mod counted_buffer;
pub mod crash_plugin;
pub mod crash_watch;
pub mod customer_access;
pub mod customer_counts;
pub mod customer_table;
pub mod error_response;
pub mod event_splitter;
pub mod fleet_view;
pub mod flow_failure;
pub mod forward_queue;
pub mod forwarded_request;
pub mod head_meter;
pub mod header_value;
pub mod held_place;
mod list_progress;
pub mod load_gauges;
pub mod not_run_reason;
pub mod open_call;
pub mod operator_source;
pub mod order_dialect;
pub mod piece_channel;
pub mod place_client;
pub mod place_counts;
pub mod place_job;
pub mod place_plugin;
mod place_query;
pub mod place_scope;
pub mod plain_flow;
pub mod prompt_search;
pub mod quota_buckets;
pub mod quota_plugin;
pub mod rate_news;
pub mod rate_plugin;
pub mod reach_watch;
pub mod reader_role;
pub mod relay_body;
pub mod relay_core;
pub mod relay_counts;
pub mod relay_settings;
pub mod request_handler;
pub mod request_trace;
pub mod resource_guard;
pub mod resumed_software;
pub mod route_freshness;
pub mod route_table;
pub mod run_count;
pub mod scheduler_host;
pub mod search_counts;
pub mod search_outcome;
pub mod service_info;
pub mod silence_guard;
pub mod slot_finder;
pub mod slot_wait;
pub mod socket_options;
pub mod software_notes;
pub mod software_plugin;
pub mod software_source;
pub mod source_watch;
pub mod stage_controller;
pub mod start_gate;
pub mod statement_plugin;
pub mod store_calls;
pub mod store_plugin;
pub mod stream_flow;
pub mod stream_pump;
pub mod unread_headers;
pub mod upstream_dialect;
pub mod used_connections;
pub mod wasted_prefill;
pub mod watched_stream;
pub mod work_route;

pub use {
    access_refusal::{AccessRefusal, RefusalReason},
    answer_owner::AnswerOwner,
    answer_place::AnswerPlace,
    body_allowance::BodyAllowance,
    buffer_budget::{BufferBudget, BufferedBody, CollectError},
    call_end::{CallEnd, UpstreamAnswer},
    call_watch::CallWatch,
    caller_limits::CallerLimits,
    caller_request::{CallerHead, CallerRequest, PromptInfo, PromptPart, RequestId},
    caller_server::CallerServer,
    capacity_reader::CapacityReader,
    close_clock::CloseClock,
    connection_activity::ConnectionActivity,
    connection_pool::{
        ConnectionError, ConnectionKey, ConnectionPool, ConnectionSerial, ConnectionTimeouts,
        OpenConnection,
    },
    counted_buffer::CountedBuffer,
    crash_watch::CrashWatch,
    customer_access::CustomerAccess,
    customer_counts::CustomerCounts,
    customer_table::{CustomerInfo, CustomerRow, CustomerTable},
    error_response::ErrorResponse,
    event_splitter::{EventBatch, EventSplitter},
    fleet_view::FleetView,
    flow_failure::FlowFailure,
    forward_queue::{ForwardEnd, ForwardJob, ForwardQueue},
    forwarded_request::ForwardedRequest,
    head_meter::HeadMeter,
    held_place::{HeldEntry, HeldPlace},
    load_gauges::LoadGauges,
    not_run_reason::NotRunReason,
    open_call::{OpenCall, SharedUpstreams},
    operator_source::{
        OperatorSource, ReportBatch, ReportCursor, RouteSnapshot, RouteUpdate, SourceError,
        UpstreamChange, UpstreamChanges, UpstreamSnapshot,
    },
    order_dialect::{OrderDialect, OrderState, StageOrder},
    piece_channel::{CallerLeft, PieceReceiver, PieceSender, piece_channel},
    place_client::PlaceClient,
    place_counts::{PlaceCounts, PlaceOutcome},
    place_job::{PlaceAnswer, PlaceJob},
    place_scope::PlaceScope,
    plain_flow::PlainFlow,
    quota_buckets::{QuotaBuckets, QuotaCharge},
    rate_news::RateNews,
    reach_watch::ReachWatch,
    reader_role::ReaderRole,
    relay_body::{AnswerCut, RelayBody},
    relay_core::{RelayCore, calling::CallPlan},
    relay_counts::RelayCounts,
    relay_settings::RelaySettings,
    request_handler::RequestHandler,
    request_trace::{RequestTrace, TraceContext},
    resource_guard::ResourceGuard,
    resumed_software::ResumedSoftware,
    route_freshness::RouteFreshness,
    route_table::RouteTable,
    run_count::RunCount,
    scheduler_host::{AskOutcome, HostedRows, KeptCall, SchedulerHost, SchedulerLife},
    search_counts::SearchCounts,
    search_outcome::SearchOutcome,
    service_info::{EngineInfo, ServiceInfo},
    slot_finder::{ReservedSlot, SlotFinder},
    slot_wait::SlotWait,
    software_notes::{NoteJob, SoftwareNotes},
    software_source::SoftwareSource,
    source_watch::{RECOVERY_NOTICE, SourceWatch, WatchTimes},
    stage_controller::{StageController, StageSettings},
    start_gate::StartGate,
    store_calls::{CallKind, CallOutcome, CallReason, StoreCallRow, StoreCalls},
    stream_flow::{StartedStream, StreamFlow, StreamStart},
    stream_pump::StreamPump,
    unread_headers::UnreadHeaders,
    upstream_dialect::{
        CallPurpose, CallerDialect, EngineResource, HeadFault, KeyFault, KvHandle, ReplyFacts,
        SlotName, UpstreamCall, UpstreamDialect,
    },
    used_connections::UsedConnections,
    wasted_prefill::WastedPrefill,
    watched_stream::{StreamWatch, WatchedStream},
    work_route::{RouteTarget, WorkRoute},
};
