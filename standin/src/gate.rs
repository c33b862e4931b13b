//! A gate that delays work while it is closed, as a frozen process does.

use std::sync::Mutex;

use smol::channel::Receiver;
use smol::channel::Sender;

/// A gate, open initially.
#[derive(Debug, Default)]
pub struct Gate {
    /// Set while closed; dropping the sender wakes all waiting tasks.
    shut: Mutex<Option<(Sender<()>, Receiver<()>)>>,
}

impl Gate {
    /// Closes the gate.
    pub fn freeze(&self) {
        let mut shut = self.shut.lock().expect("gate");
        shut.get_or_insert_with(|| smol::channel::bounded(1));
    }

    /// Opens the gate; waiting tasks continue.
    pub fn thaw(&self) {
        self.shut.lock().expect("gate").take();
    }

    /// Waits until the gate is open.
    pub async fn pass(&self) {
        loop {
            let bell = match &*self.shut.lock().expect("gate") {
                None => return,
                Some((_, bell)) => bell.clone(),
            };
            let _ = bell.recv().await;
        }
    }
}
