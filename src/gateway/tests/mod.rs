//! Tests of the gateway's decisions, mostly without connections.

mod cold;
mod log;
mod mirror;
mod reply;
mod watch;
