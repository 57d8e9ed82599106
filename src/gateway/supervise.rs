//! Panics of tasks.
//!
//! | task | after a panic |
//! | --- | --- |
//! | of a request | its caller's connection closes, as nobody knows whether the request ran |
//! | of a connection | the connection closes |
//! | of a loop that runs as long as the host | the loop starts again after a backoff |
//! | that waits for signals | the process ends with an error, and the platform starts it again |
//!
//! Starting a loop again loses callers less than ending the process: the other loops and the requests
//! in flight go on with what the host knows. Loops keep what must last in [`Gateway`]; the loops that
//! follow the store list everything again.

use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use smol::future::FutureExt;
use smol::{Task, Timer};

use super::Gateway;
use crate::object::Backoff;

/// Minimum and maximum delay before a loop starts again; a change of the store must be in force within
/// two seconds
const RESTART_DELAY_RANGE: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(800));

/// Time after which the panics of a loop are no longer taken for a series
const RECOVERY_TIME: Duration = Duration::from_secs(10);

/// Awaits a task; returns `None` if it panics, which is logged and counted
pub async fn contain<T>(
    gateway: &Gateway,
    task: &'static str,
    future: Pin<Box<impl Future<Output = T>>>,
) -> Option<T> {
    contain_task(gateway, task, "-", future).await
}

/// Awaits a part of the request with this attempt id; returns `None` if it panics
pub async fn contain_request<T>(
    gateway: &Gateway,
    attempt_id: &str,
    future: Pin<Box<impl Future<Output = T>>>,
) -> Option<T> {
    contain_task(gateway, "request", attempt_id, future).await
}

/// The future is boxed, as each function that it passes through would keep room for it otherwise
async fn contain_task<T>(
    gateway: &Gateway,
    task: &'static str,
    attempt_id: &str,
    future: Pin<Box<impl Future<Output = T>>>,
) -> Option<T> {
    // A change of shared state that a panic interrupts stays as it is; loops that follow the store list
    // everything again.
    let result = AssertUnwindSafe(future).catch_unwind().await;
    let Err(panic) = result else {
        return result.ok();
    };
    gateway.metrics.count_panic(task);
    let fields = [
        ("task", task.into()),
        ("id", attempt_id.into()),
        ("error", panic_text(&*panic).into()),
    ];
    gateway.recorder.event("task-panicked", &fields);
    None
}

/// Runs a loop until it ends by itself; `start` starts it, again after each panic
pub fn keep_running<F>(
    gateway: &Rc<Gateway>,
    task: &'static str,
    start: impl Fn() -> F + 'static,
) -> Task<()>
where
    F: Future<Output = ()> + 'static,
{
    let supervisor = gateway.clone();
    let supervised = async move {
        let mut backoff = Backoff::new(RESTART_DELAY_RANGE.0, RESTART_DELAY_RANGE.1);
        loop {
            let started_at = Instant::now();
            if contain(&supervisor, task, Box::pin(start()))
                .await
                .is_some()
            {
                return;
            }
            if started_at.elapsed() > RECOVERY_TIME {
                backoff.record_success();
            }
            Timer::after(backoff.record_failure(fastrand::f64())).await;
        }
    };
    gateway.spawn(supervised)
}

fn panic_text(panic: &(dyn std::any::Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("-")
}
