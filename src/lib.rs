//! Global traffic steering for callers that retry until they receive an answer.
//!
//! Each module covers one responsibility and contains its own state, messages and tests. Modules
//! that make decisions take the current time and an event and return the actions to perform. They
//! do no I/O, so that tests and benchmarks can run them for millions of steps. The tasks in
//! `entry`, `caller`, `peer`, `upstream` and `operator` perform these actions.

pub mod answer;
pub mod bound;
pub mod budget;
pub mod caller;
pub mod catalog;
pub mod config;
pub mod ctl;
pub mod drain;
pub mod entry;
pub mod error;
pub mod fleet;
pub mod gateway;
pub mod http;
pub mod id;
pub mod limit;
pub mod load;
pub mod lookup;
pub mod member;
pub mod message;
pub mod object;
pub mod once;
pub mod operator;
pub mod peer;
pub mod placement;
pub mod platform;
pub mod policy;
pub mod quarantine;
pub mod region;
pub mod report;
pub mod retry;
pub mod route;
pub mod settings;
pub mod shift;
pub mod slot;
pub mod standin;
pub mod upstream;
pub mod util;
pub mod wire;
