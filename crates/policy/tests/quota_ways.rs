//! The ways to share a quota, compared on the same requests: what is refused although it fits, and the most that runs in a
//! window. `QUOTA_WAYS=1 cargo test -p policy --test quota_ways -- --nocapture` prints the table of docs/design/shifted.md.

mod quota_model;

use {
    quota_model::{Demand, QuotaFault, QuotaModel, ShareWay, Summary, tokens},
    std::time::Duration,
};

const SEEDS: u64 = 6;
/// Of what fits so much may be refused: the part by which more may be used than the limits say.
const SHORT: f64 = 0.1;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Sixteen customers at 55 % of their limits, a few of them large; callers of each are connected to a dozen instances.
fn calm(way: ShareWay, each: usize, seed: u64) -> QuotaModel {
    let mut model = QuotaModel::new(3, each, way, seed);
    for number in 0..16_usize {
        let rate = match number {
            0 => 181_000.0,
            1..=2 => 90_000.0,
            _ => 36_000.0,
        };
        let demand = Demand {
            cost: 5_300,
            from: number * 5,
            rate: rate * 0.55,
            spread: 12.min(3 * each),
        };
        model.customer(&format!("c{number}"), tokens(rate, rate), demand);
    }
    model
}

/// A day on which two customers send several times their rate, while instances die and zones are cut.
fn hot_day(way: ShareWay, each: usize, seed: u64, is_calm: bool) -> QuotaModel {
    let mut model = calm(way, each, seed);
    model.run(seconds(6));
    let hot = |model: &mut QuotaModel, by: f64| {
        for name in ["c0", "c5"] {
            model.demand(name, |demand| demand.rate *= by);
        }
    };
    hot(&mut model, 6.0);
    model.run(seconds(3));
    if !is_calm {
        model.fault(QuotaFault::KillFirst(0));
        model.run(seconds(4));
        model.fault(QuotaFault::CutZone(1, seconds(6)));
        model.run(seconds(8));
        model.fault(QuotaFault::KillAll);
    }
    model.run(seconds(8));
    hot(&mut model, 1.0 / 6.0);
    // Callers go to other instances.
    for number in 0..16 {
        model.demand(&format!("c{number}"), |demand| demand.from += 7);
    }
    model.run(seconds(6));
    model
}

struct Figures {
    bytes: f64,
    summary: Summary,
}

/// Means over the seeds; of the peaks the greatest.
fn figures(way: ShareWay, each: usize, is_calm: bool) -> Figures {
    let mut figures = Figures {
        bytes: 0.0,
        summary: Summary {
            peak: 0.0,
            refused: 0.0,
            short: 0.0,
        },
    };
    for seed in 0..SEEDS {
        let model = hot_day(way, each, seed, is_calm);
        let day = model.summary();
        let part = 1.0 / SEEDS as f64;
        figures.summary.peak = figures.summary.peak.max(day.peak);
        figures.summary.refused += day.refused * part;
        figures.summary.short += day.short * part;
        let span = if is_calm { 23.0 } else { 35.0 };
        figures.bytes += part * model.bytes as f64 / span / (3 * each) as f64;
    }
    figures
}

#[test]
fn the_exchange_gives_what_fits_and_never_lets_too_much_run() {
    let prints = std::env::var_os("QUOTA_WAYS").is_some();
    let sizes: &[usize] = if prints { &[10, 30, 100] } else { &[30] };
    for each in sizes {
        for is_calm in [true, false] {
            let [equal, exchange] =
                [ShareWay::Equal, ShareWay::Exchange].map(|way| figures(way, *each, is_calm));
            if prints {
                let [following, leases] =
                    [ShareWay::Following, ShareWay::Leases].map(|way| figures(way, *each, is_calm));
                for (name, row) in [
                    ("equal", &equal),
                    ("following", &following),
                    ("leases", &leases),
                    ("exchange", &exchange),
                ] {
                    let Summary {
                        peak,
                        refused,
                        short,
                    } = row.summary;
                    println!(
                        "{} instances, calm {is_calm}, {name}: refused {refused:.3} short {short:.3} peak {peak:.3} bytes/s {:.0}",
                        3 * each,
                        row.bytes
                    );
                }
            }
            let summary = exchange.summary;
            assert!(summary.peak <= 1.0, "{each}: {summary:?}");
            assert!(summary.short < SHORT, "{each}: {summary:?}");
            // What instances decide alone refuses most of what fits: a part is smaller than one request.
            assert!(equal.summary.short > 0.5, "{each}: {:?}", equal.summary);
        }
    }
}
