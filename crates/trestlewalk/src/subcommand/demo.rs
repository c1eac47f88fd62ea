//! `trestlewalk demo`.

use {
    crate::{
        RunError,
        demo::{DayPlan, DemoSystem, run_day},
        run_error::{DemoFailedSnafu, RuntimeSnafu},
    },
    clap::Args,
    snafu::ResultExt,
    std::time::Duration,
    tokio::{runtime::Runtime, signal},
};

/// The seed of the simulated day, fixed so that each run sends the same requests.
const DAY_SEED: u64 = 20_261_202;

/// The arguments of `demo`.
#[derive(Args, Debug)]
pub struct DemoCommand {
    /// The duration of the simulated day, in seconds.
    #[arg(default_value_t = 24, long, value_name = "SECONDS")]
    pub seconds: u64,
    /// Keep the system running after the day, and print calls to try.
    #[arg(long)]
    pub serve: bool,
}

impl DemoCommand {
    /// Runs a complete system in this process under the load of a short simulated day.
    ///
    /// # Errors
    ///
    /// A socket can't be opened, or a request failed.
    pub fn run(self) -> Result<(), RunError> {
        let runtime = Runtime::new().context(RuntimeSnafu)?;
        runtime.block_on(self.run_system())
    }

    async fn run_system(self) -> Result<(), RunError> {
        println!(
            "starting the platform, 3 availability zones, 18 engines, 6 plain replicas, 3 entry instances"
        );
        let mut system = DemoSystem::start().await?;
        let plan = DayPlan::new(Duration::from_secs(self.seconds), DAY_SEED);
        println!(
            "the day begins: {} requests in {} s",
            plan.arrivals.len(),
            self.seconds
        );
        let report = run_day(&mut system, plan).await?;
        println!("\n{report}");
        let (read, wasted) = system.wasted_tokens();
        println!("prompt tokens read by the engines: {read}, of them wasted: {wasted}");
        for (reason, count) in &report.failures {
            println!("failed {count} times: {reason}");
        }
        if self.serve {
            serve(&system).await;
        }
        let cut = system.close().await;
        let (answered, refused, failed) = report.totals();
        println!("{answered} answered, {refused} refused, {failed} failed");
        if cut + failed > 0 {
            return DemoFailedSnafu {
                count: cut + failed,
            }
            .fail();
        }
        Ok(())
    }
}

async fn serve(system: &DemoSystem) {
    for entry in &system.entries {
        let callers = entry.line.callers;
        let admin = entry.line.admin;
        println!("\n{}: callers {callers}, admin {admin}", entry.zone);
        println!(
            "  curl -N http://{callers}/v1/completions -H 'Trestlewalk-Work: slot-suggest' \
             -d '{{\"prompt\": \"a free kiln?\", \"max_tokens\": 8, \"stream\": true}}'"
        );
        println!(
            "  curl -i http://{callers}/services/carta/tiles/1/2/3 -H 'Trestlewalk-Work: chart-tile'"
        );
        println!(
            "  curl http://{admin}/metrics; curl http://{admin}/dump; curl http://{admin}/table"
        );
    }
    println!("\nCtrl-C ends it");
    // If the signal handler can't be installed the demonstration ends at once.
    let _ = signal::ctrl_c().await;
}
