//! At-most-once execution: tickets, keyed claims, and request types that track whether a request was dispatched.
//!
//! An [`UnsentRequest`] is consumed by its dispatch, and only an undispatched one can be answered as not run. A
//! [`TicketTable`] decides whether a ticket may run here; a [`KeyedClaim`] maps a caller's idempotency key to a
//! ticket. Both do no I/O and take the time as an argument; [`ClaimKeeper`] reads and writes the platform's
//! rows.

pub mod answer_cache;
pub mod answer_size;
pub mod claim_error;
pub mod claim_keeper;
pub mod claim_key;
pub mod claim_record;
pub mod claim_sweep;
pub mod claim_watch;
pub mod closed_table;
pub mod forward_table;
pub mod hand_over;
pub mod incarnation_key;
pub mod incarnation_tickets;
pub mod keyed_claim;
pub mod not_run;
pub mod not_run_evidence;
mod outstanding_count;
pub mod request_outcome;
pub mod run_permit;
pub mod sent_request;
pub mod submit_verdict;
pub mod ticket;
pub mod ticket_settings;
pub mod ticket_state;
pub mod ticket_table;
pub mod unsent_request;

pub use {
    answer_size::AnswerSize,
    claim_error::ClaimError,
    claim_keeper::{ClaimKeeper, ClaimVerdict},
    claim_key::claim_key,
    claim_record::ClaimRecord,
    claim_watch::{ClaimWatch, ClockReading},
    closed_table::ClosedTable,
    forward_table::{ForwardRoute, ForwardTable},
    hand_over::{HandOver, HandOverReply},
    incarnation_key::IncarnationKey,
    keyed_claim::{ClaimAction, ClaimEvent, KeyedClaim},
    not_run::NotRun,
    not_run_evidence::NotRunEvidence,
    request_outcome::{OriginReply, RequestOutcome},
    run_permit::{PermitDispatch, RunPermit, RunTicket},
    sent_request::SentRequest,
    submit_verdict::SubmitVerdict,
    ticket::{Ticket, TicketSerial},
    ticket_settings::TicketSettings,
    ticket_state::{RequestDigest, TicketState},
    ticket_table::{TicketCounts, TicketTable},
    unsent_request::UnsentRequest,
};
