//! Handles responses of endpoints: progress, completion and failure of attempts.
//!
//! Each response updates what is known of its endpoint: its speed, its free slots and its
//! reliability. Between two load reports, responses are an entry's only source of load information.

use std::time::Duration;

use crate::decide::event::Action;
use crate::decide::event::Refusal;
use crate::decide::event::Target;
use crate::decide::flow::Flow;
use crate::decide::outlier::Cause;
use crate::decide::quarantine;
use crate::decide::quarantine::Run;
use crate::decide::retry::Verdict;
use crate::edge::endpoint::Error;
use crate::edge::endpoint::Outcome;
use crate::table::EndpointId;
use crate::table::RequestId;

/// Returns whether a failure may mean that the endpoint crashed while it ran the request.
fn is_crash(error: &Error) -> bool {
    matches!(error, Error::Broken | Error::Truncated)
}

impl Flow {
    /// Records tokens, or the first byte of a plain call.
    pub(crate) fn on_progress(&mut self, now: Duration, id: RequestId, tokens: u32) {
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        open.delivered += u64::from(tokens);
        let Some(run) = &mut open.attempt else {
            return;
        };
        match run.last_delivery.replace(now) {
            Some(last) => {
                if let Some(row) = self.pool.get_mut(&run.endpoint) {
                    row.on_tokens(now, tokens, now - last);
                }
            }
            None => self.pool.on_first_byte(now, &run.endpoint, &open.job, now - run.sent_at),
        }
    }

    /// Closes a request whose attempt completed successfully.
    pub(crate) fn on_finished(&mut self, now: Duration, id: RequestId, out: &mut Vec<Action>) {
        self.on_progress(now, id, 0);
        let Some(run) = self.requests.get(&id).and_then(|open| open.attempt.clone()) else {
            self.close(now, id);
            return;
        };
        let Some(open) = self.close(now, id) else {
            return;
        };
        self.lengths.record(&open.job.service, open.job.max_tokens, open.delivered);
        self.quarantine.clear(now, open.job.fingerprint);
        self.pool.on_success(now, &run.endpoint);
        self.dispatch_waiting(now, &run.endpoint, out);
    }

    /// Cancels the attempt of a request whose caller closed its connection.
    pub(crate) fn on_hangup(&mut self, now: Duration, id: RequestId, out: &mut Vec<Action>) {
        let run = self.requests.get(&id).and_then(|open| open.attempt.clone());
        self.close(now, id);
        if let Some(run) = run {
            out.push(Action::Cancel(id, run.endpoint));
            self.dispatch_waiting(now, &run.endpoint, out);
        }
    }

    /// Records a failed attempt and either retries or refuses the request.
    pub(crate) fn on_failed(
        &mut self,
        now: Duration,
        id: RequestId,
        error: &Error,
        delivered: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(run) = open.attempt.take() else {
            return;
        };
        open.delivered = open.delivered.max(delivered);
        open.may_have_run |= error.outcome() != Outcome::NotRun;
        open.tried.push(run.endpoint);
        let job = open.job.clone();
        let (attempts, ran) = (open.attempts, open.may_have_run);
        self.release(&run);
        self.record_failure(now, &run.endpoint, error, &job.target);
        let crashed_run = Run { endpoint: run.endpoint, sent_at: run.sent_at, crashed_at: now };
        if is_crash(error) && self.quarantine.on_crash(job.fingerprint, crashed_run) {
            out.push(Action::Quarantine(job.fingerprint, quarantine::REFUSAL_PERIOD));
            self.refuse(now, id, Refusal::Quarantined(quarantine::REFUSAL_PERIOD), out);
            return;
        }
        match self.budget.decide(error, job.repeatable, attempts) {
            Verdict::Retry => self.send_or_wait(now, id, out),
            Verdict::Final => {
                let outcome = if ran { Outcome::Unknown } else { Outcome::NotRun };
                let retry_after = self.retry_after(1.0);
                self.refuse(now, id, Refusal::Failed(outcome, Some(retry_after)), out);
            }
        }
        self.dispatch_waiting(now, &run.endpoint, out);
    }

    /// Records a failure against its endpoint.
    fn record_failure(
        &mut self,
        now: Duration,
        endpoint: &EndpointId,
        error: &Error,
        target: &Target,
    ) {
        let ejected = match error {
            Error::Refused(404 | 409 | 410, _) => {
                self.pool.remove_target(endpoint, target);
                return;
            }
            Error::Connect | Error::Broken => {
                self.pool.eject(now, endpoint, Cause::Unreachable);
                return;
            }
            Error::Refused(..)
            | Error::Fenced
            | Error::Timeout
            | Error::Truncated
            | Error::Foreign
            | Error::Protocol(_) => {
                self.pool.get_mut(endpoint).is_some_and(|row| row.on_failure(now))
            }
        };
        if ejected {
            self.pool.eject(now, endpoint, Cause::Failing);
        }
    }
}
