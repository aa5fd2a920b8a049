//! Jitter of the notification intervals.
use decision::Micros;

/// A seeded pseudo-random generator (splitmix64).
#[derive(Clone, Debug)]
pub(super) struct Jitter {
    seed: u64,
    state: u64,
}

impl Jitter {
    pub(super) fn new(seed: u64) -> Jitter {
        Jitter { seed, state: 0 }
    }

    /// Returns a random interval between half of `longest` and `longest`.
    pub(super) fn interval(&mut self, longest: Micros) -> Micros {
        self.state = self.state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.seed ^ self.state;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^= z >> 31;
        longest / 2 + (z % (longest.max(2) as u64 / 2)) as Micros
    }
}
