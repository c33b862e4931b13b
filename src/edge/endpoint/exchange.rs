//! Tells to which request an answer of an endpoint belongs.
//!
//! An endpoint may send an answer more than once, or late: it then stands on the connection where
//! the answer to the next request is expected. Each request therefore has a name, which its answer
//! repeats, and no other answer is evidence of what became of the request.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::edge::endpoint::ATTEMPT;
use crate::edge::endpoint::Error;
use crate::edge::http::Answer;

/// Maximum number of late answers that are discarded before the one that is expected.
const MAX_LATE_ANSWERS: usize = 8;
/// Maximum size of the body of a late answer, in bytes.
const MAX_LATE_ANSWER_BYTES: usize = 64 << 10;

/// Returns a name for a request that is no attempt.
pub(super) fn name(kind: &str) -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{kind}-{}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Returns the answer to the request `name`: the first on its connection, or one behind answers
/// that name other requests. An answer without a name, or with several, ends the search.
pub(super) async fn own(mut answer: Answer, name: &str) -> Result<Answer, Error> {
    for _ in 0..MAX_LATE_ANSWERS {
        match answer.header(ATTEMPT) {
            Some(found) if found == name => return Ok(answer),
            Some(found) => {
                tracing::debug!(found, name, "discarding a late answer");
                answer = answer.next(MAX_LATE_ANSWER_BYTES).await?;
            }
            None => break,
        }
    }
    Err(Error::Foreign)
}
