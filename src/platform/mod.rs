//! Adapter between the platform and the types of this crate.
//!
//! Names that the platform defines appear only in this folder: its settings file ([`node`]), the
//! objects in its store ([`store`], [`record`]), its headers ([`header`]) and its requests to the
//! readiness and directory ports ([`front`]). Each name is decoded once into a type of this crate.

pub mod front;
pub mod header;
pub mod node;
mod page;
pub mod record;
mod replication;
mod response_time;
pub mod standin;
pub mod store;

#[cfg(test)]
mod tests;
