//! Limits the orders in flight to a VM. Orders that wait take turns by job.

use std::sync::{Arc, Mutex};

use thistle_schedule::{JobId, OrderTurns};
use tokio::sync::oneshot;

use crate::locks::lock;

type Waiting = Mutex<OrderTurns<oneshot::Sender<Turn>>>;

/// The turns of the orders of one kind to a VM.
#[derive(Clone, Debug)]
pub struct Turns(Arc<Waiting>);

/// The turn of an order, which ends when it is dropped. It is then passed on to the next order.
#[derive(Debug)]
pub struct Turn(Option<Arc<Waiting>>);

impl Turns {
    /// Creates turns for at most `turns` orders at once.
    pub fn new(turns: usize) -> Self {
        Self(Arc::new(Mutex::new(OrderTurns::new(turns))))
    }

    /// Waits for the turn of an order of a job. An order that stops waiting leaves its turn to the next one.
    pub async fn take(&self, job: JobId) -> Option<Turn> {
        let (tx, rx) = oneshot::channel();
        let has_turn = lock(&self.0).add(job, tx).is_some();
        if has_turn {
            return Some(Turn(Some(self.0.clone())));
        }
        rx.await.ok()
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        let Some(turns) = self.0.take() else { return };
        loop {
            let next = lock(&turns).end_turn();
            let Some(tx) = next else { return };
            match tx.send(Self(Some(turns.clone()))) {
                Ok(()) => return,
                // This order has stopped waiting. Its turn is passed on here, as a drop for each such order would recurse.
                Err(mut unused) => unused.0 = None,
            }
        }
    }
}
