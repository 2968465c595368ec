//! The hash that maps names to numeric ids.

const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0100_0000_01b3;

/// The 64-bit FNV-1a hash of a text (Fowler, Noll and Vo; draft-eastlake-fnv). It has no seed, so that a name has the
/// same hash in every process; it does not resist collisions that an adversary chooses.
pub fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}
