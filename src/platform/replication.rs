//! Lists and changes of objects that hosts of this system request from each other, in the format of
//! the store.

#![deny(
    clippy::arithmetic_side_effects,
    clippy::indexing_slicing,
    clippy::unchecked_time_subtraction,
    clippy::unwrap_used
)]

use std::time::Duration;

use serde_json::{Value, json};

use super::store::{Event, Kind, Object, Position};
use crate::bound;

/// Request for objects that one host of this system sends to another
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// Lists all objects of a kind
    List(Kind),
    /// Waits for changes of a kind after a position, for at most the given time
    Watch(Kind, Position, Duration),
}

/// Age of a host's copy of a kind, which it states with the objects
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CopyAge {
    /// Time since the answer of the store that the copy rests on
    pub age: Duration,
    /// Number of other hosts between the store and that host
    pub hops: u8,
}

impl CopyAge {
    /// Returns the age that a response states, `None` if it states none
    pub fn from_fields(age_millis: Option<u64>, hops: Option<u64>) -> Option<Self> {
        Some(Self {
            age: bound::millis(age_millis?),
            hops: u8::try_from(hops?).ok()?,
        })
    }

    /// Adds the age to a response
    fn add_to(self, mut response: Value) -> Value {
        if let Some(fields) = response.as_object_mut() {
            let age_millis = self.age.as_millis() as u64;
            fields.insert("age_ms".to_owned(), age_millis.into());
            fields.insert("hops".to_owned(), self.hops.into());
        }
        response
    }
}

/// Parses a list or watch request as [`Session`] sends it
pub fn parse_request(method: &str, target: &str) -> Option<Request> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let name = path.strip_prefix("/objects/").filter(|_| method == "GET")?;
    let kind = Kind::ALL.into_iter().find(|kind| kind.name() == name)?;
    let number_parameter = |key: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(name, _)| *name == key)?;
        value.parse::<u64>().ok()
    };
    Some(match number_parameter("watch") {
        Some(revision) => {
            let wait = bound::millis(number_parameter("wait_ms").unwrap_or(0));
            let era = number_parameter("era").unwrap_or(0);
            Request::Watch(kind, Position { era, revision }, wait)
        }
        None => Request::List(kind),
    })
}

/// Returns the response body to a list request, as a single page
pub fn list_response<'a>(
    objects: impl Iterator<Item = &'a Object>,
    revision: u64,
    copy: CopyAge,
) -> Value {
    let items: Vec<Value> = objects.map(encode_object).collect();
    copy.add_to(json!({ "items": items, "has_more": false, "store_revision": revision }))
}

/// Returns the response body to a watch request
pub fn watch_response<'a>(
    events: impl Iterator<Item = &'a Event>,
    revision: u64,
    copy: CopyAge,
) -> Value {
    let events = events.map(|event| match event {
        Event::Put(object) => json!({ "removed": false, "object": encode_object(object) }),
        Event::Removed(name) => {
            json!({ "removed": true, "object": { "metadata": { "name": name } } })
        }
    });
    let events: Vec<Value> = events.collect();
    copy.add_to(json!({ "events": events, "store_revision": revision }))
}

fn encode_object(object: &Object) -> Value {
    json!({
        "metadata": { "name": object.name, "revision": object.revision },
        "spec": object.spec,
    })
}
