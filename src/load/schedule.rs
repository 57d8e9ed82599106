//! Schedule of requests, generated from a seed.

use std::time::Duration;

use super::Plan;
use crate::id::{BlockId, ServiceId};

/// Factor by which a surge raises the request rate
const SURGE_RATE_FACTOR: f64 = 5.0;

/// Time over which a surge rises
const SURGE_RISE_TIME: Duration = Duration::from_secs(1);

/// Factor by which a peak raises the ratio of at-most-once requests
const PEAK_AT_MOST_ONCE_FACTOR: f64 = 5.0;

/// How a load changes over its duration
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// Constant rate
    Steady,
    /// Five times the rate, reached within a second after the first third of the duration
    Surge,
    /// Five times the at-most-once ratio in the middle third of the duration
    AtMostOncePeak,
}

/// Weight and response size of one service
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Service that requests go to
    pub service: ServiceId,
    /// Weight among the services
    pub weight: f64,
    /// Minimum size of a response, in bytes; 0 for no minimum
    pub response_bytes: usize,
}

impl WeightedService {
    /// Creates a weighted service
    pub fn new(service: &str, weight: f64, response_bytes: usize) -> Self {
        Self {
            service: service.into(),
            weight,
            response_bytes,
        }
    }
}

/// Kind of a request
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Safe to execute more than once
    Idempotent,
    /// Must be executed at most once
    AtMostOnce,
    /// Crashes each upstream process that executes it
    Crash,
}

/// One scheduled request
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Scheduled time after the start of the load
    pub offset: Duration,
    /// Position in the schedule
    pub index: u64,
    /// Idempotency key, unique to the request
    pub key: String,
    /// Service that the request goes to
    pub service: ServiceId,
    /// Minimum size of the response, in bytes
    pub response_bytes: usize,
    /// Client block of the caller
    pub block: BlockId,
    /// Kind of the request
    pub kind: Kind,
}

/// Generates all requests of a plan; the same seed gives the same requests
pub fn schedule(plan: &Plan) -> Vec<Arrival> {
    let mut rng = fastrand::Rng::with_seed(plan.seed);
    let mut arrivals = Vec::new();
    let mut offset = 0.0;
    let duration = plan.duration.as_secs_f64();
    loop {
        let rate = plan.rate * rate_factor(plan.shape, offset, duration);
        offset += -(1.0 - rng.f64()).ln() / rate.max(f64::MIN_POSITIVE);
        if offset >= duration {
            return arrivals;
        }
        let index = arrivals.len() as u64;
        let choice = choose_service(&plan.services, &mut rng);
        let at_most_once_ratio =
            (plan.at_most_once_ratio * at_most_once_factor(plan.shape, offset, duration)).min(1.0);
        let kind = choose_kind(rng.f64(), plan.crash_ratio, at_most_once_ratio);
        arrivals.push(Arrival {
            offset: Duration::from_secs_f64(offset),
            index,
            key: format!("{:x}-{index}", plan.seed),
            service: choice.service.clone(),
            response_bytes: choice.response_bytes,
            block: rng.u32(0..plan.block_count.max(1)),
            kind,
        });
    }
}

fn choose_kind(draw: f64, crash_ratio: f64, at_most_once_ratio: f64) -> Kind {
    if draw < crash_ratio {
        return Kind::Crash;
    }
    if draw < crash_ratio + at_most_once_ratio {
        return Kind::AtMostOnce;
    }
    Kind::Idempotent
}

fn choose_service<'a>(
    services: &'a [WeightedService],
    rng: &mut fastrand::Rng,
) -> &'a WeightedService {
    let total_weight: f64 = services.iter().map(|service| service.weight).sum();
    let mut remaining = rng.f64() * total_weight;
    let chosen = services.iter().find(|service| {
        remaining -= service.weight;
        remaining < 0.0
    });
    chosen.unwrap_or(&services[0])
}

fn rate_factor(shape: Shape, offset: f64, duration: f64) -> f64 {
    if shape != Shape::Surge {
        return 1.0;
    }
    let progress = (offset - duration / 3.0) / SURGE_RISE_TIME.as_secs_f64();
    1.0 + (SURGE_RATE_FACTOR - 1.0) * progress.clamp(0.0, 1.0)
}

fn at_most_once_factor(shape: Shape, offset: f64, duration: f64) -> f64 {
    let peak = duration / 3.0..duration * 2.0 / 3.0;
    match shape == Shape::AtMostOncePeak && peak.contains(&offset) {
        true => PEAK_AT_MOST_ONCE_FACTOR,
        false => 1.0,
    }
}
