//! Tests of the backoff, and of the client against the simulated platform with faults.

mod backoff;
mod client;
