//! Owner of a shard: the live entry that commits its claims, chosen by rendezvous hashing.
//!
//! Load pattern: calls of one shard arrive at all entries. If each entry wrote its own claims, all
//! but one of the concurrent writes would conflict and be repeated; with one owner, one update
//! carries the claims of all. When an entry joins or leaves, only the shards that it gains or loses
//! change owner.
//!
//! A wrong or second owner costs conflicts and nothing else, because the conditional update
//! protects the data.

use crate::decide::rendezvous;
use crate::table::EntryId;

/// Returns the owner of a shard among the live entries, or `None` if there are none.
pub fn pick<'a, I>(shard: u32, live: I) -> Option<EntryId>
where
    I: IntoIterator<Item = &'a EntryId>,
{
    let members = live.into_iter().map(|entry| (*entry, entry.to_string(), 1.0));
    rendezvous::pick(&[&shard.to_string()], members)
}
