//! One request on a slot, from the lease to the end of the answer.

use std::sync::Arc;
use std::time::Instant;

use crate::entry::reply::BodyError;
use crate::entry::{Host, lock};
use crate::id::ServiceId;
use crate::quarantine;
use crate::slot::{Lease, Outcome};
use crate::upstream;

/// A taken slot and the answer that streams over it
///
/// Dropping it early cancels the request at the upstream and gives the slot back.
#[derive(Debug)]
pub struct Run {
    host: Arc<Host>,
    service: ServiceId,
    key: quarantine::Key,
    lease: Option<Lease>,
    body: Option<upstream::Body>,
    begun: Instant,
    left: Option<u64>,
    leaving: bool,
    whole: bool,
}

impl Run {
    /// Run on a slot that was just taken
    pub fn new(host: Arc<Host>, service: ServiceId, key: quarantine::Key, lease: Lease) -> Self {
        lock(&host.quarantine).record_start(key, &lease.endpoint);
        Self {
            host,
            service,
            key,
            lease: Some(lease),
            body: None,
            begun: Instant::now(),
            left: None,
            leaving: false,
            whole: false,
        }
    }

    /// The same run once the head of its answer is there
    pub fn with_reply(mut self, reply: upstream::Reply) -> Self {
        self.left = reply.head.length;
        self.leaving = reply.leaving;
        self.body = Some(reply.body);
        if self.left == Some(0) {
            self.end();
        }
        self
    }

    /// Next piece of the answer
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>, BodyError> {
        let Some(body) = self.body.as_mut() else {
            let broken = || BodyError("it broke off before".to_owned());
            return self.whole.then_some(None).ok_or_else(broken);
        };
        match body.next().await {
            Ok(Some(bytes)) => {
                self.left = self
                    .left
                    .map(|left| left.saturating_sub(bytes.len() as u64));
                if self.left == Some(0) {
                    self.end();
                }
                Ok(Some(bytes))
            }
            Ok(None) => {
                self.end();
                Ok(None)
            }
            Err(error) => {
                self.finish(Outcome::ConnectionFailed);
                Err(BodyError(error.to_string()))
            }
        }
    }

    fn end(&mut self) {
        self.whole = true;
        self.finish(match self.leaving {
            true => Outcome::Leaving,
            false => Outcome::Served(self.begun.elapsed()),
        });
    }

    /// Give the slot back
    pub fn finish(&mut self, verdict: Outcome) {
        let Some(lease) = self.lease.take() else {
            return;
        };
        self.body = None;
        self.acquit(&lease);
        let now = Instant::now();
        self.host.with_slots(&self.service, |slots| {
            let grants = slots.pool.release(now, &lease, verdict);
            slots.deliver(now, grants);
        });
    }
}

impl Run {
    fn acquit(&self, lease: &Lease) {
        let mut list = lock(&self.host.quarantine);
        list.record_end(self.key, &lease.endpoint);
        if self.whole {
            list.record_success(self.key);
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.finish(Outcome::Cancelled);
    }
}
