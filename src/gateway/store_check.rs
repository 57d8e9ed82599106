//! Checks whether the store serves this host, as [`Contact`] decides.

use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use smol::Timer;
use smol::future::FutureExt;

use super::Gateway;
use super::contact::{Need, first_check_spread};
use super::source::sources;
use crate::message::timeout;
use crate::platform::store::{Kind, Session};

/// Interval at which it is decided whether to check
const DECISION_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a check without an answer is repeated on a new connection: the first one may have
/// lost a packet, or its connection
const REPEAT_DELAY: Duration = Duration::from_millis(400);

/// Time after which a check has failed
const CHECK_TIMEOUT: Duration = Duration::from_millis(800);

/// Checks the store whenever it is due, forever
pub async fn run(gateway: Rc<Gateway>) {
    let mut session = Session::new(gateway.settings.borrow().store_address);
    let mut jitter = fastrand::f64();
    loop {
        let now = Instant::now();
        let need = need(&gateway);
        let spread = {
            let settings = gateway.settings.borrow();
            let hosts = gateway.fleet.borrow().count_in_region(&settings.region);
            first_check_spread(hosts, settings.apply_time)
        };
        let next = gateway.contact.get().next_check(now, need, spread, jitter);
        let Some(due) = next.filter(|due| *due <= now + DECISION_INTERVAL) else {
            wait(&gateway, DECISION_INTERVAL).await;
            continue;
        };
        if due > now {
            wait(&gateway, due - now).await;
            continue;
        }
        jitter = fastrand::f64();
        session.set_address(gateway.settings.borrow().store_address);
        let is_served = check(&gateway, &mut session).await;
        record(&gateway, is_served);
    }
}

/// Waits for a time, or until a failed call is to be checked at once
async fn wait(gateway: &Gateway, time: Duration) {
    let suspected = async {
        // The sender is dropped only with the gateway.
        let _ = gateway.store_suspected.1.recv().await;
    };
    let elapsed = async {
        Timer::after(time).await;
    };
    elapsed.or(suspected).await;
}

/// Returns why this host needs to know whether the store serves it
fn need(gateway: &Gateway) -> Need {
    if gateway.store_reads.get() > 0 {
        return Need::Reading;
    }
    if sources(gateway)[0].is_store {
        return Need::Standby;
    }
    let without_source = gateway.without_source.borrow();
    match without_source.values().min() {
        Some(since) => Need::NoSource(*since),
        None => Need::None,
    }
}

/// Reads this host's own entry, on a second connection if the first gives no answer
async fn check(gateway: &Gateway, session: &mut Session) -> bool {
    let start = Instant::now();
    let deadline = start + CHECK_TIMEOUT;
    let host = gateway.settings.borrow().host.clone();
    let mut second_session = Session::new(gateway.settings.borrow().store_address);
    let is_served = {
        let mut first = Box::pin(ping(session, &host, deadline));
        let second = ping(&mut second_session, &host, deadline);
        match timeout(start + REPEAT_DELAY, &mut first).await {
            Some(true) => true,
            Some(false) => second.await,
            None => {
                only_success(first)
                    .or(only_success(second))
                    .or(async {
                        Timer::at(deadline).await;
                        false
                    })
                    .await
            }
        }
    };
    if !is_served {
        session.disconnect();
    }
    let calls = session.take_call_count() + second_session.take_call_count();
    gateway.metrics.count_store_checks(calls);
    is_served
}

/// Returns whether the store answers a check in time
async fn ping(session: &mut Session, host: &str, deadline: Instant) -> bool {
    let answer = session.ping(Kind::Hosts, host, CHECK_TIMEOUT);
    match timeout(deadline, answer).await {
        Some(Ok(())) => true,
        Some(Err(error)) => {
            log::debug!("the store does not serve a check: {error}");
            false
        }
        None => false,
    }
}

/// Completes only if a check succeeds
async fn only_success(check: impl Future<Output = bool>) -> bool {
    match check.await {
        true => true,
        false => std::future::pending().await,
    }
}

/// Records the result of a check
fn record(gateway: &Gateway, is_served: bool) {
    let now = Instant::now();
    if is_served {
        return gateway.record_store_check();
    }
    let mut contact = gateway.contact.get();
    let is_new = contact.record_failed_check(now);
    gateway.contact.set(contact);
    let own = gateway.settings.borrow().host.clone();
    gateway.fleet.borrow_mut().record_reader_failure(now, &own);
    if is_new {
        let fields = [("calls", gateway.store_reads.get().into())];
        gateway.recorder.event("store-unanswered", &fields);
        gateway.send_news();
    }
}
