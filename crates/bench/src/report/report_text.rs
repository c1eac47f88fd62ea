//! Reports as a table of text.

use crate::{
    report::{
        policy_report::PolicyReport,
        report_figures::{ReportFigures, WasteFigures},
    },
    scenario::{capacity_estimate::CapacityEstimate, scenario_file::ScenarioFile},
};

const HEADER: &str = "policy                     offered goodput    good/s  wasted refused cancel broken  lost first p95 between p95";

/// Reports as a table of text, for a scenario.
pub fn report_text(file: &ScenarioFile, reports: &[PolicyReport]) -> String {
    let mut lines = vec![file.about.to_string(), capacity(file), HEADER.to_owned()];
    for report in reports {
        let waste = report.mean_waste();
        lines.push(line(report.policy.text(), &report.mean(), Some(&waste)));
        if report.runs.len() > 1 {
            lines.push(spreads(report));
        }
        for row in &report.rows {
            let name = format!("  {}", row.work);
            lines.push(line(&name, &row.mean(), None));
        }
        lines.push(causes(&waste));
    }
    lines.push(String::new());
    lines.join("\n")
}

fn capacity(file: &ScenarioFile) -> String {
    let capacity = CapacityEstimate::of(file);
    format!(
        "computed capacity {:.1}/s (decode {:.1}, prefill {:.1}, link {:.1}); the peak is {} times that",
        capacity.requests_per_second(),
        capacity.decode,
        capacity.prefill,
        capacity.link,
        file.load,
    )
}

fn causes(waste: &WasteFigures) -> String {
    format!(
        "  wasted: no place {:.4}, evicted {:.4}, caller gone {:.4}, upstream died {:.4}, other {:.4}",
        waste.no_place, waste.evicted, waste.caller_gone, waste.upstream_died, waste.other,
    )
}

fn line(name: &str, figures: &ReportFigures, waste: Option<&WasteFigures>) -> String {
    let wasted = match waste {
        Some(waste) => format!("{:.4}", waste.total()),
        None => String::new(),
    };
    format!(
        "{:<24}{:>10.0}{:>8.4}{:>10.2}{:>8}{:>8.0}{:>7.0}{:>7.0}{:>6.0}{:>8.0}ms{:>9.1}ms",
        name,
        figures.offered,
        figures.goodput_share,
        figures.goodput_per_second,
        wasted,
        figures.refused,
        figures.cancelled,
        figures.broken,
        figures.lost,
        figures.first_token_p95_ms,
        figures.between_tokens_p95_ms,
    )
}

fn spreads(report: &PolicyReport) -> String {
    format!(
        "{:<34}{:>8.4}{:>10}{:>8.4}",
        "  spread between seeds",
        report.goodput_spread(),
        "",
        report.waste_spread(),
    )
}
