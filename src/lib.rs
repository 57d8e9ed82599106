//! Global traffic steering for callers that retry until they are answered.
//!
//! The crate is cut by duty. Each slice holds its own state, messages and tests. A slice that
//! decides something takes the time and an event and returns what to do; it does no I/O, so that
//! tests and benchmarks can drive it for millions of steps. The tasks in `entry`, `caller`,
//! `peer`, `upstream` and `operator` carry those decisions out.

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
pub mod retry;
pub mod route;
pub mod settings;
pub mod shift;
pub mod slot;
pub mod standin;
pub mod upstream;
pub mod util;
pub mod wire;
