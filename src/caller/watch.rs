//! Records the result and duration of one request in the metrics.

use std::time::Instant;

use crate::id::{RequestId, ServiceId};
use crate::operator::{Metrics, RequestResult};
use crate::wire::Cause;

/// Recorder of one request; dropping it before the end records the result as unknown
#[derive(Debug)]
pub struct Recorder {
    metrics: Metrics,
    service: ServiceId,
    id: RequestId,
    started_at: Instant,
    is_open: bool,
}

impl Recorder {
    /// Creates a recorder of a request that starts now
    pub fn new(metrics: Metrics, service: ServiceId, id: RequestId) -> Self {
        Self {
            metrics,
            service,
            id,
            started_at: Instant::now(),
            is_open: true,
        }
    }

    /// Records a refusal and its cause
    pub fn record_refusal(&mut self, result: RequestResult, cause: Cause) {
        log::debug!("request {:016x} was refused: {cause:?}", self.id);
        self.metrics.record_refusal(&self.service, cause);
        self.finish(result);
    }

    /// Records the result; a second call does nothing
    pub fn finish(&mut self, result: RequestResult) {
        if std::mem::take(&mut self.is_open) {
            let duration = self.started_at.elapsed();
            let Self { service, id, .. } = self;
            log::debug!("request {id:016x} to {service} ended after {duration:?}: {result:?}");
            self.metrics.record_request(&self.service, result, duration);
        }
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        self.finish(RequestResult::Unknown);
    }
}
