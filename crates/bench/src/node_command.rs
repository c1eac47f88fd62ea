//! `bench node`: what control costs a node.

use {
    crate::{
        bench_error::{BenchError, ReportWriteSnafu, RuntimeSnafu},
        node::{
            NodeReport, SlopeSeries, grant_slope, link_slope::LinkSlope, member_slope::MemberSlope,
            table_slope,
        },
    },
    clap::{Args, ValueEnum},
    snafu::ResultExt,
    std::{process::ExitCode, time::Duration},
};

/// One part of the measurement.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum NodePart {
    /// The allocator of a cell, and the frames of a request.
    Grants,
    /// Memberships and sessions over real links.
    Links,
    /// The membership core in virtual time.
    Members,
    /// The table.
    Table,
}

impl NodePart {
    /// Every part.
    pub const ALL: [Self; 4] = [Self::Grants, Self::Links, Self::Members, Self::Table];
}

/// Measures the slopes of processor time, memory and bytes of control.
#[derive(Args, Debug)]
pub struct NodeCommand {
    /// Prints JSON.
    #[arg(long)]
    json: bool,
    /// The most members in one process.
    #[arg(long, default_value_t = 428)]
    members: usize,
    /// What to measure, separated by commas.
    #[arg(long, value_delimiter = ',', value_enum, default_values_t = NodePart::ALL)]
    parts: Vec<NodePart>,
    /// Seconds a point: virtual ones for the cores, real ones for the links.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
}

impl NodeCommand {
    /// Measures and prints.
    ///
    /// # Errors
    ///
    /// When a link breaks or the report can't be written.
    pub fn run(self) -> Result<ExitCode, BenchError> {
        let mut report = NodeReport { series: Vec::new() };
        for part in &self.parts {
            report.series.extend(self.measure(*part)?);
        }
        if self.json {
            let text = serde_json::to_string_pretty(&report).context(ReportWriteSnafu)?;
            println!("{text}");
            return Ok(ExitCode::SUCCESS);
        }
        print!("{}", report.to_text());
        Ok(ExitCode::SUCCESS)
    }

    fn measure(&self, part: NodePart) -> Result<Vec<SlopeSeries>, BenchError> {
        match part {
            NodePart::Grants => Ok(grant_slope::run()),
            NodePart::Links => {
                let links = LinkSlope {
                    time: Duration::from_secs(self.seconds),
                };
                let runtime = tokio::runtime::Runtime::new().context(RuntimeSnafu)?;
                runtime.block_on(links.run())
            }
            NodePart::Members => {
                let members = MemberSlope {
                    most_members: self.members,
                    seconds: self.seconds as usize,
                };
                Ok(members.run())
            }
            NodePart::Table => Ok(table_slope::run()),
        }
    }
}
