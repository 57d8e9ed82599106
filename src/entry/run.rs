//! One request on a leased slot, from the lease to the end of the response.

use std::sync::Arc;
use std::time::Instant;

use crate::entry::reply::BodyError;
use crate::entry::{Host, lock};
use crate::id::ServiceId;
use crate::quarantine;
use crate::slot::{Lease, Outcome};
use crate::upstream;

/// Leased slot and the response that streams from its endpoint
///
/// Dropping it early cancels the request at the upstream and releases the slot.
#[derive(Debug)]
pub struct Run {
    host: Arc<Host>,
    service: ServiceId,
    key: quarantine::Key,
    lease: Option<Lease>,
    body: Option<upstream::Body>,
    started_at: Instant,
    remaining_bytes: Option<u64>,
    is_endpoint_leaving: bool,
    is_complete: bool,
}

impl Run {
    /// Starts a run on a leased slot
    pub fn new(host: Arc<Host>, service: ServiceId, key: quarantine::Key, lease: Lease) -> Self {
        lock(&host.quarantine).record_start(key, &lease.endpoint);
        Self {
            host,
            service,
            key,
            lease: Some(lease),
            body: None,
            started_at: Instant::now(),
            remaining_bytes: None,
            is_endpoint_leaving: false,
            is_complete: false,
        }
    }

    /// Adds the response, whose head has arrived
    pub fn with_reply(mut self, reply: upstream::Reply) -> Self {
        self.remaining_bytes = reply.head.length;
        self.is_endpoint_leaving = reply.is_leaving;
        self.body = Some(reply.body);
        if self.remaining_bytes == Some(0) {
            self.complete();
        }
        self
    }

    /// Returns the next chunk of the response body, `None` once it is complete
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>, BodyError> {
        let Some(body) = self.body.as_mut() else {
            let interrupted = || BodyError("it was interrupted earlier".to_owned());
            return self.is_complete.then_some(None).ok_or_else(interrupted);
        };
        match body.next().await {
            Ok(Some(bytes)) => {
                self.remaining_bytes = self
                    .remaining_bytes
                    .map(|remaining| remaining.saturating_sub(bytes.len() as u64));
                if self.remaining_bytes == Some(0) {
                    self.complete();
                }
                Ok(Some(bytes))
            }
            Ok(None) => {
                self.complete();
                Ok(None)
            }
            Err(error) => {
                self.finish(Outcome::ConnectionFailed);
                Err(BodyError(error.to_string()))
            }
        }
    }

    fn complete(&mut self) {
        self.is_complete = true;
        self.finish(match self.is_endpoint_leaving {
            true => Outcome::Leaving,
            false => Outcome::Served(self.started_at.elapsed()),
        });
    }

    /// Releases the slot; a second call does nothing
    pub fn finish(&mut self, outcome: Outcome) {
        let Some(lease) = self.lease.take() else {
            return;
        };
        self.body = None;
        self.record_end(&lease);
        let now = Instant::now();
        self.host.with_slots(&self.service, |slots| {
            let grants = slots.pool.release(now, &lease, outcome);
            slots.deliver(now, grants);
        });
    }
}

impl Run {
    fn record_end(&self, lease: &Lease) {
        let mut quarantine = lock(&self.host.quarantine);
        quarantine.record_end(self.key, &lease.endpoint);
        if self.is_complete {
            quarantine.record_success(self.key);
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.finish(Outcome::Cancelled);
    }
}
