//! Hash functions that give the same result in every process and version.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the 64-bit FNV-1a hash of `text`, finalized by [`mix`].
pub(crate) fn hash_text(text: &str) -> u64 {
    let fnv = text.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    mix(fnv)
}

/// The finalizer of SplitMix64 (Steele, Lea, Flood: Fast splittable pseudorandom number
/// generators, 2014): each input bit changes about half of the output bits.
pub(crate) const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
