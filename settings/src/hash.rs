//! The hash by which names become numbers.

const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0100_0000_01b3;

/// The 64-bit FNV-1a hash of a text (Fowler, Noll and Vo; draft-eastlake-fnv). It has no seed, so that equal names are equal numbers in every
/// process; it does not resist an adversary who chooses the names.
pub fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}
