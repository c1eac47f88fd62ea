//! The command line.

use {crate::subcommand::Subcommand, clap::Parser};

const EXAMPLES: &str = "Examples:
  trestlewalk check settings/gijon-1.yaml
  trestlewalk serve --settings settings/gijon-1.yaml --set listen.callers=127.0.0.1:8080
  trestlewalk dump 127.0.0.1:9100

docs/SETTINGS.md describes the settings, docs/CODES.md the exit codes and result codes.";

/// Routes requests to prefill and decode pools of language models, and to plain services beside them.
#[derive(Debug, Parser)]
#[command(after_help = EXAMPLES, max_term_width = 100, name = "trestlewalk", version)]
pub struct CliArguments {
    /// The subcommand to run.
    #[command(subcommand)]
    pub subcommand: Subcommand,
}
