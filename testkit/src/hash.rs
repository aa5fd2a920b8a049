//! The hash that fixtures record instead of long texts.

const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// Computes the 64-bit FNV-1a hash, which is the same on all platforms and with all compilers.
pub fn fnv1a(bytes: impl AsRef<[u8]>) -> u64 {
    bytes.as_ref().iter().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME))
}
