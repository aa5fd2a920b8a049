//! Figures of a run, as text.
use crate::check::Verdict;
use crate::child::Cost;
use crate::history::{History, Outcome, Request};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// What processes cost, before the first fault.
#[derive(Clone, Debug, Default)]
pub struct Costs {
    /// Each router.
    pub routers: Vec<Cost>,
    /// Each node of the store.
    pub nodes: Vec<Cost>,
    /// What the first router and the store exchanged, bytes a second both ways; `None` where nothing talks.
    pub talk_bytes_per_s: Option<f64>,
}

/// All that a run showed.
#[derive(Debug)]
pub struct Report {
    /// Routers.
    pub routers: usize,
    /// All processes were ready after this time.
    pub started: Duration,
    /// The whole run's time.
    pub took: Duration,
    /// What processes cost.
    pub costs: Costs,
    /// Routers that ended by themselves, with their logs' last lines.
    pub dead: Vec<(usize, Vec<String>)>,
    /// What happened.
    pub history: History,
    /// What the checker says.
    pub verdict: Verdict,
}

/// How a tenant's requests ended.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ended {
    /// Requests.
    pub asked: usize,
    /// By outcome.
    pub by: BTreeMap<Outcome, usize>,
    /// Of served ones, from when they were due, in milliseconds.
    pub p50_ms: f64,
    /// The same.
    pub p99_ms: f64,
}

impl Ended {
    fn of<'a>(requests: impl Iterator<Item = &'a Request>) -> Ended {
        let mut ended = Ended::default();
        // Bounds that are known to be good; without it there are no quantiles.
        let mut took = Histogram::<u64>::new_with_bounds(1, 600_000_000, 3).ok();
        for r in requests {
            ended.asked += 1;
            *ended.by.entry(r.outcome).or_default() += 1;
            if let (Outcome::Served, Some(h)) = (r.outcome, took.as_mut()) {
                h.saturating_record(r.ended.saturating_sub(r.due));
            }
        }
        let ms = |q| took.as_ref().map_or(0.0, |h| h.value_at_quantile(q) as f64 / 1000.0);
        (ended.p50_ms, ended.p99_ms) = (ms(0.5), ms(0.99));
        ended
    }

    /// Requests that ended so.
    pub fn count(&self, outcome: Outcome) -> usize {
        self.by.get(&outcome).copied().unwrap_or(0)
    }
}

impl Report {
    /// Whether nothing was found that must not be.
    pub fn good(&self) -> bool {
        self.verdict.violations.is_empty() && self.dead.is_empty()
    }

    /// By tenant, in the plan's order.
    pub fn ended(&self) -> Vec<(String, Ended)> {
        let of = |t| Ended::of(self.history.requests.iter().filter(move |r| r.tenant == t));
        self.history.tenants.iter().enumerate().map(|(t, said)| (said.name.clone(), of(t))).collect()
    }
}

/// The mean and the most.
fn mean_most(costs: &[Cost], of: fn(&Cost) -> u64) -> (f64, u64) {
    let sum: u64 = costs.iter().map(of).sum();
    (sum as f64 / costs.len().max(1) as f64, costs.iter().map(of).max().unwrap_or(0))
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (all, v) = (&self.history, &self.verdict);
        writeln!(
            f,
            "{} routers, {} servers, ready after {:.1} s, all over after {:.1} s; {} requests, {} statements ran",
            self.routers,
            all.servers.len(),
            self.started.as_secs_f64(),
            self.took.as_secs_f64(),
            all.requests.len(),
            all.statements.len()
        )?;
        let downs: std::collections::BTreeSet<usize> = all.downs.iter().map(|d| d.router).collect();
        writeln!(f, "{} routers were down for a time", downs.len())?;
        writeln!(
            f,
            "\n{:<16}{:>8}{:>8}{:>9}{:>8}{:>6}{:>12}{:>8}{:>10}{:>10}",
            "tenant",
            "asked",
            "served",
            "refused",
            "failed",
            "lost",
            "unanswered",
            "unsent",
            "p50 ms",
            "p99 ms"
        )?;
        for (name, e) in self.ended() {
            use Outcome::{Failed, Lost, Refused, Served, Unanswered, Unsent};
            let [s, r, x, l, a, u] =
                [Served, Refused, Failed, Lost, Unanswered, Unsent].map(|outcome| e.count(outcome));
            let (asked, p50, p99) = (e.asked, e.p50_ms, e.p99_ms);
            writeln!(f, "{name:<16}{asked:>8}{s:>8}{r:>9}{x:>8}{l:>6}{a:>12}{u:>8}{p50:>10.1}{p99:>10.1}")?;
        }
        let mut codes: BTreeMap<u16, usize> = BTreeMap::new();
        all.requests.iter().filter(|r| r.code != 0).for_each(|r| *codes.entry(r.code).or_default() += 1);
        codes.iter().try_for_each(|(code, n)| writeln!(f, "error {code}: {n}"))?;
        writeln!(f, "\nquotas: requests beside the bound in the worst window (above 0 is too many)")?;
        for s in v.spent.iter() {
            match (&s.certain, &s.by_arrival) {
                (Some(c), Some(a)) => {
                    let (ran, made) = (s.ran, s.made.unwrap_or(0.0));
                    writeln!(
                        f,
                        "{:<16} {ran} ran, the rate made {made:.0}; certain: {c}; by arrival: {a}",
                        s.tenant
                    )?;
                }
                _ => writeln!(f, "{:<16} {} ran; not bounded", s.tenant, s.ran)?,
            }
        }
        writeln!(
            f,
            "the longest way from a client's write to a server: {:.1} ms",
            v.longest_way as f64 / 1e3
        )?;
        writeln!(
            f,
            "\nspread of reads by second: the busiest replica by the mean (and what chance alone gives)"
        )?;
        for s in &v.spread {
            writeln!(
                f,
                "group {}: {} replicas, {} windows: mean {:.2} ({:.2}), worst {:.2}, idle {} ({:.1})",
                s.group, s.replicas, s.windows, s.max_by_mean, s.chance, s.worst, s.idle, s.chance_idle
            )?;
        }
        writeln!(f, "\nwhat one costs: mean (most)")?;
        for (what, costs) in [("router", &self.costs.routers), ("node", &self.costs.nodes)] {
            if !costs.is_empty() {
                let ((t, t_most), (m, m_most)) =
                    (mean_most(costs, |c| c.threads), mean_most(costs, |c| c.resident_kb));
                let (own, own_most) = mean_most(costs, |c| c.own_kb);
                writeln!(
                    f,
                    "{what:<8}{t:.1} ({t_most}) threads, {:.1} ({:.1}) MB resident, {:.1} ({:.1}) MB of these its own",
                    m / 1024.0,
                    m_most as f64 / 1024.0,
                    own / 1024.0,
                    own_most as f64 / 1024.0
                )?;
            }
        }
        if let Some(talk) = self.costs.talk_bytes_per_s {
            writeln!(f, "talk of one router with the store: {talk:.0} bytes a second, both ways together")?;
        }
        for (router, lines) in &self.dead {
            writeln!(f, "router {router} ended by itself: {}", lines.join(" | "))?;
        }
        writeln!(f, "\n{} violations", v.violations.len())?;
        v.violations.iter().take(20).try_for_each(|x| writeln!(f, "  {x}"))
    }
}
