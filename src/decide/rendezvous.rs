//! Which member takes a thing, by weighted rendezvous hashing.
//!
//! Load pattern: many members have to agree on one of them for each of many things without a word
//! between them. When a member comes or goes, only the things that it takes or leaves change hands.

use xxhash_rust::xxh3::Xxh3;

/// Bits of a hash that a float holds exactly.
const BITS: u32 = 53;

/// The member that takes a thing; each has a name and a weight above 0. None when there are none.
pub fn pick<T, N: AsRef<str>>(
    thing: &[&str],
    members: impl IntoIterator<Item = (T, N, f64)>,
) -> Option<T> {
    let mut base = Xxh3::new();
    for part in thing {
        base.update(part.as_bytes());
        base.update(b" ");
    }
    let scored = members.into_iter().map(|(member, name, weight)| {
        let mut hash = base.clone();
        hash.update(name.as_ref().as_bytes());
        // Between 0 and 1, without either.
        let unit = ((hash.digest() >> (u64::BITS - BITS)) as f64 + 0.5) / (1_u64 << BITS) as f64;
        (-unit.ln() / weight, name, member)
    });
    let least =
        scored.min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.as_ref().cmp(b.1.as_ref())));
    least.map(|(_, _, member)| member)
}
