//! Weighted rendezvous hashing, which assigns keys to members.
//!
//! The distance is that of Schindelhauer and Schomaker's distributed heterogeneous hash tables,
//! `-ln(1-u)/w`. The member with the lowest distance wins, a member's probability to win is
//! proportional to its weight, and a change of one member moves only keys of that member.
//! docs/design/rendezvous.md compares it with plain hashing and modulo.

/// A 64-bit hash of `parts`, the same in every process.
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
    let uniform = (hash(&[key.as_bytes(), member.as_bytes()]) >> 11) as f64 / (1u64 << 53) as f64;
    -(1.0 - uniform).ln() / weight.max(1e-9)
}

/// Unweighted score of `member` for `key`, both already hashed; the highest wins.
///
/// Applies a finalizer with good avalanche to the xor of the hashes. This takes a few nanoseconds;
/// a digest of the names for each of a hundred members would take tens of microseconds a request.
pub fn score(key: u64, member: u64) -> u64 {
    let mut x = key ^ member.rotate_left(32);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
