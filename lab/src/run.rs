//! `run`, `sweep` and `compare`: simulated experiments, their tables and charts.
use crate::case::Case;
use crate::error::Error;
use crate::parallel::{PlannedCase, cases_with_seeds, run_cases};
use crate::plan_file::{plan_from_table, read_table, set_key};
use crate::{chart, result_files, spread_chart, spread_table, table};
use clap::Args;
use simulator::Results;
use std::path::{Path, PathBuf};

/// Arguments of `run`.
#[derive(Args)]
pub struct RunArguments {
    /// Plan of the simulation (TOML file)
    plan: PathBuf,
    #[command(flatten)]
    options: RunOptions,
}

/// Arguments of `sweep`.
#[derive(Args)]
pub struct SweepArguments {
    /// Plan of the simulation (TOML file)
    plan: PathBuf,
    /// Key to vary; use the form `trouble.0.by` for a key of a fault or class
    #[arg(long)]
    key: String,
    /// Values of the key, separated by commas
    #[arg(long, value_delimiter = ',', required = true)]
    values: Vec<String>,
    #[command(flatten)]
    options: RunOptions,
}

/// Arguments of `compare`.
#[derive(Args)]
pub struct CompareArguments {
    /// Folder with the baseline results
    before: PathBuf,
    /// Folder with the results to compare
    after: PathBuf,
    /// Writes an SVG chart of both results' load distribution to this file
    #[arg(long)]
    spread: Option<PathBuf>,
}

#[derive(Args)]
struct RunOptions {
    /// Number of seeds, starting with the plan's seed
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Number of threads; it does not affect the results
    #[arg(long, default_value_t = 4)]
    threads: usize,
    /// Folder to which results and charts are written
    #[arg(long)]
    out: Option<PathBuf>,
}

/// Runs the simulation of a plan and prints its results.
///
/// # Errors
/// Returns an error if the plan is invalid, results can't be written, or a case violated a rule.
pub fn run(arguments: &RunArguments) -> Result<(), Error> {
    let plan = plan_from_table(&arguments.plan, &read_table(&arguments.plan)?)?;
    let planned = cases_with_seeds(&plan.name, &plan, arguments.options.seeds);
    run_and_report(&planned, &arguments.options, &plan.name)
}

/// Runs the simulation of a plan with several values of a key, and prints the results.
///
/// # Errors
/// Returns the errors of [`run`], and an error if the key is not in the plan.
pub fn sweep(arguments: &SweepArguments) -> Result<(), Error> {
    let SweepArguments { plan: path, key, values, options } = arguments;
    let table = read_table(path)?;
    let mut planned = Vec::new();
    for value in values {
        let mut changed = table.clone();
        set_key(&mut changed, key, value)?;
        let plan = plan_from_table(path, &changed)?;
        planned.extend(cases_with_seeds(&format!("{key} {value}"), &plan, options.seeds));
    }
    run_and_report(&planned, options, &format!("{} over {key}", path.display()))
}

/// Prints the differences between two folders of results, and writes a chart of the load distribution if a
/// file is given.
///
/// # Errors
/// Returns an error if results can't be read or the chart can't be written.
pub fn compare(arguments: &CompareArguments) -> Result<(), Error> {
    let before = result_files::read(&arguments.before)?;
    let after = result_files::read(&arguments.after)?;
    print!("{}", table::comparison(&before, &after));
    match &arguments.spread {
        Some(path) => spread_chart::write(path, &before, &after),
        None => Ok(()),
    }
}

fn run_and_report(planned: &[PlannedCase], options: &RunOptions, title: &str) -> Result<(), Error> {
    let cases = run_cases(planned, options.threads);
    print_tables(&cases);
    print_violations(&cases);
    if let Some(folder) = &options.out {
        write_results(folder, &cases, title)?;
    }
    let violating = cases.iter().filter(|case| case.violates_rules()).count();
    if violating > 0 {
        return Err(Error::RulesViolated { violating, cases: cases.len() });
    }
    Ok(())
}

fn print_tables(cases: &[Case]) {
    print!("{}", table::summary(cases));
    if let [only] = cases {
        print!("\n{}", table::classes(&only.results));
    }
    print!("\n{}", spread_table::summary(cases));
}

fn print_violations(cases: &[Case]) {
    for case in cases.iter().filter(|case| case.violates_rules()) {
        println!("{}: RULES BROKEN: {}", case.name, violation_counts(&case.results));
        case.results.first_violations.iter().for_each(|violation| println!("  {violation}"));
    }
}

fn violation_counts(results: &Results) -> String {
    let counts = results.violations.iter().map(|(rule, count)| format!("{rule}: {count}"));
    format!("{{{}}}", counts.collect::<Vec<_>>().join(", "))
}

fn write_results(folder: &Path, cases: &[Case], title: &str) -> Result<(), Error> {
    std::fs::create_dir_all(folder).map_err(|source| Error::write(folder, source))?;
    result_files::write(folder, cases)?;
    chart::write(&folder.join("seconds.svg"), title, cases)?;
    println!("\nresults.json, seconds.parquet and seconds.svg are in {}", folder.display());
    Ok(())
}
