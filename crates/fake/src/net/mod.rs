//! The HTTP server that all stand-ins share: one that can also misbehave.

pub(crate) mod connection_gate;
pub(crate) mod cut_mark;
pub(crate) mod json_body;
pub(crate) mod stand_in_server;

pub(crate) use {
    connection_gate::{ConnectionGate, OpenGate},
    cut_mark::{CutBody, cut_answer},
    json_body::JsonBody,
    stand_in_server::StandInServer,
};
