//! `bench once`: what at-most-once costs by three ways.

pub mod copy_peer;
pub mod once_command;
pub mod once_ways;

pub use once_command::OnceCommand;
