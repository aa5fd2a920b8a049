//! Runs, sweeps and comparisons: cases are dealt to threads and come out in the order in which they were asked.
use crate::error::Error;
use crate::{chart, spread, table};
use clap::Args;
use simulator::{Plan, Results, play};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

/// `run`'s arguments.
#[derive(Args)]
pub struct Run {
    /// The plan, a TOML file.
    plan: PathBuf,
    #[command(flatten)]
    how: How,
}

/// `sweep`'s arguments.
#[derive(Args)]
pub struct Sweep {
    /// The plan, a TOML file.
    plan: PathBuf,
    /// The key that changes; a trouble's or a class's as `trouble.0.by`.
    #[arg(long)]
    key: String,
    /// Its values.
    #[arg(long, value_delimiter = ',', required = true)]
    values: Vec<String>,
    #[command(flatten)]
    how: How,
}

#[derive(Args)]
struct How {
    /// How many seeds, from the plan's on.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Threads; the results do not depend on it.
    #[arg(long, default_value_t = 4)]
    threads: usize,
    /// Where results, tables and charts are put.
    #[arg(long)]
    out: Option<PathBuf>,
}

/// A case and what came of it.
pub struct Case {
    /// Its name: the value of the key, and the seed.
    pub name: String,
    /// What came of it.
    pub results: Results,
}

fn read(path: &Path) -> Result<toml::Table, Error> {
    let text = std::fs::read_to_string(path).map_err(|source| Error::Read { path: path.into(), source })?;
    text.parse().map_err(|source| Error::Toml { path: path.into(), source })
}

fn plan(path: &Path, table: &toml::Table) -> Result<Plan, Error> {
    let text = toml::to_string(table)?;
    Plan::read(&text).map_err(|source| Error::Plan { path: path.into(), source })
}

/// Sets a key, which may stand in a table or a list.
fn set(table: &mut toml::Table, key: &str, value: &str) -> Result<(), Error> {
    let parsed: toml::Table = format!("x = {value}")
        .parse()
        .or_else(|_| format!("x = '{value}'").parse())
        .map_err(|_| Error::Value(value.into()))?;
    let missing = |part: &str| Error::Key { key: key.into(), part: part.into() };
    let mut words = key.split('.').peekable();
    let first = words.next().unwrap_or("");
    let value = parsed["x"].clone();
    if words.peek().is_none() {
        table.insert(first.to_string(), value);
        return Ok(());
    }
    let mut at = table.get_mut(first).ok_or_else(|| missing(first))?;
    while let Some(word) = words.next() {
        let last = words.peek().is_none();
        at = match at {
            toml::Value::Array(a) => {
                let n: usize = word.parse().map_err(|_| missing(word))?;
                a.get_mut(n).ok_or_else(|| missing(word))?
            }
            toml::Value::Table(t) if last => {
                t.insert(word.to_string(), value);
                return Ok(());
            }
            toml::Value::Table(t) => t.get_mut(word).ok_or_else(|| missing(word))?,
            _ => return Err(missing(word)),
        };
    }
    *at = value;
    Ok(())
}

/// Plays cases on threads; they come back in order.
fn play_all(cases: Vec<(String, Plan)>, threads: usize) -> Vec<Case> {
    let (next, done) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|s| {
        for _ in 0..threads.max(1) {
            s.spawn(|| {
                while let Some((name, plan)) = cases.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let case = Case { name: name.clone(), results: play(plan) };
                    let at = cases.iter().position(|(n, _)| n == name).unwrap_or(0);
                    done.lock().unwrap_or_else(PoisonError::into_inner).push((at, case));
                }
            });
        }
    });
    let mut done = done.into_inner().unwrap_or_else(PoisonError::into_inner);
    done.sort_by_key(|(at, _)| *at);
    done.into_iter().map(|(_, case)| case).collect()
}

fn seeds(name: &str, plan: &Plan, how: &How) -> Vec<(String, Plan)> {
    let seeded = |k| {
        let seed = plan.seed + k;
        (format!("{name}, seed {seed}"), Plan { seed, ..plan.clone() })
    };
    (0..how.seeds.max(1)).map(seeded).collect()
}

/// The rules that a run violated, and how often.
fn violated_rules(results: &Results) -> String {
    let rules = results.violations.iter().map(|(rule, count)| format!("{rule}: {count}"));
    format!("{{{}}}", rules.collect::<Vec<_>>().join(", "))
}

fn told(cases: &[Case], out: Option<&Path>, title: &str) -> Result<(), Error> {
    print!("{}", table::summary(cases));
    if let [only] = cases {
        print!("\n{}", table::classes(&only.results));
    }
    print!("\n{}", spread::summary(cases));
    for c in cases.iter().filter(|c| !c.results.violations.is_empty()) {
        println!("{}: RULES BROKEN: {}", c.name, violated_rules(&c.results));
        c.results.first_violations.iter().for_each(|b| println!("  {b}"));
    }
    if let Some(out) = out {
        std::fs::create_dir_all(out).map_err(|e| Error::write(out, e))?;
        table::write(out, cases)?;
        chart::seconds(&out.join("seconds.svg"), title, cases)?;
        println!("\nresults.json, seconds.parquet and seconds.svg are in {}", out.display());
    }
    // A broken rule is a failed experiment, whatever its figures are.
    let broken = cases.iter().filter(|c| !c.results.violations.is_empty()).count();
    if broken > 0 { Err(Error::Broken { broken, cases: cases.len() }) } else { Ok(()) }
}

/// Plays a plan.
pub fn run(asked: &Run) -> Result<(), Error> {
    let plan = plan(&asked.plan, &read(&asked.plan)?)?;
    let cases = play_all(seeds(&plan.name, &plan, &asked.how), asked.how.threads);
    told(&cases, asked.how.out.as_deref(), &plan.name)
}

/// Plays a plan with several values of a key.
pub fn sweep(asked: &Sweep) -> Result<(), Error> {
    let table = read(&asked.plan)?;
    let mut cases = Vec::new();
    for value in &asked.values {
        let mut changed = table.clone();
        set(&mut changed, &asked.key, value)?;
        let plan = plan(&asked.plan, &changed)?;
        cases.extend(seeds(&format!("{} {value}", asked.key), &plan, &asked.how));
    }
    let cases = play_all(cases, asked.how.threads);
    told(&cases, asked.how.out.as_deref(), &format!("{} over {}", asked.plan.display(), asked.key))
}

/// Compares two folders of results, and draws their spread where asked.
pub fn compare(before: &Path, after: &Path, spread: Option<&Path>) -> Result<(), Error> {
    let (before, after) = (table::read(before)?, table::read(after)?);
    print!("{}", table::compared(&before, &after));
    spread.map_or(Ok(()), |path| chart::spread(path, &before, &after))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn keys_are_set_wherever_they_stand() {
        let text = "rate = 1.0\n[[trouble]]\nkind = 'hang'\nat_s = 1\n";
        let mut t: toml::Table = text.parse().unwrap();
        set(&mut t, "rate", "250").unwrap();
        set(&mut t, "name", "a b").unwrap();
        set(&mut t, "trouble.0.count", "3").unwrap();
        let p = Plan::read(&toml::to_string(&t).unwrap()).unwrap();
        assert_eq!((p.request_rate, p.name.as_str(), p.faults[0].count), (250.0, "a b", 3));
        assert!(set(&mut t, "trouble.7.count", "3").is_err());
        assert!(set(&mut t, "rate.x", "3").is_err());
        assert!(set(&mut t, "nothing.x", "3").is_err());
    }

    #[test]
    fn cases_come_back_in_order_and_do_not_depend_on_threads() {
        let plan = Plan { duration_s: 2.0, warmup_s: 0.5, request_rate: 200.0, ..Plan::default() };
        let how = How { seeds: 5, threads: 1, out: None };
        let of = |threads| play_all(seeds("x", &plan, &how), threads);
        let (one, four) = (of(1), of(4));
        let same = |(a, b): (&Case, &Case)| a.name == b.name && a.results == b.results;
        assert!(one.len() == 5 && one.iter().zip(&four).all(same));
    }
}
