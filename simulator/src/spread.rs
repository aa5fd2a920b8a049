//! How evenly replicas are given work: what starts at each, by windows, beside what chance alone gives.
use decision::Time;
use fastrand::Rng;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// An instance with nothing to do for so long while its group has work is counted idle, in microseconds.
pub const IDLE: i64 = 2_000_000;
/// Seconds in a long window.
pub const WINDOW: usize = 10;

/// Most against mean, over windows of one length.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ratio {
    /// Windows that were counted: one for each group, or one for the fleet.
    pub windows: u64,
    /// Starts at the instance with most, against the mean: the mean over windows.
    pub mean: f64,
    /// The worst window.
    pub worst: f64,
    /// The mean over the same windows, had each start gone to any instance with the same chance.
    pub chance: f64,
    /// The mean of the highest that such chance gives in as many windows.
    pub chance_worst: f64,
}

/// How evenly a run was spread over the replicas in service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// Within each group, by windows of ten seconds.
    pub group_10s: Ratio,
    /// Within each group, by seconds.
    pub group_1s: Ratio,
    /// Over all replicas in service, by windows of ten seconds.
    pub fleet_10s: Ratio,
    /// Over all replicas in service, by seconds.
    pub fleet_1s: Ratio,
    /// Within each group, by seconds, in the ten seconds after a trouble's end.
    pub after_1s: Ratio,
    /// Within each group, the ten seconds after a trouble's end.
    pub after_10s: Ratio,
    /// The share of replicas' time in service in which they were idle beside a group that had work.
    pub idle: f64,
    /// Spells of it.
    pub idle_spells: u64,
    /// The longest, in seconds.
    pub idle_longest: f64,
}

#[derive(Clone, Debug)]
struct Seat {
    group: usize,
    /// Since when it is in service; none while it is not.
    serves: Option<Time>,
    /// Work that it has, and since when it has none.
    has: usize,
    free: Time,
    /// What had started in its group by then.
    then: u64,
}

/// Watches replicas through a run.
pub struct Meter {
    from: Time,
    seats: Vec<Seat>,
    /// Starts at each seat, by second.
    starts: Vec<Vec<u32>>,
    /// Whether each seat was in service through the whole second.
    whole: Vec<Vec<bool>>,
    groups: Vec<u64>,
    idle: i64,
    served: i64,
    spells: u64,
    longest: i64,
}

impl Meter {
    /// One for instances of the given groups, all out of service, from a time on for whole seconds.
    pub fn new(from: Time, seconds: usize, groups: &[usize]) -> Meter {
        let seat = |g: &usize| Seat { group: *g, serves: None, has: 0, free: from, then: 0 };
        Meter {
            from,
            seats: groups.iter().map(seat).collect(),
            starts: vec![vec![0; groups.len()]; seconds],
            whole: vec![vec![false; groups.len()]; seconds],
            groups: vec![0; groups.iter().max().map_or(0, |g| g + 1)],
            idle: 0,
            served: 0,
            spells: 0,
            longest: 0,
        }
    }

    fn second(&self, at: Time) -> Option<usize> {
        let since = at.0 - self.from.0;
        (since >= 0).then_some((since / 1_000_000) as usize).filter(|s| *s < self.starts.len())
    }

    /// An instance is in service as a replica, with so much work at hand, or is not.
    pub fn service(&mut self, now: Time, seat: usize, serves: bool, has: usize) {
        if serves == self.seats[seat].serves.is_some() {
            return;
        }
        // Its second is no whole one, and what it does out of service is not counted.
        if now > self.from
            && let Some(s) = self.second(now)
        {
            self.whole[s][seat] = false;
        }
        if serves {
            let group = self.groups[self.seats[seat].group];
            let at = now.max(self.from);
            let s = &mut self.seats[seat];
            (s.serves, s.has, s.free, s.then) = (Some(at), has, at, group);
        } else {
            self.rest(now, seat);
            let s = &mut self.seats[seat];
            let since = s.serves.take().unwrap_or(now);
            self.served += (now.0 - since.0).max(0);
            let first = self.second(now).map_or(self.starts.len(), |s| s + 1);
            self.whole[first..].iter_mut().for_each(|w| w[seat] = false);
            return;
        }
        let first = self.second(now.max(self.from)).unwrap_or(self.starts.len());
        let first = first + usize::from(now > self.from);
        self.whole.iter_mut().skip(first).for_each(|w| w[seat] = true);
    }

    /// Closes a spell without work.
    fn rest(&mut self, now: Time, seat: usize) {
        let s = &self.seats[seat];
        let spell = now.0 - s.free.0;
        if s.serves.is_some() && s.has == 0 && spell >= IDLE && self.groups[s.group] > s.then {
            self.idle += spell;
            self.spells += 1;
            self.longest = self.longest.max(spell);
        }
    }

    /// A request starts at an instance.
    pub fn started(&mut self, now: Time, seat: usize) {
        self.rest(now, seat);
        if let Some(s) = self.second(now) {
            self.starts[s][seat] += 1;
        }
        self.seats[seat].has += 1;
        if self.seats[seat].serves.is_some() {
            self.groups[self.seats[seat].group] += 1;
        }
    }

    /// A request has ended at an instance, however.
    pub fn ended(&mut self, now: Time, seat: usize) {
        let group = self.groups[self.seats[seat].group];
        let s = &mut self.seats[seat];
        s.has = s.has.saturating_sub(1);
        if s.has == 0 {
            (s.free, s.then) = (now.max(self.from), group);
        }
    }

    /// What it amounts to; the ends of troubles are seconds from the begin.
    pub fn close(mut self, now: Time, ends: &[f64]) -> Spread {
        for seat in 0..self.seats.len() {
            self.rest(now, seat);
            let since = self.seats[seat].serves;
            self.served += since.map_or(0, |t| now.0 - t.0);
        }
        let seconds = self.starts.len();
        let long: Vec<usize> = (0..seconds / WINDOW).map(|w| w * WINDOW).collect();
        let short: Vec<usize> = (0..seconds).collect();
        let first = |e: &f64| e.max(0.0).ceil() as usize;
        let mut after: Vec<usize> = ends.iter().flat_map(|e| first(e)..first(e) + WINDOW).collect();
        after.retain(|s| *s < seconds);
        after.sort_unstable();
        after.dedup();
        let late: Vec<usize> = ends.iter().map(first).filter(|s| s + WINDOW <= seconds).collect();
        let chance = &mut Chance::default();
        Spread {
            group_10s: self.ratio(&long, WINDOW, true, chance),
            group_1s: self.ratio(&short, 1, true, chance),
            fleet_10s: self.ratio(&long, WINDOW, false, chance),
            fleet_1s: self.ratio(&short, 1, false, chance),
            after_1s: self.ratio(&after, 1, true, chance),
            after_10s: self.ratio(&late, WINDOW, true, chance),
            idle: self.idle as f64 / self.served.max(1) as f64,
            idle_spells: self.spells,
            idle_longest: self.longest as f64 / 1e6,
        }
    }

    fn ratio(&self, begins: &[usize], length: usize, by_group: bool, chance: &mut Chance) -> Ratio {
        let mut r = Ratio::default();
        let mut shapes = Vec::new();
        for &begin in begins {
            let span = begin..begin + length;
            let through = |n: &usize| span.clone().all(|s| self.whole[s][*n]);
            let mut counts: HashMap<usize, Vec<u64>> = HashMap::new();
            for n in (0..self.seats.len()).filter(through) {
                let of = if by_group { self.seats[n].group } else { 0 };
                let count = span.clone().map(|s| u64::from(self.starts[s][n])).sum();
                counts.entry(of).or_default().push(count);
            }
            for c in counts.into_values() {
                let sum: u64 = c.iter().sum();
                if c.len() < 2 || sum == 0 {
                    continue;
                }
                let most = c.iter().max().copied().unwrap_or(0) as f64 * c.len() as f64 / sum as f64;
                r.windows += 1;
                r.mean += most;
                r.worst = r.worst.max(most);
                shapes.push((sum, c.len()));
            }
        }
        // The order of tables must not matter to a sum.
        shapes.sort_unstable();
        let windows = r.windows.max(1) as f64;
        r.mean = (r.mean / windows * 1e9).round() / 1e9;
        (r.chance, r.chance_worst) = chance.of(&shapes);
        r
    }
}

/// What balls thrown into bins give, sampled once for about so many in so many.
#[derive(Default)]
struct Chance(HashMap<(u64, usize), Vec<f64>>);

/// Samples for each shape of window.
const SAMPLES: usize = 64;

impl Chance {
    /// Most against mean for these numbers of balls and bins: the mean, and the mean of the highest.
    fn of(&mut self, shapes: &[(u64, usize)]) -> (f64, f64) {
        let (mut mean, mut worst) = (0.0, [0.0_f64; SAMPLES]);
        for &(balls, bins) in shapes {
            // Two digits of the number are enough.
            let scale = 10_u64.pow(balls.ilog10().saturating_sub(1));
            let balls = (balls + scale / 2) / scale * scale;
            let drawn = self.0.entry((balls, bins)).or_insert_with(|| sample(balls, bins));
            mean += drawn.iter().sum::<f64>() / SAMPLES as f64;
            // Windows of one shape are drawn apart from each other.
            let mut rng = Rng::with_seed(shapes.len() as u64 ^ mean.to_bits());
            worst.iter_mut().for_each(|w| *w = w.max(drawn[rng.usize(0..SAMPLES)]));
        }
        (mean / shapes.len().max(1) as f64, worst.iter().sum::<f64>() / SAMPLES as f64)
    }
}

fn sample(balls: u64, bins: usize) -> Vec<f64> {
    let mut rng = Rng::with_seed(balls ^ (bins as u64) << 40);
    // Beyond so many for each bin, a normal draw for each is as good and far cheaper.
    let each = balls as f64 / bins as f64;
    let many = each > 200.0;
    let mut one = || {
        let mut counts = vec![0.0_f64; bins];
        if many {
            let normal = |rng: &mut Rng| (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
            let drawn: Vec<f64> = (0..bins).map(|_| normal(&mut rng)).collect();
            // The sum is given: deviations from their own mean.
            let mid = drawn.iter().sum::<f64>() / bins as f64;
            counts.iter_mut().zip(&drawn).for_each(|(c, d)| *c = each + each.sqrt() * (d - mid));
        } else {
            (0..balls).for_each(|_| counts[rng.usize(0..bins)] += 1.0);
        }
        counts.into_iter().fold(0.0, f64::max) / each
    };
    (0..SAMPLES).map(|_| one()).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(s: f64) -> Time {
        Time(5_000_000 + (s * 1e6) as i64)
    }

    fn meter(groups: &[usize], seconds: usize) -> Meter {
        let mut m = Meter::new(at(0.0), seconds, groups);
        (0..groups.len()).for_each(|n| m.service(at(0.0), n, true, 0));
        m
    }

    #[test]
    fn most_against_mean_by_group_and_fleet() {
        let mut m = Meter::new(at(0.0), 10, &[0, 0, 1, 1, 1]);
        // The last, a primary, is never in service as a replica, though it starts what is its own.
        (0..4).for_each(|n| m.service(at(-1.0), n, true, 0));
        m.service(at(-1.0), 4, false, 0);
        for (seat, starts) in [(0, 30), (1, 10), (2, 20), (3, 20), (4, 50)] {
            (0..starts).for_each(|_| m.started(at(0.5), seat));
        }
        let s = m.close(at(1.0), &[]);
        // One group at 30 of 20, one at 20 of 20; over all, 30 of 20.
        assert!((s.group_10s.mean - 1.25).abs() < 1e-9 && s.group_10s.worst == 1.5, "{s:?}");
        assert!(s.fleet_10s.windows == 1 && s.fleet_10s.worst == 1.5, "{s:?}");
        // Forty balls in two bins: 1 + sqrt(2 / (pi * 40)).
        assert!((s.group_10s.chance - 1.126).abs() < 0.03, "{s:?}");
        assert!(s.after_1s.windows == 0 && s.idle_spells == 0, "{s:?}");
    }

    #[test]
    fn one_out_of_service_is_left_out_and_seconds_after_a_fault_stand_apart() {
        let mut m = meter(&[0, 0, 0], 12);
        m.service(at(0.5), 2, false, 0);
        m.service(at(1.5), 2, true, 0);
        (0..4).for_each(|_| m.started(at(1.2), 0));
        (0..2).for_each(|_| m.started(at(2.2), 2));
        (0..4).for_each(|_| m.started(at(2.2), 1));
        let s = m.close(at(12.0), &[1.5]);
        // The second at 1 has two of them, 4 and 0; the one at 2 has three: 0, 4 and 2.
        assert!(s.group_1s.windows == 2 && (s.group_1s.mean - 2.0).abs() < 1e-9, "{s:?}");
        assert!(s.after_1s.windows == 1 && (s.after_1s.worst - 2.0).abs() < 1e-9, "{s:?}");
        // The long windows have whom they have from begin to end.
        assert!(s.after_10s.windows == 1 && s.after_10s.worst == 2.0, "{s:?}");
        assert_eq!((s.group_10s.windows, s.group_10s.worst), (1, 1.0));
    }

    #[test]
    fn idle_is_only_who_could_have_worked() {
        let mut m = meter(&[0, 0, 1], 10);
        for n in 0..8 {
            if n == 3 {
                m.started(at(3.0), 1);
            }
            m.started(at(f64::from(n)), 0);
            m.ended(at(f64::from(n) + 0.5), 0);
        }
        m.ended(at(9.0), 1);
        // One waited three seconds beside work; the other group had none, and long work is no idleness.
        let s = m.close(at(10.0), &[]);
        assert_eq!((s.idle_spells, s.idle_longest), (1, 3.0));
        assert!((s.idle - 0.1).abs() < 1e-9, "{s:?}");
    }

    #[test]
    fn chance_is_near_what_is_known_of_it() {
        let mean = |v: Vec<f64>| v.iter().sum::<f64>() / v.len() as f64;
        // Exact for two balls in two bins: 1.5; for many in two: 1 + sqrt(2 / (pi * balls)).
        assert!((mean(sample(2, 2)) - 1.5).abs() < 0.2);
        assert!((mean(sample(10_000, 2)) - 1.008).abs() < 0.002);
        assert!((mean(sample(300, 2)) - 1.046).abs() < 0.015);
    }
}
