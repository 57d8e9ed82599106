//! Slot pool of one service, with the channels to the tasks that wait for a slot.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use smol::channel::Sender;

use crate::entry::LeaseResult;
use crate::slot::{Outcome, Pool, WaitId, WaitResult};
use crate::wire::Refusal;

/// Slot pool of one service in this zone and its queued requests
#[derive(Debug, Default)]
pub struct Slots {
    /// Slots and queue of waiting requests
    pub pool: Pool,
    waiters: BTreeMap<WaitId, Sender<LeaseResult>>,
}

impl Slots {
    /// Adds the channel that receives the result of a wait
    pub fn add_waiter(&mut self, wait_id: WaitId, sender: Sender<LeaseResult>) {
        self.waiters.insert(wait_id, sender);
    }

    /// Cancels a wait; a slot that was granted meanwhile stays in its channel
    pub fn cancel_wait(&mut self, wait_id: WaitId) {
        self.waiters.remove(&wait_id);
        self.pool.cancel_wait(wait_id);
    }

    /// Sends results to the waiting requests; releases slots whose request no longer waits
    pub fn deliver(&mut self, now: Instant, results: Vec<WaitResult>) {
        let mut results = VecDeque::from(results);
        while let Some(WaitResult { wait_id, result }) = results.pop_front() {
            let lease = result.clone().map_err(|(cause, retry_after)| Refusal {
                cause,
                retry_after,
                alternative_host: None,
            });
            let sender = self.waiters.remove(&wait_id);
            let is_delivered = sender.is_some_and(|sender| sender.try_send(lease).is_ok());
            if let (false, Ok(lease)) = (is_delivered, result) {
                results.extend(self.pool.release(now, &lease, Outcome::Cancelled));
            }
        }
    }
}
