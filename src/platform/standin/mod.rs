//! Stand-ins for the platform's store and upstream endpoints, for the tests and the soak test.
//!
//! They run in the process of the test, which controls them by method calls. They belong to this
//! folder because they use the names that the platform defines.

mod copies;
pub mod endpoint;
pub mod store;

#[cfg(test)]
mod tests;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex even if it is poisoned
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
