//! Weighted rendezvous hashing, which assigns a key to one of several members.
//!
//! Load pattern: many members have to agree on one member for each of many keys without exchanging
//! messages. When a member joins or leaves, only the keys that it gains or loses are reassigned.

use xxhash_rust::xxh3::Xxh3;

/// Number of hash bits that an `f64` represents exactly.
const MANTISSA_BITS: u32 = 53;

/// Returns the member that a key is assigned to, or `None` if there are no members. Each member has
/// a name and a weight above 0.
pub fn pick<T, N: AsRef<str>>(
    key: &[&str],
    members: impl IntoIterator<Item = (T, N, f64)>,
) -> Option<T> {
    let lowest = score(key, members)
        .min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.as_ref().cmp(b.1.as_ref())));
    lowest.map(|(_, _, member)| member)
}

/// Returns the members that come first for a key, at most `count`; `pick` returns the first of them.
pub fn rank<T, N: AsRef<str>>(
    key: &[&str],
    members: impl IntoIterator<Item = (T, N, f64)>,
    count: usize,
) -> Vec<T> {
    let mut scored: Vec<_> = score(key, members).collect();
    scored.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.as_ref().cmp(b.1.as_ref())));
    scored.into_iter().take(count).map(|(_, _, member)| member).collect()
}

/// Returns the members with their scores for a key; the lowest comes first.
fn score<T, N: AsRef<str>>(
    key: &[&str],
    members: impl IntoIterator<Item = (T, N, f64)>,
) -> impl Iterator<Item = (f64, N, T)> {
    let mut base = Xxh3::new();
    for part in key {
        base.update(part.as_bytes());
        base.update(b" ");
    }
    members.into_iter().map(move |(member, name, weight)| {
        let mut hash = base.clone();
        hash.update(name.as_ref().as_bytes());
        // Uniform in the open interval from 0 to 1.
        let uniform = ((hash.digest() >> (u64::BITS - MANTISSA_BITS)) as f64 + 0.5)
            / (1_u64 << MANTISSA_BITS) as f64;
        (-uniform.ln() / weight, name, member)
    })
}
