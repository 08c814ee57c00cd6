//! Hashing of names, the same on all instances.

use base::mix_bits;

/// Returns a well-mixed hash of a seed and a name (FNV-1a with a finalizer).
pub(crate) fn seeded_hash(seed: u64, name: &str) -> u64 {
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let mut hash = seed ^ 0xcbf2_9ce4_8422_2325;
    for byte in name.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    }
    mix_bits(hash)
}
