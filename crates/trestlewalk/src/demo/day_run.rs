//! Runs the simulated day: sends the requests, edits the table at noon, and kills an engine in the afternoon.

use {
    crate::{
        RunError,
        demo::{
            day_plan::{DayArrival, DayPlan},
            day_report::{CallOutcome, DayReport},
            demo_call::DemoCaller,
            demo_system::DemoSystem,
            system_plan::{NOON_EDIT, TABLE},
        },
    },
    flow::FlowMetrics,
    std::time::{Duration, Instant},
    tokio::{sync::mpsc, time},
};

/// The engine that is killed in the afternoon.
const KILLED_ENGINE: &str = "santander-glaze-llm-decode-2";
/// How often progress is printed.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(3);

/// What happens during the day apart from requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum DayEvent {
    Afternoon,
    Noon,
}

/// Runs the planned day against a running system, and prints its progress.
///
/// # Errors
///
/// The edit at noon fails.
pub async fn run_day(system: &mut DemoSystem, plan: DayPlan) -> Result<DayReport, RunError> {
    let total = plan.arrivals.len();
    let length = plan.length;
    let addresses: Vec<_> = system
        .entries
        .iter()
        .map(|entry| entry.line.callers)
        .collect();
    let (outcomes, mut receiver) = mpsc::unbounded_channel();
    let day = tokio::spawn(send_all(plan, addresses, outcomes));
    let mut report = DayReport::default();
    let mut events = vec![
        (length.mul_f64(0.7), DayEvent::Afternoon),
        (length.mul_f64(0.5), DayEvent::Noon),
    ];
    let started = Instant::now();
    let mut done = 0;
    let mut progress = time::interval(PROGRESS_INTERVAL);
    progress.tick().await;
    loop {
        let next_event_at = events.last().map_or(Duration::MAX, |event| event.0);
        tokio::select! {
            outcome = receiver.recv() => {
                let Some((work, outcome)) = outcome else {
                    break;
                };
                report.record(work, outcome);
                done += 1;
            }
            _ = progress.tick() => println!("{:>3} s: {done} of {total} requests done", started.elapsed().as_secs()),
            () = wait_until(started, next_event_at) => {
                if let Some((_, event)) = events.pop() {
                    trigger_event(system, event).await?;
                }
            }
        }
    }
    let _ = day.await;
    record_wasted(system, &mut report);
    Ok(report)
}

fn record_wasted(system: &DemoSystem, report: &mut DayReport) {
    for entry in &system.entries {
        let Some(metrics) = entry.map.get::<FlowMetrics>() else {
            continue;
        };
        for (work, tokens) in metrics.wasted_by_work() {
            report.record_wasted(&work, tokens);
        }
    }
}

async fn trigger_event(system: &mut DemoSystem, event: DayEvent) -> Result<(), RunError> {
    match event {
        DayEvent::Afternoon => {
            println!("afternoon: the engine {KILLED_ENGINE} dies");
            system.kill_engine(KILLED_ENGINE).await;
        }
        DayEvent::Noon => {
            println!("noon: the operator gives kiln-log rank 9 and limit 12");
            let times = system
                .edit(&TABLE.replace(NOON_EDIT.0, NOON_EDIT.1))
                .await?;
            for (zone, elapsed) in times {
                println!("  in force in {zone} after {} ms", elapsed.as_millis());
            }
        }
    }
    Ok(())
}

async fn send_all(
    plan: DayPlan,
    addresses: Vec<std::net::SocketAddr>,
    outcomes: mpsc::UnboundedSender<(&'static str, CallOutcome)>,
) {
    let started = Instant::now();
    let caller = DemoCaller::default();
    for arrival in plan.arrivals {
        wait_until(started, arrival.at).await;
        let address = addresses[arrival.number as usize % addresses.len()];
        tokio::spawn(send_one(caller.clone(), address, arrival, outcomes.clone()));
    }
}

async fn send_one(
    caller: DemoCaller,
    address: std::net::SocketAddr,
    arrival: DayArrival,
    outcomes: mpsc::UnboundedSender<(&'static str, CallOutcome)>,
) {
    let outcome = caller.call(address, &arrival).await;
    let _ = outcomes.send((arrival.work.work, outcome));
}

async fn wait_until(started: Instant, at: Duration) {
    match started.checked_add(at) {
        Some(until) => time::sleep_until(until.into()).await,
        None => std::future::pending().await,
    }
}
