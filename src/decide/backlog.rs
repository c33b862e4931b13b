//! Waiting requests: they are ordered, dispatched when a slot becomes free, or refused.
//!
//! A request is refused as soon as it can no longer be served in time. A refusal held back until
//! near the deadline would leave its caller no time to react.

use std::time::Duration;

use crate::config::service::Class;
use crate::decide::admit::FEASIBILITY_DEVIATIONS;
use crate::decide::event::Action;
use crate::decide::event::Job;
use crate::decide::event::Refusal;
use crate::decide::flow::Flow;
use crate::decide::pool::Pool;
use crate::decide::pool::Row;
use crate::decide::queue::Entry;
use crate::decide::queue::Queue;
use crate::table::EndpointId;
use crate::table::RequestId;

/// Batch requests near their deadlines go first while batch received a smaller share of the work.
const MIN_BATCH_RATIO: f64 = 0.05;
/// Cost of a prompt token relative to that of a generated token.
const PROMPT_TOKEN_COST: f64 = 0.01;

impl Flow {
    /// Returns whether a request of a more urgent class waits for a slot at this endpoint. Even one
    /// that prefers waiting nearby to crossing a metered link needs the slot if the queue doesn't
    /// get shorter.
    pub(crate) fn has_urgent_waiter(&self, class: Class, promoted: bool, index: usize) -> bool {
        let urgent = |row: &&Entry| row.class < class && row.candidates.contains(&index);
        !promoted && class == Class::Batch && self.queue.rows().iter().any(|row| urgent(&row))
    }

    /// Adds a request to the queue and refuses those that can no longer be on time.
    pub(crate) fn enqueue(&mut self, now: Duration, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.requests.get(&id) else {
            return;
        };
        let job = &open.job;
        let waiting = Entry {
            id,
            class: job.class,
            rank: self.shares.rank(now, job),
            deadline: job.deadline,
            work: open.work,
            cost: f64::from(job.prompt_tokens) * PROMPT_TOKEN_COST
                + self.lengths.tokens(&job.service, job.max_tokens, 0.0),
            run_seconds: self.work(now, job, FEASIBILITY_DEVIATIONS).0,
            candidates: self.pool.candidates(now, &job.target, id),
            promoted: false,
        };
        if let Some(rejected) = self.queue.push(waiting) {
            let retry_after = self.retry_after(self.mean_work.max(1.0));
            self.refuse(now, rejected.id, Refusal::Overloaded(retry_after), out);
        }
        self.prune(now, out);
    }

    pub(crate) fn prune(&mut self, now: Duration, out: &mut Vec<Action>) {
        let slots = self.slots_by_row(now);
        for dropped in self.queue.prune(now, &slots) {
            let time_left = dropped.deadline.saturating_sub(now).as_secs_f64();
            let total_slots = dropped.candidates.iter().map(|index| slots[*index]).sum();
            let wait = self.queue.wait_seconds(|_| true, &dropped.candidates, total_slots);
            let retry_after = self.retry_after(wait + dropped.run_seconds - time_left);
            let refusal = if dropped.run_seconds > time_left {
                Refusal::Late(retry_after)
            } else {
                Refusal::Overloaded(retry_after)
            };
            self.refuse(now, dropped.id, refusal, out);
        }
    }

    /// Returns the slots of each endpoint; 0 for those that receive no work.
    fn slots_by_row(&self, now: Duration) -> Vec<f64> {
        let rows = self.pool.rows().iter();
        rows.map(|row| if row.usable(now) { f64::from(row.slots(now)) } else { 0.0 }).collect()
    }

    /// Reorders the queue after a change of endpoints or ranks and dispatches requests to free
    /// slots.
    pub(crate) fn refresh_queue(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        let (pool, shares, requests) = (&self.pool, &self.shares, &self.requests);
        let is_starved = shares.class_share(now, Class::Batch) < MIN_BATCH_RATIO;
        self.queue.refresh(now, is_starved, |row| {
            if let Some(open) = requests.get(&row.id) {
                row.rank = shares.rank(now, &open.job);
                row.candidates = pool.candidates(now, &open.job.target, row.id);
            }
        });
        let ids: Vec<RequestId> = self.queue.rows().iter().map(|row| row.id).collect();
        for id in ids {
            if self.has_free_slot(now, id) {
                self.try_send(now, id, out);
            }
        }
    }

    /// Returns whether any endpoint that a waiting request can use has a free slot.
    fn has_free_slot(&self, now: Duration, id: RequestId) -> bool {
        let Some(waiting) = self.queue.get(id) else {
            return false;
        };
        let is_free = |row: &Row| row.running < row.slots(now);
        waiting.candidates.is_empty()
            || waiting.candidates.iter().any(|index| is_free(self.pool.row(*index)))
    }

    /// Fills the free slots of an endpoint with the first requests of the queue that can use it.
    pub(crate) fn dispatch_waiting(
        &mut self,
        now: Duration,
        endpoint: &EndpointId,
        out: &mut Vec<Action>,
    ) {
        let Some(index) = self.pool.find(endpoint) else {
            return;
        };
        let rows = self.queue.rows().iter().filter(|row| row.candidates.contains(&index));
        let ids: Vec<RequestId> = rows.map(|row| row.id).collect();
        for id in ids {
            let row = self.pool.row(index);
            if row.leaving || row.running >= row.slots(now) {
                return;
            }
            self.try_send(now, id, out);
        }
    }

    /// Refuses requests whose deadlines have passed. All are refused before any slot is filled
    /// again, so that none of them is dispatched at its own deadline.
    pub(crate) fn expire(&mut self, now: Duration, out: &mut Vec<Action>) {
        let mut freed = Vec::new();
        while let Some((_, id)) =
            self.deadlines.first().copied().filter(|(deadline, _)| *deadline <= now)
        {
            self.deadlines.pop_first();
            let Some(open) = self.requests.get_mut(&id) else {
                continue;
            };
            // A caller that already has tokens wants the remaining ones even if they are late:
            // cutting the answer would be worse. Stopping a call that may not be repeated would
            // only make its outcome unknown.
            if open.attempt.is_some() && (open.delivered > 0 || !open.job.repeatable) {
                continue;
            }
            if let Some(run) = &open.attempt {
                open.may_have_run = true;
                freed.push(run.endpoint);
                out.push(Action::Cancel(id, run.endpoint));
            }
            let retry_after = self.retry_after(1.0);
            self.refuse(now, id, Refusal::Late(retry_after), out);
        }
        for endpoint in freed {
            self.dispatch_waiting(now, &endpoint, out);
        }
    }
}

/// Returns the seconds until all requests ahead of `job` have a slot at a nearby endpoint.
pub(crate) fn expected_wait(now: Duration, pool: &Pool, queue: &Queue, job: &Job) -> f64 {
    if queue.is_empty() {
        return 0.0;
    }
    let rows = pool.nearest(now, &job.target);
    let total_slots: u32 = rows.iter().map(|index| pool.row(*index).slots(now)).sum();
    let key = (job.class, job.deadline);
    let is_ahead = |row: &Entry| row.id != job.id && (row.class, row.deadline) <= key;
    queue.wait_seconds(is_ahead, &rows, f64::from(total_slots))
}
