//! How many requests a second an availability zone can serve at most.

use {
    crate::scenario::{scenario_file::ScenarioFile, work_mix::WorkMix},
    rand::SeedableRng,
    rand_pcg::Pcg64,
};

/// Draws a row for the mean lengths.
const SAMPLES: u32 = 4_096;
/// The seed of those draws, the same for every run.
const SAMPLE_SEED: u64 = 1;

/// What each resource could serve if the others had no end, in requests a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityEstimate {
    /// All decode places, at the between-token time of a full engine.
    pub decode: f64,
    /// The link.
    pub link: f64,
    /// All prefill engines, with every shared prefix in their caches.
    pub prefill: f64,
}

impl CapacityEstimate {
    /// Estimates from a scenario's sizes and mean lengths.
    pub fn of(file: &ScenarioFile) -> Self {
        let mut place_seconds = 0.0;
        let mut prompt_tokens = 0.0;
        let mut read_tokens = 0.0;
        let shares: f64 = file.rows.iter().map(|mix| mix.share).sum();
        for mix in &file.rows {
            let share = mix.share / shares;
            let (prompt, output) = mean_lengths(mix);
            let moved = prompt * file.link.kv_bytes_per_token / file.link.bytes_per_second;
            let shared = if mix.groups > 0 { mix.shared } else { 0.0 };
            place_seconds += share * (output * file.engines.full_step() + moved);
            prompt_tokens += share * prompt;
            read_tokens += share * prompt * (1.0 - shared);
        }
        let places = f64::from(file.engines.decode * file.engines.decode_places);
        let rate = f64::from(file.engines.prefill) * file.engines.prefill_rate;
        let tokens = file.link.bytes_per_second / file.link.kv_bytes_per_token;
        Self {
            decode: places / place_seconds,
            link: tokens / prompt_tokens,
            prefill: rate / read_tokens,
        }
    }

    /// The least of the three, in requests a second.
    pub fn requests_per_second(self) -> f64 {
        self.decode.min(self.link).min(self.prefill)
    }
}

fn mean_lengths(mix: &WorkMix) -> (f64, f64) {
    let mut rng = Pcg64::seed_from_u64(SAMPLE_SEED);
    let mut prompts = 0.0;
    let mut outputs = 0.0;
    for _ in 0..SAMPLES {
        prompts += f64::from(mix.prompt.sample(&mut rng));
        outputs += f64::from(mix.output.sample(&mut rng));
    }
    (prompts / f64::from(SAMPLES), outputs / f64::from(SAMPLES))
}
