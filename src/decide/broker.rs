//! Broker of a service: one daemon of a region that grants all slots of the service's engines
//! there.
//!
//! Load pattern: hundreds of daemons share engines with a dozen slots each. The load that an engine
//! reports in a response is outdated by the next request, so without a broker each daemon sends to
//! engines that others have just filled, while neighboring engines are idle. A broker grants every
//! slot of its engines: the grants that have not ended are the load, and requests without a slot
//! wait in one queue. Brokers send each other the load of their engines several times a second; a
//! broker that has no free slot, or no engine with the model, forwards the request to the broker of
//! another region.
//!
//! A broker's state is not authoritative. A daemon that receives no answer from it asks the next
//! broker, and then selects an engine itself. While daemons disagree on the fleet's members, a
//! region may have two brokers, each of which sees less of the other's load. If the end of a
//! request is not received, its grant is released when its daemon no longer lists it or times out.
//! A new broker takes over the grants of its predecessor from the lists that the daemons send.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::decide::rendezvous;
use crate::decide::wait_queue::Class;
use crate::table::RegionId;
use crate::table::instance::Key;
use crate::table::instance::Node;

/// Id of a request to a broker, drawn at random so that no two daemons or incarnations share one.
pub type Ticket = u64;

/// Time without a list of grants after which a daemon counts as gone; several lists fit into it.
const DAEMON_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Age below which a grant may be absent from a list, as the list may have been sent before the
/// daemon received the grant.
const LIST_GRACE_PERIOD: Duration = Duration::from_millis(400);
/// Time for which a broker that did not answer is not asked.
const SUSPECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Selects the broker of a service among the ready daemons of a region that are not suspected.
pub fn pick<'a>(
    nodes: impl Iterator<Item = &'a Node>,
    region: &RegionId,
    service: &str,
    suspected: impl Fn(SocketAddr) -> bool,
) -> Option<&'a Node> {
    let candidates =
        nodes.filter(|node| node.ready && node.region == *region && !suspected(node.peer));
    let members = candidates.map(|node| (node, node.name.as_str(), node.weight()));
    rendezvous::pick(&["broker", service], members)
}

/// Brokers that recently did not answer.
#[derive(Debug, Default)]
pub struct Suspects {
    rows: HashMap<SocketAddr, Duration>,
}

impl Suspects {
    /// Records that a broker did not answer.
    pub fn add(&mut self, now: Duration, broker: SocketAddr) {
        self.rows.retain(|_, until| now < *until);
        self.rows.insert(broker, now + SUSPECT_TIMEOUT);
    }

    /// Returns whether a broker is currently suspected.
    pub fn has(&self, now: Duration, broker: SocketAddr) -> bool {
        self.rows.get(&broker).is_some_and(|until| now < *until)
    }
}

/// A slot at an engine that is granted to another daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Grant<T> {
    /// The engine that runs the request.
    pub key: Key,
    /// The class of the request.
    pub class: Class,
    /// What the broker keeps of the request; none if the grant was adopted from a list.
    pub payload: Option<T>,
    /// When the slot was granted.
    pub granted_at: Duration,
    /// When the grant's daemon last listed it.
    listed_at: Duration,
}

impl<T> Grant<T> {
    fn is_expired(&self, now: Duration) -> bool {
        now >= self.listed_at + DAEMON_TIMEOUT
    }
}

/// Changes to the grants caused by a daemon's list.
#[derive(Debug, Default, PartialEq)]
pub struct Change {
    /// Engines of grants that were released because the daemon no longer lists them.
    pub released: Vec<Key>,
    /// Engines of listed grants that this broker did not have.
    pub adopted: Vec<Key>,
}

/// The open grants of a broker.
#[derive(Debug)]
pub struct Grants<T> {
    rows: HashMap<(SocketAddr, Ticket), Grant<T>>,
}

impl<T> Default for Grants<T> {
    fn default() -> Self {
        Grants { rows: HashMap::new() }
    }
}

impl<T> Grants<T> {
    /// Records a grant to a daemon.
    pub fn issue(
        &mut self,
        now: Duration,
        to: SocketAddr,
        ticket: Ticket,
        key: Key,
        class: Class,
        payload: T,
    ) {
        let grant = Grant { key, class, payload: Some(payload), granted_at: now, listed_at: now };
        self.rows.insert((to, ticket), grant);
    }

    /// Returns a grant that has not ended.
    pub fn get(&self, to: SocketAddr, ticket: Ticket) -> Option<&Grant<T>> {
        self.rows.get(&(to, ticket))
    }

    /// Removes and returns a grant that has ended.
    pub fn release(&mut self, to: SocketAddr, ticket: Ticket) -> Option<Grant<T>> {
        self.rows.remove(&(to, ticket))
    }

    /// Reconciles the grants with the ones that a daemon lists; `complete` says that it lists all
    /// of them. The list may have arrived at any time since `received_after`.
    pub fn reconcile(
        &mut self,
        now: Duration,
        received_after: Duration,
        from: SocketAddr,
        listed: &[(Ticket, Class, Key)],
        complete: bool,
    ) -> Change {
        let mut change = Change::default();
        self.rows.retain(|(to, ticket), grant| {
            let is_known = received_after >= grant.granted_at + LIST_GRACE_PERIOD;
            let expected = complete && *to == from && is_known;
            let lost = expected && !listed.iter().any(|(other, ..)| other == ticket);
            if lost {
                change.released.push(grant.key.clone());
            }
            !lost
        });
        for (ticket, class, key) in listed {
            let grant = self.rows.entry((from, *ticket)).or_insert_with(|| {
                change.adopted.push(key.clone());
                Grant {
                    key: key.clone(),
                    class: *class,
                    payload: None,
                    granted_at: now,
                    listed_at: now,
                }
            });
            grant.listed_at = now;
        }
        change
    }

    /// Returns the open grants.
    pub fn rows(&self) -> impl Iterator<Item = &Grant<T>> {
        self.rows.values()
    }

    /// Returns the grants of daemons that have timed out.
    pub fn expiring(&self, now: Duration) -> impl Iterator<Item = &Grant<T>> {
        self.rows.values().filter(move |grant| grant.is_expired(now))
    }

    /// Releases the grants of daemons that have timed out and returns their engines.
    pub fn expire(&mut self, now: Duration) -> Vec<Key> {
        let mut expired = Vec::new();
        self.rows.retain(|_, grant| {
            let lost = grant.is_expired(now);
            if lost {
                expired.push(grant.key.clone());
            }
            !lost
        });
        expired
    }

    /// Returns the number of grants.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether there are no grants.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
