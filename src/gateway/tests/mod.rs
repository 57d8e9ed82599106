//! Tests of the gateway's decisions, mostly without connections.

mod cold;
mod contact;
mod datagram;
mod heartbeat;
mod history;
mod holdover;
mod log;
mod mirror;
mod peers;
mod reply;
mod reports;
mod source;
mod statement;
mod store_gate;
mod stream;
mod supervise;
mod watch;
