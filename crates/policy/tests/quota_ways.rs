//! Ways to share a quota, compared on the same requests: the usage refused although it fits, and the peak usage in a
//! window. `QUOTA_WAYS=1 cargo test -p policy --test quota_ways -- --nocapture` prints the table of
//! docs/design/shifted.md.

mod quota_model;

use {
    quota_model::{Demand, QuotaFault, QuotaModel, ShareMode, Summary, tokens},
    std::time::Duration,
};

const SEEDS: u64 = 6;
/// The fraction of fitting usage that may be refused; equal to the tolerated overuse of the limits.
const MAX_SHORTFALL: f64 = 0.1;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Sixteen customers at 55 % of their limits, a few of them large. The callers of each are connected to a dozen
/// instances.
fn normal_load(mode: ShareMode, per_zone: usize, seed: u64) -> QuotaModel {
    let mut model = QuotaModel::new(3, per_zone, mode, seed);
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
            spread: 12.min(3 * per_zone),
        };
        model.customer(&format!("c{number}"), tokens(rate, rate), demand);
    }
    model
}

/// A simulation in which two customers send several times their rate, while instances crash and zones are partitioned.
fn overload_day(mode: ShareMode, per_zone: usize, seed: u64, is_calm: bool) -> QuotaModel {
    let mut model = normal_load(mode, per_zone, seed);
    model.run(seconds(6));
    let scale = |model: &mut QuotaModel, factor: f64| {
        for name in ["c0", "c5"] {
            model.demand(name, |demand| demand.rate *= factor);
        }
    };
    scale(&mut model, 6.0);
    model.run(seconds(3));
    if !is_calm {
        model.fault(QuotaFault::KillAggregator(0));
        model.run(seconds(4));
        model.fault(QuotaFault::PartitionZone(1, seconds(6)));
        model.run(seconds(8));
        model.fault(QuotaFault::KillAll);
    }
    model.run(seconds(8));
    scale(&mut model, 1.0 / 6.0);
    // Callers move to other instances.
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

/// Means over the seeds, and the maximum of the peaks.
fn run_seeds(mode: ShareMode, per_zone: usize, is_calm: bool) -> Figures {
    let mut figures = Figures {
        bytes: 0.0,
        summary: Summary {
            peak: 0.0,
            refused: 0.0,
            short: 0.0,
        },
    };
    for seed in 0..SEEDS {
        let model = overload_day(mode, per_zone, seed, is_calm);
        let summary = model.summary();
        let part = 1.0 / SEEDS as f64;
        figures.summary.peak = figures.summary.peak.max(summary.peak);
        figures.summary.refused += summary.refused * part;
        figures.summary.short += summary.short * part;
        let span = if is_calm { 23.0 } else { 35.0 };
        figures.bytes += part * model.bytes as f64 / span / (3 * per_zone) as f64;
    }
    figures
}

#[test]
fn the_exchange_gives_what_fits_and_never_lets_too_much_run() {
    let prints = std::env::var_os("QUOTA_WAYS").is_some();
    let sizes: &[usize] = if prints { &[10, 30, 100] } else { &[30] };
    for per_zone in sizes {
        for is_calm in [true, false] {
            let [equal, exchange] = [ShareMode::Equal, ShareMode::Exchange]
                .map(|mode| run_seeds(mode, *per_zone, is_calm));
            if prints {
                let [following, leases] = [ShareMode::Following, ShareMode::Leases]
                    .map(|mode| run_seeds(mode, *per_zone, is_calm));
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
                        3 * per_zone,
                        row.bytes
                    );
                }
            }
            let summary = exchange.summary;
            assert!(summary.peak <= 1.0, "{per_zone}: {summary:?}");
            assert!(summary.short < MAX_SHORTFALL, "{per_zone}: {summary:?}");
            // Equal shares refuse most of what fits, since a share is smaller than one request.
            assert!(equal.summary.short > 0.5, "{per_zone}: {:?}", equal.summary);
        }
    }
}
