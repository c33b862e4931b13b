//! Which live entry commits the claims of a shard: rendezvous hashing.
//!
//! Load pattern: calls of one shard arrive at all entries. If each entry wrote its own, every write
//! but one would conflict and be made again; with one owner, one update carries the claims of all.
//! When an entry comes or goes, only the shards it takes or leaves change hands.
//!
//! A wrong or second owner costs conflicts and nothing else: the conditional update is the guard.

use crate::decide::rendezvous;
use crate::table::EntryId;

/// The owner of a shard among the live entries; none when there are none.
pub fn pick<'a, I>(shard: u32, live: I) -> Option<EntryId>
where
    I: IntoIterator<Item = &'a EntryId>,
{
    let members = live.into_iter().map(|entry| (*entry, entry.to_string(), 1.0));
    rendezvous::pick(&[&shard.to_string()], members)
}
