//! The command line.

use {crate::subcommand::Subcommand, clap::Parser};

/// Routes requests to prefill and decode pools of language models, and to plain services beside them.
#[derive(Debug, Parser)]
#[command(name = "trestlewalk", version, max_term_width = 100)]
pub struct CliArguments {
    /// What to do.
    #[command(subcommand)]
    pub subcommand: Subcommand,
}
