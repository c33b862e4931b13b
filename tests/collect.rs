//! Tests of bodies that are kept until they are complete.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body_util::LengthLimitError;

use poplarmux::daemon::collect;

/// A part of a body, which is counted for as long as it is kept.
struct Part {
    content: Vec<u8>,
    _count: Arc<()>,
}

impl AsRef<[u8]> for Part {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}

/// A body of parts, each of which is made as it is read.
struct Parts {
    left: VecDeque<Vec<u8>>,
    count: Arc<()>,
    /// How many were kept at the most as another one was read.
    most_kept: usize,
}

impl Parts {
    fn new(parts: &[&[u8]]) -> Self {
        let left = parts.iter().map(|part| part.to_vec()).collect();
        Parts { left, count: Arc::new(()), most_kept: 0 }
    }
}

impl Body for &mut Parts {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let parts: &mut Parts = self.get_mut();
        parts.most_kept = parts.most_kept.max(Arc::strong_count(&parts.count) - 1);
        let part = parts.left.pop_front().map(|content| {
            Ok(Frame::data(Bytes::from_owner(Part { content, _count: parts.count.clone() })))
        });
        Poll::Ready(part)
    }
}

/// Guards against memory for each chunk of a body that is many times the size of the chunk.
#[test]
fn parts_of_a_body_are_not_kept() {
    let mut parts = Parts::new(&[&b"a"[..]; 10_000]);
    let whole = smol::block_on(collect::collect(&mut parts, 10_000)).expect("a body");
    assert_eq!(whole, vec![b'a'; 10_000]);
    assert!(parts.most_kept <= 1, "{} kept", parts.most_kept);
    let mut parts = Parts::new(&[&b"a"[..]; 10_000]);
    assert!(smol::block_on(collect::drain(&mut parts, 10_000)));
    assert_eq!(parts.most_kept, 0);
}

/// Guards against a body that loses a part or gets them in another order.
#[test]
fn body_consists_of_its_parts() {
    let cases: [&[&[u8]]; 6] =
        [&[], &[b""], &[b"abc"], &[b"", b"abc"], &[b"ab", b"", b"c"], &[b"a", b"b", b"c", b""]];
    for parts in cases {
        let whole = smol::block_on(collect::collect(&mut Parts::new(parts), 3));
        assert_eq!(whole.expect("a body"), parts.concat(), "{parts:?}");
    }
}

/// Guards against a body that is longer than allowed.
#[test]
fn longer_body_is_an_error() {
    for parts in [&[&b"abcd"[..]][..], &[b"ab", b"c", b"d"]] {
        let whole = smol::block_on(collect::collect(&mut Parts::new(parts), 3));
        assert!(whole.expect_err("an error").is::<LengthLimitError>());
        assert!(!smol::block_on(collect::drain(&mut Parts::new(parts), 3)));
    }
}
