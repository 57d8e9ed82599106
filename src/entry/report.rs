//! What operators see of an entry host.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use crate::config;
use crate::entry::{Host, lock};
use crate::id::{BlockId, ServiceId, Version};
use crate::member::View;
use crate::operator::{self, Explanation, Known, Source, Status};
use crate::{slot, util};

/// Answers of the operators' port
pub fn source(host: &Arc<Host>) -> Source {
    let (a, b, c, d) = (host.clone(), host.clone(), host.clone(), host.clone());
    Source {
        metrics: host.metrics.clone(),
        status: Arc::new(move || status(&a)),
        explain: Arc::new(move |service, block| explain(&b, service, block)),
        events: Arc::new(move || lock(&c.events).newest_first().cloned().collect()),
        revision: Arc::new(move || d.revision()),
    }
}

fn explain(host: &Host, service: &ServiceId, block: BlockId) -> Option<Explanation> {
    let revision = host.revision();
    let shares = host.advance_shares(&revision, service);
    let choices = host.route(&revision, service);
    let view = lock(&host.view);
    let known = Known {
        revision: &revision,
        view: &view,
        entry: &host.settings.zone,
        shares: &shares,
        choices: &choices,
    };
    operator::explain(&known, service, block)
}

fn status(host: &Host) -> Status {
    let revision = host.revision();
    let now = Instant::now();
    let answered = *lock(&host.platform_contact_at);
    let known = hosts(&lock(&host.view), revision.number, now);
    Status {
        host: host.settings.host.clone(),
        zone: host.settings.zone.clone(),
        incarnation: host.incarnation,
        age_ms: millis(host.started_at.elapsed()),
        number: revision.number,
        number_age_ms: millis(now.saturating_duration_since(*lock(&host.applied_at))),
        platform_age_ms: answered.map(|at| millis(now.saturating_duration_since(at))),
        stopping: host.is_stopping(),
        running: host.in_flight_count() as u64,
        attempts: host.attempt_count(),
        platform: operator::calls(&host.platform),
        hosts: known,
        services: services(host, &revision),
    }
}

fn hosts(view: &View, number: Version, now: Instant) -> Vec<operator::Host> {
    let known = view.hosts().values().map(|known| operator::Host {
        host: known.info.host.clone(),
        zone: known.info.zone.clone(),
        state: known.state,
        number: match known.info.host == *view.own_host() {
            true => number,
            false => known.config_number,
        },
        heard_ms: known
            .last_heard
            .map(|heard| millis(now.saturating_duration_since(heard))),
    });
    known.collect()
}

fn services(host: &Host, revision: &config::Revision) -> Vec<operator::Service> {
    let services = revision.document.services.iter();
    services
        .map(|(name, policy)| service(host, revision, name, policy))
        .collect()
}

fn service(
    host: &Host,
    revision: &config::Revision,
    name: &ServiceId,
    policy: &config::Service,
) -> operator::Service {
    let zone = &host.settings.zone;
    let shares = host.advance_shares(revision, name);
    let target = config::effective_shares(policy, zone);
    let owner = lock(&host.view).owner(zone, name).cloned();
    let owner = owner.map(|owner| owner.info.host);
    let owned = owner.as_ref() == Some(&host.settings.host);
    let now = Instant::now();
    let slots = host.with_slots(name, |slots| {
        let waiting = slots.pool.headroom(now).waiting;
        let seats = slots.pool.endpoints(now);
        let endpoints = seats.map(|seat| endpoint(&revision.document, &seat));
        (u64::from(waiting), endpoints.collect())
    });
    let (waiting, endpoints) = slots.filter(|_| owned).unwrap_or_default();
    operator::Service {
        service: name.clone(),
        shift: shift(
            revision.shift_starts.get(name),
            &shares,
            &target,
            &policy.shift,
        ),
        shares,
        target,
        owner,
        waiting,
        endpoints,
    }
}

fn endpoint(document: &config::Document, seat: &slot::EndpointStatus<'_>) -> operator::Endpoint {
    let zone = document.zones.get(&seat.config.zone);
    operator::Endpoint {
        endpoint: seat.id.clone(),
        region: zone.map(|zone| zone.region.clone()).unwrap_or_default(),
        used: seat.busy,
        free: seat.usable.saturating_sub(seat.busy),
        slots: seat.config.slots,
        state: seat.state.into(),
        report_ms: seat.report_age.map(millis),
    }
}

/// Shift between two sets of shares, if one is under way
fn shift(
    started: Option<&config::ShiftStart>,
    shares: &config::Shares,
    target: &config::Shares,
    cap: &config::Cap,
) -> Option<operator::Shift> {
    let left = config::moved_share(shares, target);
    if left <= config::SHARE_TOLERANCE {
        return None;
    }
    let started = started.map_or(0, |started| started.at);
    let time = Duration::try_from_secs_f64(left / cap.share * cap.window.as_secs_f64());
    Some(operator::Shift {
        age_ms: util::unix_millis(SystemTime::now()).saturating_sub(started),
        left_ms: time.map_or(u64::MAX, millis),
    })
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
