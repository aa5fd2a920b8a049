//! Generators of random numbers for recorded runs: small, and fixed for good, since the fixtures follow from them.

/// A generator whose numbers follow from its seed alone.
pub trait Random {
    /// The next number of the generator. Not all of its 64 bits need be random.
    fn next_number(&mut self) -> u64;

    /// A number from 0 to below `bound`.
    ///
    /// # Panics
    /// If `bound` is 0.
    fn below(&mut self, bound: u64) -> u64 {
        self.next_number() % bound
    }

    /// A time from 0 to below `bound`, in the unit of `bound`.
    ///
    /// # Panics
    /// If `bound` is 0.
    fn time_below(&mut self, bound: i64) -> i64 {
        self.below(bound as u64) as i64
    }

    /// True once in `bound` times on average.
    ///
    /// # Panics
    /// If `bound` is 0.
    fn one_in(&mut self, bound: u64) -> bool {
        self.below(bound) == 0
    }

    /// True half of the time.
    fn coin(&mut self) -> bool {
        self.one_in(2)
    }

    /// One of the items.
    ///
    /// # Panics
    /// If there are none.
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
    /// A generator that begins from this seed.
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
    /// A generator that begins from this seed.
    ///
    /// # Panics
    /// If the seed is 0, from which every number would be 0.
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

/// The linear congruential generator of Donald Knuth's MMIX, of whose state the upper 31 bits are given.
pub struct LinearCongruential(u64);

impl LinearCongruential {
    /// A generator that begins from this seed.
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
