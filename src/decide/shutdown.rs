//! Decides which requests a daemon still accepts during its shutdown.
//!
//! Load pattern: callers cache the addresses of daemons and keep sending requests for seconds after
//! the shutdown has begun, and some streams last as long as all the time that remains. A stream
//! that is accepted late is cut when the process ends: its caller has paid for an answer that it
//! never gets in full, and may not retry. A refused caller sends its request to another daemon at
//! once.

use std::time::Duration;

/// Time from the start of the shutdown during which every request is accepted: callers can't know
/// of the shutdown yet, and most of the time for it is still left. A shutdown that takes less time
/// accepts what can be answered within it.
const GRACE_PERIOD: Duration = Duration::from_millis(2_500);
/// Longest time per token of an answer while streams are on time.
const MAX_TOKEN_TIME: Duration = Duration::from_millis(14);
/// Time that an answer takes in addition to its tokens.
const BASE_RESPONSE_TIME: Duration = Duration::from_millis(800);

/// Returns whether a request for `tokens` output tokens is accepted at `now`, if the shutdown began
/// at `began` and the process ends at `end`.
pub fn accepts(now: Duration, began: Duration, end: Duration, tokens: u32) -> bool {
    let is_early = now < began + GRACE_PERIOD && now + BASE_RESPONSE_TIME <= end;
    is_early || now + BASE_RESPONSE_TIME + MAX_TOKEN_TIME * tokens <= end
}
