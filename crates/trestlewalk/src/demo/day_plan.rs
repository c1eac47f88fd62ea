//! The load of a simulated day: request rates rise to a peak at noon and fall again.

use {
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{f64::consts::PI, time::Duration},
};

/// One kind of work, with its rate at the peak.
#[derive(Clone, Copy, Debug)]
pub struct DayWork {
    /// The `max_tokens` of the request; 0 for plain services.
    pub max_tokens: u32,
    /// The path of the request.
    pub path: &'static str,
    /// Requests per second at the peak.
    pub peak: f64,
    /// The shortest and the longest prompt, in tokens.
    pub prompt_tokens: (u32, u32),
    /// The kind of work, which names a row of the table.
    pub work: &'static str,
}

/// The kinds of work that the simulated callers request.
pub const WORKS: [DayWork; 8] = [
    plain("booking-page", "/services/booking-app/pages/home", 15.0),
    plain("chart-tile", "/services/carta/tiles/12/7/3", 25.0),
    model("cone-schedule", 2.0, (300, 1_500), 48),
    model("kiln-log", 1.5, (1_000, 4_000), 64),
    model("line-check", 3.0, (300, 1_200), 64),
    plain("slot-confirm", "/services/booking-app/slots", 6.0),
    model("slot-suggest", 5.0, (500, 3_000), 32),
    model("wreck-contact", 1.5, (300, 1_000), 64),
];

/// One request of the day.
#[derive(Clone, Debug)]
pub struct DayArrival {
    /// The arrival time, from the start of the day.
    pub at: Duration,
    /// The position in the order of arrival, from 0.
    pub number: u64,
    /// The length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// The kind of work.
    pub work: DayWork,
}

/// All requests of a day, in order of arrival.
pub struct DayPlan {
    /// The requests.
    pub arrivals: Vec<DayArrival>,
    /// The duration of the day.
    pub length: Duration,
}

impl DayPlan {
    /// Draws the requests of a day; the same seed gives the same requests.
    pub fn new(length: Duration, seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        for work in WORKS {
            draw_arrivals(&mut random, length, work, &mut arrivals);
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        for (number, arrival) in arrivals.iter_mut().enumerate() {
            arrival.number = number as u64;
        }
        Self { arrivals, length }
    }
}

/// Draws a Poisson process at the peak rate, and thins it to the rate at the time of day.
fn draw_arrivals(
    random: &mut Pcg64Mcg,
    length: Duration,
    work: DayWork,
    arrivals: &mut Vec<DayArrival>,
) {
    let mut at = 0.0;
    loop {
        let draw: f64 = random.random_range(f64::EPSILON..1.0);
        at -= draw.ln() / work.peak;
        if at >= length.as_secs_f64() {
            return;
        }
        let share = (PI * at / length.as_secs_f64()).sin().powi(2);
        let prompt_tokens = random.random_range(work.prompt_tokens.0..=work.prompt_tokens.1);
        if random.random_range(0.0..1.0) > share {
            continue;
        }
        arrivals.push(DayArrival {
            at: Duration::from_secs_f64(at),
            number: 0,
            prompt_tokens,
            work,
        });
    }
}

const fn model(
    work: &'static str,
    peak: f64,
    prompt_tokens: (u32, u32),
    max_tokens: u32,
) -> DayWork {
    DayWork {
        max_tokens,
        path: "/v1/completions",
        peak,
        prompt_tokens,
        work,
    }
}

const fn plain(work: &'static str, path: &'static str, peak: f64) -> DayWork {
    DayWork {
        max_tokens: 0,
        path,
        peak,
        prompt_tokens: (0, 0),
        work,
    }
}
