//! Whether calls to engines come back soon enough for orders to be given.
//!
//! Load pattern: the link of the holder of the lease is full, or its loop runs late. Orders that it hands
//! over in time reach their engines seconds later, when another daemon may hold the lease and order too.
//! Before that the ends of its other calls come late. After a few such calls in a row, to whatever engines,
//! no order is given until one ends soon again.

use std::time::Duration;

/// A call that ends within this time was not held up: twice the way there and back between regions, and half
/// of the time that an order has to arrive in after its lease could have ended.
const SOON: Duration = Duration::from_millis(250);
/// So many late calls in a row are not the doing of single engines.
const ROW: u32 = 3;

/// The way to engines and back, as the last calls found it.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Path {
    /// Late calls since the last one that was not.
    late: u32,
}

impl Path {
    /// A call to an engine has ended, well or not, after this time. A refused connection shows as well as an
    /// answer that the way there and back is free.
    pub fn ended(&mut self, took: Duration) {
        self.late = if took <= SOON { 0 } else { self.late.saturating_add(1) };
    }

    /// Whether orders would be late.
    pub fn late(self) -> bool {
        self.late >= ROW
    }
}
