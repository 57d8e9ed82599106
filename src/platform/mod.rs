//! Adapter to the users' platform.
//!
//! Only this folder knows the platform's names: its settings file ([`node`]), the objects in its
//! store ([`store`], [`record`]), its headers ([`header`]) and the shapes that callers and operators
//! ask for ([`front`]). Each name is decoded once into a type of the product.

pub mod front;
pub mod header;
pub mod node;
pub mod record;
pub mod standin;
pub mod store;

#[cfg(test)]
mod tests;
