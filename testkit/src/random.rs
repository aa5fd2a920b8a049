//! Deterministic random number generators for recorded runs. Their algorithms must not change, since the
//! fixtures depend on the numbers.

/// A random number generator whose numbers depend on its seed alone.
pub trait Random {
    /// Returns the next number of the generator. Some generators give fewer than 64 random bits.
    fn next_number(&mut self) -> u64;

    /// Returns a number from 0 to below `bound`.
    ///
    /// # Panics
    /// Panics if `bound` is 0.
    fn below(&mut self, bound: u64) -> u64 {
        self.next_number() % bound
    }

    /// Returns a time from 0 to below `bound`, in the unit of `bound`.
    ///
    /// # Panics
    /// Panics if `bound` is 0.
    fn time_below(&mut self, bound: i64) -> i64 {
        self.below(bound as u64) as i64
    }

    /// Returns true with a probability of 1 in `bound`.
    ///
    /// # Panics
    /// Panics if `bound` is 0.
    fn one_in(&mut self, bound: u64) -> bool {
        self.below(bound) == 0
    }

    /// Returns true with a probability of one half.
    fn coin(&mut self) -> bool {
        self.one_in(2)
    }

    /// Returns a random item of the slice.
    ///
    /// # Panics
    /// Panics if the slice is empty.
    fn pick<'a, T>(&mut self, items: &'a [T]) -> &'a T
    where
        Self: Sized,
    {
        &items[self.below(items.len() as u64) as usize]
    }
}

/// Sebastiano Vigna's `SplitMix64`.
pub struct SplitMix64(u64);

impl SplitMix64 {
    /// Creates a generator with this seed.
    pub fn new(seed: u64) -> SplitMix64 {
        SplitMix64(seed)
    }
}

impl Random for SplitMix64 {
    fn next_number(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}

/// George Marsaglia's xorshift with 64 bits and the shifts 13, 7 and 17.
pub struct XorShift64(u64);

impl XorShift64 {
    /// Creates a generator with this seed.
    ///
    /// # Panics
    /// Panics if the seed is 0, as every number would be 0.
    pub fn new(seed: u64) -> XorShift64 {
        assert_ne!(seed, 0, "xorshift needs a seed other than 0");
        XorShift64(seed)
    }
}

impl Random for XorShift64 {
    fn next_number(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
}

/// The linear congruential generator of Donald Knuth's MMIX, which returns the upper 31 bits of its state.
pub struct LinearCongruential(u64);

impl LinearCongruential {
    /// Creates a generator with this seed.
    pub fn new(seed: u64) -> LinearCongruential {
        LinearCongruential(seed)
    }
}

impl Random for LinearCongruential {
    fn next_number(&mut self) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        self.0 >> 33
    }
}
