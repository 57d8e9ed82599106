//! Slots that this host hands out, joined with the tasks that wait for them.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use smol::channel::Sender;

use crate::entry::LeaseResult;
use crate::slot::{Outcome, Pool, WaitId, WaitResult};
use crate::wire::Refusal;

/// Slots of one service in this zone and the requests that wait for them
#[derive(Debug, Default)]
pub struct Slots {
    /// Slots and queue
    pub pool: Pool,
    waits: BTreeMap<WaitId, Sender<LeaseResult>>,
}

impl Slots {
    /// Remember whom to tell about a wait
    pub fn add_waiter(&mut self, wait: WaitId, sender: Sender<LeaseResult>) {
        self.waits.insert(wait, sender);
    }

    /// Forget a wait; a slot that was granted meanwhile stays with its receiver
    pub fn cancel_wait(&mut self, wait: WaitId) {
        self.waits.remove(&wait);
        self.pool.cancel_wait(wait);
    }

    /// Tell waiting requests what they got; slots that nobody takes are given back
    pub fn deliver(&mut self, now: Instant, grants: Vec<WaitResult>) {
        let mut grants = VecDeque::from(grants);
        while let Some(WaitResult { wait_id, result }) = grants.pop_front() {
            let granted = result.clone().map_err(|(cause, after)| Refusal {
                cause,
                retry_after: after,
                instead: None,
            });
            let sender = self.waits.remove(&wait_id);
            let told = sender.is_some_and(|sender| sender.try_send(granted).is_ok());
            if let (false, Ok(lease)) = (told, result) {
                grants.extend(self.pool.release(now, &lease, Outcome::Cancelled));
            }
        }
    }
}
