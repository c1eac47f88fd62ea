//! The requests of a run, fixed by the scenario and the seed before any policy sees them.

use {
    crate::scenario::{
        capacity_estimate::CapacityEstimate, scenario_file::ScenarioFile, work_mix::WorkMix,
    },
    kernel::{BlockHash, seeded_rng},
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64,
    std::time::Duration,
};

/// Names the row of a request: its place in the scenario.
pub(crate) type RowIndex = usize;

/// How a caller goes away.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CancelPlan {
    /// This long after arrival, wherever the request is then.
    After(Duration),
    /// This long after the first token.
    AfterFirstToken(Duration),
    /// The caller stays.
    Stays,
}

/// One request as it will be.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestPlan {
    /// When it arrives, from the start of the run.
    pub arrives: Duration,
    /// How the caller goes away.
    pub cancel: CancelPlan,
    /// The entry instance, if it lives.
    pub entry: usize,
    /// The length of the answer.
    pub output_tokens: u32,
    /// The chained hashes of the prompt's whole blocks.
    pub prefix: Vec<BlockHash>,
    /// The length of the prompt.
    pub prompt_tokens: u32,
    /// The row, counted in the scenario.
    pub row: usize,
}

/// Draws the requests of a run. The same scenario and seed give the same requests to every policy.
pub fn plan_requests(file: &ScenarioFile, seed: u64) -> Vec<RequestPlan> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let peak = file.load * CapacityEstimate::of(file).requests_per_second();
    let ceiling = peak * highest_burst(file);
    let mut plans = Vec::new();
    let mut seconds = 0.0;
    loop {
        let gap: f64 = rng.random();
        seconds += -(1.0 - gap).ln() / ceiling;
        let arrives = Duration::from_secs_f64(seconds);
        if arrives >= file.duration {
            return plans;
        }
        let kept: f64 = rng.random();
        if kept * ceiling > peak * rate_at(file, arrives) {
            continue;
        }
        let serial = plans.len() as u64;
        plans.push(plan_request(file, arrives, seed, serial, &mut rng));
    }
}

fn plan_request(
    file: &ScenarioFile,
    arrives: Duration,
    seed: u64,
    serial: u64,
    rng: &mut Pcg64,
) -> RequestPlan {
    let row = pick_row(file, rng);
    let mix = &file.rows[row];
    let prompt_tokens = mix.prompt.sample(rng);
    RequestPlan {
        arrives,
        cancel: pick_cancel(mix, rng),
        entry: rng.random_range(0..file.entries as usize),
        output_tokens: mix.output.sample(rng),
        prefix: pick_prefix(file, mix, prompt_tokens, seed, serial, rng),
        prompt_tokens,
        row,
    }
}

fn pick_row(file: &ScenarioFile, rng: &mut Pcg64) -> RowIndex {
    let shares: f64 = file.rows.iter().map(|mix| mix.share).sum();
    let mut left = rng.random::<f64>() * shares;
    for (row, mix) in file.rows.iter().enumerate() {
        left -= mix.share;
        if left < 0.0 {
            return row;
        }
    }
    file.rows.len() - 1
}

fn pick_cancel(mix: &WorkMix, rng: &mut Pcg64) -> CancelPlan {
    let goes = rng.random::<f64>() < mix.cancels;
    let streams = rng.random::<bool>();
    let after = mix.cancels_within.mul_f64(rng.random::<f64>());
    match (goes, streams) {
        (false, _) => CancelPlan::Stays,
        (true, false) => CancelPlan::After(after),
        (true, true) => CancelPlan::AfterFirstToken(after),
    }
}

fn pick_prefix(
    file: &ScenarioFile,
    mix: &WorkMix,
    prompt_tokens: u32,
    seed: u64,
    serial: u64,
    rng: &mut Pcg64,
) -> Vec<BlockHash> {
    let skew: f64 = rng.random();
    let group = (f64::from(mix.groups) * skew * skew) as u64;
    let blocks = prompt_tokens / file.engines.block_tokens;
    let shared = match mix.groups {
        0 => 0,
        _ => (f64::from(blocks) * mix.shared) as u32,
    };
    let mut chain = seeded_rng::mix(seed, mix.work.as_bytes());
    let mut prefix = Vec::with_capacity(blocks as usize);
    for block in 0..blocks {
        let text = if block < shared { group } else { !serial };
        chain = seeded_rng::mix(chain, &text.to_le_bytes());
        prefix.push(chain);
    }
    prefix
}

fn highest_burst(file: &ScenarioFile) -> f64 {
    file.bursts
        .iter()
        .map(|burst| burst.times)
        .fold(1.0, f64::max)
}

/// The arrival rate as a share of the peak's.
fn rate_at(file: &ScenarioFile, at: Duration) -> f64 {
    let mut rate = day_rate(file, at);
    for burst in &file.bursts {
        if at >= burst.at && at < burst.at + burst.lasts {
            rate *= burst.times;
        }
    }
    rate
}

fn day_rate(file: &ScenarioFile, at: Duration) -> f64 {
    let Some(first) = file.day.first() else {
        return 1.0;
    };
    let mut last = first;
    for point in &file.day {
        if point.at <= at {
            last = point;
            continue;
        }
        if last.at > at {
            return last.rate;
        }
        let part = (at - last.at).as_secs_f64() / (point.at - last.at).as_secs_f64();
        return last.rate + (point.rate - last.rate) * part;
    }
    last.rate
}
