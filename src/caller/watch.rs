//! Time and end of one request, for the metrics.

use std::time::Instant;

use crate::id::{RequestId, ServiceId};
use crate::operator::{Metrics, RequestResult};
use crate::wire::Cause;

/// One request until its answer has ended
#[derive(Debug)]
pub struct Watch {
    metrics: Metrics,
    service: ServiceId,
    id: RequestId,
    began: Instant,
    open: bool,
}

impl Watch {
    /// Watch of a request that began just now
    pub fn new(metrics: Metrics, service: ServiceId, id: RequestId) -> Self {
        Self {
            metrics,
            service,
            id,
            began: Instant::now(),
            open: true,
        }
    }

    /// The request was refused
    pub fn refused(&mut self, ended: RequestResult, cause: Cause) {
        log::debug!("request {:016x}: refused for {cause:?}", self.id);
        self.metrics.record_refusal(&self.service, cause);
        self.end(ended);
    }

    /// The answer has ended
    pub fn end(&mut self, ended: RequestResult) {
        if std::mem::take(&mut self.open) {
            let time = self.began.elapsed();
            let Self { service, id, .. } = self;
            log::debug!("request {id:016x}: {service} {ended:?} after {time:?}");
            self.metrics.record_request(&self.service, ended, time);
        }
    }
}

impl Drop for Watch {
    /// An answer that nobody read to its end
    fn drop(&mut self) {
        self.end(RequestResult::Unknown);
    }
}
