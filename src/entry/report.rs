//! Status and explanations of an entry host for its operator port.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use crate::config;
use crate::entry::{Host, lock};
use crate::id::{BlockId, ServiceId, Version};
use crate::member::View;
use crate::operator::{self, Explanation, Input, Source, Status};
use crate::{slot, util};

/// Returns the callbacks that provide the data of the operator port
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
    let candidates = host.route(&revision, service);
    let view = lock(&host.view);
    let input = Input {
        revision: &revision,
        view: &view,
        entry_zone: &host.settings.zone,
        shares: &shares,
        candidates: &candidates,
    };
    operator::explain(&input, service, block)
}

fn status(host: &Host) -> Status {
    let revision = host.revision();
    let now = Instant::now();
    let platform_contact_at = *lock(&host.platform_contact_at);
    let hosts = hosts(&lock(&host.view), revision.number, now);
    Status {
        host: host.settings.host.clone(),
        zone: host.settings.zone.clone(),
        incarnation: host.incarnation,
        age_ms: millis(host.started_at.elapsed()),
        config_number: revision.number,
        config_age_ms: millis(now.saturating_duration_since(*lock(&host.applied_at))),
        platform_age_ms: platform_contact_at.map(|at| millis(now.saturating_duration_since(at))),
        stopping: host.is_stopping(),
        in_flight: host.in_flight_count() as u64,
        attempts: host.attempt_count(),
        platform: operator::calls(&host.platform),
        hosts,
        services: services(host, &revision),
    }
}

fn hosts(view: &View, number: Version, now: Instant) -> Vec<operator::Host> {
    let hosts = view.hosts().values().map(|host| operator::Host {
        host: host.info.host.clone(),
        zone: host.info.zone.clone(),
        state: host.state,
        config_number: match host.info.host == *view.own_host() {
            true => number,
            false => host.config_number,
        },
        heartbeat_age_ms: host
            .last_heard
            .map(|last_heard| millis(now.saturating_duration_since(last_heard))),
    });
    hosts.collect()
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
    let is_owner = owner.as_ref() == Some(&host.settings.host);
    let now = Instant::now();
    let slots = host.with_slots(name, |slots| {
        let waiting = slots.pool.headroom(now).waiting;
        let endpoints = slots.pool.endpoints(now);
        let endpoints = endpoints.map(|status| endpoint(&revision.document, &status));
        (u64::from(waiting), endpoints.collect())
    });
    let (waiting, endpoints) = slots.filter(|_| is_owner).unwrap_or_default();
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

fn endpoint(document: &config::Document, status: &slot::EndpointStatus<'_>) -> operator::Endpoint {
    let zone = document.zones.get(&status.config.zone);
    operator::Endpoint {
        endpoint: status.id.clone(),
        region: zone.map(|zone| zone.region.clone()).unwrap_or_default(),
        used: status.busy,
        free: status.usable.saturating_sub(status.busy),
        slots: status.config.slots,
        state: status.state.into(),
        report_age_ms: status.report_age.map(millis),
    }
}

/// Returns the remaining shift from `shares` to `target`, if there is one
fn shift(
    shift_start: Option<&config::ShiftStart>,
    shares: &config::Shares,
    target: &config::Shares,
    cap: &config::Cap,
) -> Option<operator::Shift> {
    let remaining_share = config::moved_share(shares, target);
    if remaining_share <= config::SHARE_TOLERANCE {
        return None;
    }
    let started_at = shift_start.map_or(0, |shift_start| shift_start.at);
    let remaining_time =
        Duration::try_from_secs_f64(remaining_share / cap.share * cap.window.as_secs_f64());
    Some(operator::Shift {
        age_ms: util::unix_millis(SystemTime::now()).saturating_sub(started_at),
        remaining_ms: remaining_time.map_or(u64::MAX, millis),
    })
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
