/// Returns a hash of which each bit depends on all bits of `hash` (the finalizer of SplitMix64).
///
/// # Examples
///
/// ```
/// assert_eq!(base::mix_bits(0x9e37_79b9_7f4a_7c15), 0xe220_a839_7b1d_cdaf);
/// ```
pub fn mix_bits(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
