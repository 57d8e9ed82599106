//! The client against the stand-in platform and its faults.

mod backoff;
mod client;
