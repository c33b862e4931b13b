//! Lets requests run one at a time, over all daemons, whose copies may have crashed endpoints.
//!
//! Load pattern: a caller sends a request that crashes endpoints several times at once, again and
//! again. The copies run at the same time, so that their crashes count as one (`decide::quarantine`),
//! as those of a rack that loses power do. Without this module each round crashes as many endpoints
//! as there are copies, until the third.
//!
//! Once its copies have crashed as many endpoints as it takes to refuse a request, the request is on
//! trial: one daemon, the same for all, sends one copy at a time, and the others pass theirs on to
//! that daemon. Copies that find another one running are refused at once. A complete answer ends the
//! trial, and each crash counts.
//!
//! Daemons that do not know the same members may choose different ones for a moment, each of which
//! lets a copy run.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::daemon::Daemon;
use crate::daemon::admission::Refusal;
use crate::daemon::clock;
use crate::daemon::front::Job;
use crate::decide::rendezvous;
use crate::decide::suspects::Content;
use crate::table::Fingerprint;

/// Retry-After of a copy that finds another one running: most answers are complete by then.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A run of a request on trial; it ends when dropped.
pub struct Trial {
    daemon: Rc<Daemon>,
    fingerprint: Fingerprint,
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.daemon.trials.borrow_mut().remove(&self.fingerprint);
    }
}

/// Returns the refusal of a request that is on trial and can't run now.
pub fn refusal() -> Refusal {
    Refusal::new("on_trial", RETRY_AFTER)
}

/// Begins a run of a request if it is on trial, unless another one goes on or may just have crashed
/// its endpoint.
pub fn begin(daemon: &Rc<Daemon>, content: &Content) -> Result<Option<Trial>, Refusal> {
    let fingerprint = content.fingerprint;
    if !daemon.quarantine.borrow().is_on_trial(clock::now(), fingerprint) {
        return Ok(None);
    }
    let is_checked = daemon.quarantine.borrow().is_checked(fingerprint);
    if is_checked || !daemon.trials.borrow_mut().insert(fingerprint) {
        return Err(refusal());
    }
    Ok(Some(Trial { daemon: daemon.clone(), fingerprint }))
}

/// Returns the daemon through which a job has to be sent as it is on trial; none if this daemon sends
/// it. `tried` are those that could not deliver it.
pub fn route(
    daemon: &Rc<Daemon>,
    job: &Job,
    tried: &[SocketAddr],
) -> Result<Option<SocketAddr>, Refusal> {
    let fingerprint = job.content.fingerprint;
    if !daemon.quarantine.borrow().is_on_trial(clock::now(), fingerprint) {
        return Ok(None);
    }
    match owner(daemon, fingerprint) {
        Some(addr) if tried.contains(&addr) => Err(refusal()),
        Some(addr) => Ok(Some(addr)),
        None if job.trial.borrow().is_some() => {
            if daemon.quarantine.borrow().is_checked(fingerprint) {
                Err(refusal())
            } else {
                Ok(None)
            }
        }
        None => {
            *job.trial.borrow_mut() = begin(daemon, &job.content)?;
            Ok(None)
        }
    }
}

/// Returns the daemon that sends a request on trial; none if it is this one.
fn owner(daemon: &Daemon, fingerprint: Fingerprint) -> Option<SocketAddr> {
    let nodes = daemon.nodes.borrow();
    let others = nodes.in_contact(clock::now()).map(|node| (Some(node.peer), &*node.name, 1.0));
    let own = daemon.ready().then_some((None, &*daemon.settings.name, 1.0));
    rendezvous::pick(&[&format!("{fingerprint:x}")], others.chain(own))?
}
