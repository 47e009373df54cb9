//! Weighted rendezvous hashing: which members serve a key.
//!
//! The score is the weighted distance of Schindelhauer and Schomaker's distributed heterogeneous
//! hash tables, `-ln(1-u)/w`: the lowest wins, a member's chance is proportional to its weight,
//! and a change of one member moves only that member's keys. docs/design/rendezvous.md has the
//! comparison with plain hashing and modulo.

/// A 64-bit hash of `parts`, equal in every process.
pub fn hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// Weighted distance of `member` from `key`; lower is nearer.
pub fn distance(key: &str, member: &str, weight: f64) -> f64 {
    let unit = (hash(&[key.as_bytes(), member.as_bytes()]) >> 11) as f64 / (1u64 << 53) as f64;
    -(1.0 - unit).ln() / weight.max(1e-9)
}

/// Score of `member` for `key`, both already hashed; the highest wins.
///
/// A finalizer of good avalanche over the xor: a few nanoseconds, where a digest of the names for
/// each of a hundred members would cost a request tens of microseconds.
pub fn score(key: u64, member: u64) -> u64 {
    let mut x = key ^ member.rotate_left(32);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
