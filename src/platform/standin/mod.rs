//! Stand-ins for the platform's store and endpoints, for tests and the soak.
//!
//! They speak the platform's names, so they live in this folder. Both run in the process of the test
//! and are driven by plain calls.

pub mod endpoint;
pub mod store;

#[cfg(test)]
mod tests;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Lock that goes on after a panic elsewhere
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
