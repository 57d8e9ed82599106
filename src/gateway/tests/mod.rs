//! Tests of what the gateway's parts decide without connections.

mod cold;
mod log;
mod mirror;
mod reply;
mod watch;
