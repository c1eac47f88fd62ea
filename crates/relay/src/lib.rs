//! The request path of an instance that asks no allocator: each instance serves the operators' routes by its own view of
//! the upstreams, and the upstreams themselves refuse what does not fit.
//!
//! [`CallerServer`] takes requests, [`RequestDesk`] finds their row in the [`RouteBook`], [`PlainFlow`] and [`StreamFlow`]
//! call upstreams that the [`UpstreamTable`] chooses, and [`SourceWatch`] keeps both up to date from an
//! [`OperatorSource`]. How callers and upstreams speak is a [`CallerDialect`] and an [`UpstreamDialect`].

pub mod book_freshness;
pub mod call_end;
pub mod caller_limits;
pub mod caller_request;
pub mod caller_server;
pub mod connection_pulse;
pub mod crash_plugin;
pub mod crash_watch;
pub mod customer_access;
pub mod customer_book;
pub mod customer_counts;
pub mod customer_gate;
pub mod event_splitter;
pub mod leftover_guard;
pub mod link_pool;
pub mod open_call;
pub mod operator_source;
pub mod order_dialect;
pub mod place_finder;
pub mod plain_flow;
pub mod prompt_search;
pub mod quota_desk;
pub mod quota_plugin;
pub mod reader_role;
pub mod relay_body;
pub mod relay_core;
pub mod relay_counts;
pub mod relay_end;
pub mod relay_settings;
pub mod request_desk;
pub mod request_story;
pub mod route_book;
pub mod service_info;
pub mod source_watch;
pub mod stage_keeper;
pub mod start_gate;
pub mod store_calls;
pub mod store_plugin;
pub mod stream_flow;
pub mod stream_pump;
pub mod upstream_dialect;
pub mod vain_reading;
pub mod work_route;
pub mod zone_size;

pub use {
    book_freshness::BookFreshness,
    call_end::{CallEnd, UpstreamAnswer},
    caller_limits::CallerLimits,
    caller_request::{CallerHead, CallerRequest, PromptInfo, PromptPart, RequestId},
    caller_server::CallerServer,
    connection_pulse::ConnectionPulse,
    crash_watch::CrashWatch,
    customer_access::CustomerAccess,
    customer_book::{CustomerBook, CustomerInfo, CustomerRow},
    customer_counts::CustomerCounts,
    customer_gate::{GateReason, GateRefusal},
    event_splitter::{EventRun, EventSplitter},
    leftover_guard::LeftoverGuard,
    link_pool::{LinkError, LinkKey, LinkPool, LinkTimes, OpenLink},
    open_call::{OpenCall, UpstreamBoard},
    operator_source::{
        BookNews, BookReading, OperatorSource, ReportMark, ReportReading, SourceError,
        StoreVersion, UpstreamReading,
    },
    order_dialect::{OrderDialect, OrderState, StageOrder},
    place_finder::{PlaceFinder, ReservedPlace},
    plain_flow::PlainFlow,
    quota_desk::{QuotaCharge, QuotaDesk},
    reader_role::ReaderRole,
    relay_body::{AnswerCut, RelayBody},
    relay_core::{CallPlan, RelayCore},
    relay_counts::RelayCounts,
    relay_end::OwnAnswer,
    relay_settings::RelaySettings,
    request_desk::RequestDesk,
    request_story::{RequestStory, StoryStart},
    route_book::RouteBook,
    service_info::{EngineInfo, ServiceInfo},
    source_watch::{SourceWatch, WatchTimes},
    stage_keeper::{StageKeeper, StageSettings},
    start_gate::StartGate,
    store_calls::{CallKind, CallOutcome, CallReason, StoreCallRow, StoreCalls},
    stream_flow::{BegunStream, StreamFlow, StreamStart},
    stream_pump::StreamPump,
    upstream_dialect::{
        CallPurpose, CallerDialect, HeadFault, KeyFault, KvHandle, Leftover, PlaceName, ReplyFacts,
        UpstreamCall, UpstreamDialect,
    },
    vain_reading::VainReading,
    work_route::{RouteTarget, WorkRoute},
    zone_size::ZoneSize,
};
