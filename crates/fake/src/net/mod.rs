//! HTTP server of the stand-ins, with support for injected connection faults.

pub(crate) mod aborted_response;
pub(crate) mod connection_gate;
pub(crate) mod json_body;
pub(crate) mod stand_in_server;

pub(crate) use {
    aborted_response::{ConnectionAborted, aborted_response},
    connection_gate::{ConnectionGate, OpenGate},
    json_body::JsonBody,
    stand_in_server::StandInServer,
};
