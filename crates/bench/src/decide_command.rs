//! `bench decide`: what a decision of the allocator costs with a long queue.

use {
    crate::{
        bench_error::BenchError,
        scenario::scenario_file::ScenarioFile,
        world::{RequestPlan, WorldTruth, plan_requests},
    },
    admit::{AdmitAction, AdmitEvent, AdmitPolicy, AdmitRequest, CellAllocator, RequestKey},
    clap::Args,
    hdrhistogram::Histogram,
    std::{
        collections::VecDeque,
        path::PathBuf,
        process::ExitCode,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Digits that the histogram of times keeps.
const DIGITS: u8 = 3;
/// The part of the decode places that is taken.
const FULL_PART: f64 = 0.9;
/// Virtual time between two events of the loop.
const STEP: Duration = Duration::from_millis(2);

/// Measures the wall-clock time of the allocator's decisions with a long queue: for information, not for a bound.
#[derive(Args, Debug)]
pub struct DecideCommand {
    /// Requests that finish and are replaced.
    #[arg(default_value_t = 20_000, long)]
    finishes: u32,
    /// Requests that wait.
    #[arg(default_value_t = 1_000, long)]
    queued: usize,
    /// The scenario that gives engines, link and rows.
    #[arg(default_value = "scenarios/krasns.yaml", long)]
    scenario: PathBuf,
}

/// Drives an allocator through requests that never wait for an engine's work.
struct DecideLoop {
    actions: Vec<AdmitAction>,
    allocator: CellAllocator,
    calls: Histogram<u64>,
    file: Arc<ScenarioFile>,
    /// Requests that generate tokens before one may finish.
    full: usize,
    now: Instant,
    plans: Vec<RequestPlan>,
    /// What the allocator hears next.
    heard: VecDeque<AdmitEvent>,
    /// Requests that generate tokens, the first one granted first.
    running: VecDeque<AdmitEvent>,
    serial: u64,
    /// Requests that wait.
    waiting: usize,
}

impl DecideCommand {
    /// Prints the mean and the quantiles of a call.
    ///
    /// # Errors
    /// The scenario can't be read or has faults.
    pub fn run(self) -> Result<ExitCode, BenchError> {
        let mut file = ScenarioFile::load(&self.scenario)?;
        for mix in &mut file.rows {
            // Nothing is refused, so that the queue keeps its length.
            mix.first_token = None;
            mix.patience = Duration::from_secs(86_400);
        }
        let mut work = DecideLoop::new(Arc::new(file));
        while work.waiting < self.queued.max(1) {
            work.submit();
        }
        work.calls.reset();
        let mut finished = 0;
        while finished < self.finishes {
            if work.step(self.queued.max(1)) {
                finished += 1;
            }
        }
        work.print();
        Ok(ExitCode::SUCCESS)
    }
}

impl DecideLoop {
    fn new(file: Arc<ScenarioFile>) -> Self {
        let now = Instant::now();
        let plans = plan_requests(&file, 1);
        let places = file.engines.decode * file.engines.decode_places;
        let full = (f64::from(places) * FULL_PART) as usize;
        let truth = WorldTruth::new(file.clone(), Arc::default(), now);
        let mut work = Self {
            actions: Vec::new(),
            allocator: CellAllocator::builder().build(),
            calls: Histogram::new(DIGITS).expect("three digits are allowed"),
            full,
            file,
            now,
            plans,
            heard: VecDeque::new(),
            running: VecDeque::new(),
            serial: 0,
            waiting: 0,
        };
        for event in truth.introduction() {
            work.call(event);
        }
        work
    }

    /// One event; whether a request finished.
    fn step(&mut self, queued: usize) -> bool {
        self.now += STEP;
        if self.waiting < queued {
            self.submit();
            return false;
        }
        if let Some(event) = self.heard.pop_front() {
            self.call(event);
            return false;
        }
        if self.running.len() < self.full {
            self.call(AdmitEvent::Tick);
            return false;
        }
        let Some(event) = self.running.pop_front() else {
            return false;
        };
        self.call(event);
        true
    }

    fn submit(&mut self) {
        let plan = &self.plans[self.serial as usize % self.plans.len()];
        let mix = &self.file.rows[plan.row];
        let request = AdmitRequest {
            arrived: self.now,
            key: RequestKey {
                incarnation: 1,
                instance: "entry-0".into(),
                serial: self.serial,
            },
            max_tokens: mix.output.most,
            prefix: plan.prefix.clone(),
            prompt_tokens: plan.prompt_tokens,
            work: mix.work.clone(),
        };
        self.serial += 1;
        self.waiting += 1;
        self.call(AdmitEvent::Submit(request));
    }

    /// The end of a request, which comes once all else was heard.
    fn finished(&self, key: RequestKey) -> AdmitEvent {
        let plan = &self.plans[key.serial as usize % self.plans.len()];
        AdmitEvent::Finished {
            key,
            output_tokens: plan.output_tokens,
        }
    }

    fn call(&mut self, event: AdmitEvent) {
        let began = Instant::now();
        self.allocator.on_event(self.now, event, &mut self.actions);
        let took = began.elapsed().as_nanos() as u64;
        let _ = self.calls.record(took);
        for action in std::mem::take(&mut self.actions) {
            match action {
                AdmitAction::GrantDecode { key, .. } => {
                    let first = AdmitEvent::FirstToken { key: key.clone() };
                    let last = self.finished(key);
                    self.heard.push_back(first);
                    self.running.push_back(last);
                }
                AdmitAction::GrantPrefill { key, prefill } => {
                    self.waiting -= 1;
                    self.heard
                        .push_back(AdmitEvent::PrefillDone { key, prefill });
                }
                AdmitAction::Refuse { .. } => self.waiting -= 1,
                AdmitAction::Resync { .. } | AdmitAction::WakeAt(_) => {}
            }
        }
    }

    fn print(&self) {
        let counts = self.allocator.counts();
        println!("{} queued, {} running", counts.queued, counts.decoding);
        println!("{} calls of the allocator", self.calls.len());
        println!("mean {:.2} us", self.calls.mean() / 1e3);
        for quantile in [0.5, 0.99, 0.999] {
            let nanos = self.calls.value_at_quantile(quantile) as f64;
            println!("quantile {quantile}: {:.1} us", nanos / 1e3);
        }
    }
}
