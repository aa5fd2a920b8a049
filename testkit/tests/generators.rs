//! Tests that the generators and the hash give published values, or the values that fixtures were recorded
//! with.
use testkit::hash::fnv1a;
use testkit::random::{LinearCongruential, Random, SplitMix64, XorShift64};

#[test]
fn split_mix_64_gives_published_numbers() {
    let mut random = SplitMix64::new(1_234_567);
    let numbers: Vec<u64> = (0..3).map(|_| random.next_number()).collect();
    assert_eq!(numbers, [6_457_827_717_110_365_317, 3_203_168_211_198_807_973, 9_817_491_932_198_370_423]);
}

#[test]
fn xor_shift_gives_number_computed_by_hand() {
    let mut random = XorShift64::new(1);
    // 1 ^ (1 << 13) = 0x2001; ^ (>> 7) = 0x2041; ^ (<< 17) = 0x4082_2041.
    assert_eq!(random.next_number(), 0x4082_2041);
}

#[test]
#[should_panic(expected = "a seed other than 0")]
fn xor_shift_rejects_seed_zero() {
    XorShift64::new(0);
}

#[test]
fn linear_congruential_gives_upper_bits_of_the_state() {
    let mut random = LinearCongruential::new(0);
    assert_eq!(random.next_number(), 1_442_695_040_888_963_407 >> 33);
}

#[test]
fn numbers_are_below_the_bound() {
    let mut random = SplitMix64::new(7);
    assert!((0..1000).all(|_| random.below(10) < 10));
    assert!((0..1000).all(|_| (0..10).contains(&random.time_below(10))));
    assert!((0..1000).all(|_| ["a", "b"].contains(random.pick(&["a", "b"]))));
}

#[test]
fn fnv1a_gives_published_hashes() {
    assert_eq!(fnv1a(""), 0xcbf2_9ce4_8422_2325);
    assert_eq!(fnv1a("a"), 0xaf63_dc4c_8601_ec8c);
    assert_eq!(fnv1a("foobar"), 0x8594_4171_f739_67e8);
}
