//! Readings of the store that instances pass on to each other, so that its load does not grow with their number.
//!
//! In each availability zone one instance reads the list of upstreams and the routes; the others ask it and get what
//! changed. Nobody is set aside: [`ReaderPlan`] says who reads, for each instance by itself, also while the store refuses, is
//! silent, or all start together. [`SharedSource`] is an [`OperatorSource`](relay::OperatorSource), so that its user does not
//! know where a reading came from. Instances know each other from a directory in the store ([`MemberDirectory`]) and from
//! the questions that they ask each other.

pub mod awaited_answer;
pub mod directory_view;
pub mod list_digest;
pub mod list_journal;
pub mod list_mirror;
pub mod member_board;
pub mod member_directory;
pub mod member_row;
pub mod reader_plan;
pub mod reader_rest;
pub mod report_follower;
pub mod report_journal;
pub mod shared_source;
pub mod spread_message;
pub mod spread_server;
pub mod spread_state;
pub mod spread_times;
pub mod store_probe;
pub mod use_exchange;
pub mod use_message;
pub mod use_server;

pub use {
    awaited_answer::AwaitedAnswer,
    directory_view::DirectoryView,
    list_digest::{ListDigest, PartNumber},
    list_journal::ListJournal,
    list_mirror::ListMirror,
    member_board::MemberBoard,
    member_directory::MemberDirectory,
    member_row::MemberRow,
    reader_plan::{AskerState, ReadStep, ReaderPlan, UsePartners},
    reader_rest::ReaderRest,
    report_follower::ReportFollower,
    report_journal::{ReportJournal, ReportOrigin},
    shared_source::SharedSource,
    spread_message::{
        BookAge, BookCopy, HeldReply, ListChange, ListPart, PassedBook, ReadingMark, ReportNews,
        SpreadNews, SpreadReply, SpreadRequest,
    },
    spread_server::{SPREAD_TAG, SpreadServer},
    spread_state::{ReadFailure, SpreadState},
    spread_times::SpreadTimes,
    store_probe::StoreProbe,
    use_exchange::UseExchange,
    use_message::{UseCall, UseReply, UseSums},
    use_server::{USE_TAG, UseBoard},
};
