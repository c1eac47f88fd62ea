//! `bench sweep`: goodput against wasted prefill over the `waste` column, and all policies over the load.

use {
    crate::{
        bench_error::{BenchError, FileWriteSnafu},
        policy_command::compare,
        policy_run::PolicyName,
        scenario::scenario_file::ScenarioFile,
        sweep::{
            sweep_curve::{SweepCurve, SweepPoint},
            sweep_plot::SweepPlot,
            sweep_table::sweep_table,
        },
    },
    clap::Args,
    snafu::ResultExt,
    std::{
        fs,
        path::{Path, PathBuf},
        process::ExitCode,
        sync::Arc,
    },
};

/// The loads of the capacity sweep, as multiples of the computed capacity.
const LOADS: [f64; 7] = [0.5, 0.75, 1.0, 1.25, 1.5, 1.75, 2.0];
/// The values of the `waste` column.
const WASTES: [f64; 7] = [0.0, 0.05, 0.1, 0.25, 0.5, 0.75, 1.0];

/// Writes curves to a folder, as CSV and SVG.
#[derive(Args, Debug)]
pub struct SweepCommand {
    /// The folder.
    #[arg(default_value = "docs/plots", long)]
    out: PathBuf,
    /// The scenarios' files, separated by commas.
    #[arg(
        default_value = "scenarios/batimetria.yaml,scenarios/krasns.yaml,scenarios/stale.yaml",
        long,
        value_delimiter = ','
    )]
    scenarios: Vec<PathBuf>,
    /// The first seed.
    #[arg(default_value_t = 1, long)]
    seed: u64,
    /// How many seeds.
    #[arg(default_value_t = 3, long)]
    seeds: u64,
}

impl SweepCommand {
    /// Writes both sweeps of each scenario.
    ///
    /// # Errors
    /// A scenario can't be read or has faults, or a file can't be written.
    pub fn run(self) -> Result<ExitCode, BenchError> {
        let path = &self.out;
        fs::create_dir_all(path).context(FileWriteSnafu { path })?;
        for scenario in &self.scenarios {
            let file = ScenarioFile::load(scenario)?;
            let name = scenario.file_stem().unwrap_or_default().to_string_lossy();
            self.sweep_load(&file, &name)?;
            self.sweep_waste(&file, &name)?;
        }
        Ok(ExitCode::SUCCESS)
    }

    fn sweep_load(&self, file: &ScenarioFile, name: &str) -> Result<(), BenchError> {
        let mut file = file.clone();
        file.bursts.clear();
        file.day.clear();
        let curves = self.curves(&PolicyName::ALL, &LOADS, |load| {
            file.load = load;
            file.clone()
        });
        self.write(&format!("load-{name}.csv"), &sweep_table("load", &curves))?;
        let good = |point: &SweepPoint| (point.setting, point.report.mean().goodput_per_second);
        let goodput = SweepPlot {
            caption: format!("{name}: goodput over the load"),
            curves: pairs(&curves, good),
            horizontal: "load, multiples of the computed capacity",
            vertical: "requests a second that met both targets",
        };
        goodput.draw(&self.path(&format!("load-{name}.svg")))?;
        let wasted = |point: &SweepPoint| (point.setting, point.report.mean_waste().total());
        let waste = SweepPlot {
            caption: format!("{name}: wasted prefill over the load"),
            curves: pairs(&curves, wasted),
            horizontal: "load, multiples of the computed capacity",
            vertical: "wasted part of the prompt tokens read",
        };
        waste.draw(&self.path(&format!("wasted-{name}.svg")))
    }

    fn sweep_waste(&self, file: &ScenarioFile, name: &str) -> Result<(), BenchError> {
        let mut file = file.clone();
        let mut curves = self.curves(&[PolicyName::Ours], &WASTES, |waste| {
            for mix in &mut file.rows {
                mix.waste = waste;
            }
            file.clone()
        });
        // The other policies don't look at the column: one point each.
        let others = [
            PolicyName::Naive,
            PolicyName::Reserve,
            PolicyName::Clairvoyant,
        ];
        curves.extend(self.curves(&others, &[0.0], |_| file.clone()));
        self.write(&format!("waste-{name}.csv"), &sweep_table("waste", &curves))?;
        let trade = |point: &SweepPoint| {
            let goodput = point.report.mean().goodput_share;
            (point.report.mean_waste().total(), goodput)
        };
        let plot = SweepPlot {
            caption: format!("{name}: goodput against wasted prefill, waste column from 0 to 1"),
            curves: pairs(&curves, trade),
            horizontal: "wasted part of the prompt tokens read",
            vertical: "share of requests that met both targets",
        };
        plot.draw(&self.path(&format!("waste-{name}.svg")))
    }

    fn curves(
        &self,
        policies: &[PolicyName],
        settings: &[f64],
        mut file: impl FnMut(f64) -> ScenarioFile,
    ) -> Vec<SweepCurve> {
        let mut curves = Vec::new();
        for policy in policies {
            curves.push(SweepCurve::new(*policy));
        }
        for setting in settings {
            let file = Arc::new(file(*setting));
            let reports = compare(&file, policies, self.seed, self.seeds);
            for (curve, report) in curves.iter_mut().zip(reports) {
                let setting = *setting;
                curve.points.push(SweepPoint { report, setting });
            }
        }
        curves
    }

    fn path(&self, name: &str) -> PathBuf {
        self.out.join(name)
    }

    fn write(&self, name: &str, text: &str) -> Result<(), BenchError> {
        let path: &Path = &self.path(name);
        fs::write(path, text).context(FileWriteSnafu { path })?;
        println!("{}", path.display());
        Ok(())
    }
}

fn pairs(
    curves: &[SweepCurve],
    pair: impl Fn(&SweepPoint) -> (f64, f64),
) -> Vec<(PolicyName, Vec<(f64, f64)>)> {
    let mut pairs = Vec::new();
    for curve in curves {
        pairs.push((curve.policy, curve.pairs(&pair)));
    }
    pairs
}
