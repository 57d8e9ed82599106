//! Decoding of lists and changes of objects.
//!
//! Other programs write to the store too. Each object is decoded by itself, so that one that cannot be
//! read neither hides the others nor stops the changes after it. Its content counts as null, which no
//! kind accepts; its name still counts, as some kinds mean something by the name alone.

#![deny(
    clippy::arithmetic_side_effects,
    clippy::indexing_slicing,
    clippy::unchecked_time_subtraction,
    clippy::unwrap_used
)]

use std::borrow::Cow;

use compact_str::CompactString;
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;

use super::replication::CopyAge;
use super::store::{Error, Event, Object};

/// Maximum nesting of an object's content; usual ones have at most five levels
///
/// Below the limit of the JSON decoder, so that an object can be part of a larger document.
const MAX_DEPTH: usize = 64;

/// Escape that stands for no character
///
/// A backslash in front of it would take the meaning of the first half away.
const ESCAPE: &str = r"\udcff\udcff";

/// Object that cannot be read
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unreadable {
    /// Name of the object, `None` if that cannot be read either
    pub name: Option<CompactString>,
    /// Reason
    pub reason: String,
}

/// Page of a list
#[derive(Debug)]
pub struct List {
    /// Objects, those that cannot be read with the content null
    pub objects: Vec<Object>,
    /// Whether another page follows
    pub has_more: bool,
    /// Revision of the list
    pub revision: Option<u64>,
    /// Age of the copy that the page comes from, `None` for the store itself
    pub copy_age: Option<CopyAge>,
    /// What cannot be read
    pub unreadable: Vec<Unreadable>,
}

/// Changes of a kind
#[derive(Debug)]
pub struct Changes {
    /// Changes in their order
    pub events: Vec<Event>,
    /// Revision up to which they are complete
    pub revision: Option<u64>,
    /// Age of the copy that they come from, `None` for the store itself
    pub copy_age: Option<CopyAge>,
    /// What cannot be read
    pub unreadable: Vec<Unreadable>,
}

#[derive(Deserialize)]
struct RawList<'a> {
    #[serde(borrow)]
    items: Vec<&'a RawValue>,
    has_more: Option<bool>,
    store_revision: Option<u64>,
    age_ms: Option<u64>,
    hops: Option<u64>,
}

#[derive(Deserialize)]
struct RawChanges<'a> {
    #[serde(borrow, default)]
    events: Vec<&'a RawValue>,
    store_revision: Option<u64>,
    age_ms: Option<u64>,
    hops: Option<u64>,
}

#[derive(Deserialize)]
struct RawEvent<'a> {
    removed: Option<bool>,
    #[serde(borrow)]
    object: RawObject<'a>,
}

#[derive(Deserialize)]
struct RawObject<'a> {
    metadata: Metadata,
    #[serde(borrow)]
    spec: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct Metadata {
    name: CompactString,
    revision: Option<u64>,
}

/// Decodes a page of a list
pub fn decode_list(body: &[u8]) -> Result<List, Error> {
    decode(body, parse_list)
}

/// Decodes the response to a watch
pub fn decode_changes(body: &[u8]) -> Result<Changes, Error> {
    decode(body, parse_changes)
}

/// Parses a body as it is, or else with escapes in place of what a JSON string may not contain
///
/// The escapes stand for no character, so only the objects that contain them cannot be read.
fn decode<T>(body: &[u8], parse: impl Fn(&str) -> Result<T, Error>) -> Result<T, Error> {
    let text = escape_bytes(body);
    parse(&text).or_else(|_| parse(&escape_strings(&text)))
}

fn parse_list(text: &str) -> Result<List, Error> {
    let raw: RawList<'_> = serde_json::from_str(text).map_err(malformed)?;
    let mut unreadable = Vec::new();
    let items = raw.items.into_iter();
    let objects = items.filter_map(|item| match serde_json::from_str(item.get()) {
        Ok(object) => Some(decode_object(object, &mut unreadable)),
        Err(error) => {
            unreadable.push(nameless(&error));
            None
        }
    });
    let objects = objects.collect();
    Ok(List {
        objects,
        has_more: raw.has_more.unwrap_or(false),
        revision: raw.store_revision,
        copy_age: CopyAge::from_fields(raw.age_ms, raw.hops),
        unreadable,
    })
}

fn parse_changes(text: &str) -> Result<Changes, Error> {
    let raw: RawChanges<'_> = serde_json::from_str(text).map_err(malformed)?;
    let mut unreadable = Vec::new();
    let events = raw.events.into_iter();
    let events = events.filter_map(|event| match serde_json::from_str(event.get()) {
        Ok(event) => Some(decode_event(event, &mut unreadable)),
        Err(error) => {
            unreadable.push(nameless(&error));
            None
        }
    });
    let events = events.collect();
    Ok(Changes {
        events,
        revision: raw.store_revision,
        copy_age: CopyAge::from_fields(raw.age_ms, raw.hops),
        unreadable,
    })
}

fn decode_event(event: RawEvent<'_>, unreadable: &mut Vec<Unreadable>) -> Event {
    match event.removed {
        Some(true) => Event::Removed(event.object.metadata.name),
        _ => Event::Put(decode_object(event.object, unreadable)),
    }
}

fn decode_object(object: RawObject<'_>, unreadable: &mut Vec<Unreadable>) -> Object {
    let Metadata { name, revision } = object.metadata;
    let text = object.spec.map_or("null", RawValue::get);
    let spec = decode_content(text).unwrap_or_else(|reason| {
        let name = Some(name.clone());
        unreadable.push(Unreadable { name, reason });
        Value::Null
    });
    Object {
        name,
        revision: revision.unwrap_or(0),
        spec,
    }
}

fn decode_content(text: &str) -> Result<Value, String> {
    let content: Value = serde_json::from_str(text).map_err(|error| error.to_string())?;
    match is_within(&content, MAX_DEPTH) {
        true => Ok(content),
        false => Err(format!("more than {MAX_DEPTH} levels")),
    }
}

fn is_within(value: &Value, max_depth: usize) -> bool {
    let Some(max_depth) = max_depth.checked_sub(1) else {
        return false;
    };
    match value {
        Value::Array(items) => items.iter().all(|item| is_within(item, max_depth)),
        Value::Object(fields) => fields.values().all(|field| is_within(field, max_depth)),
        _ => true,
    }
}

/// Returns a body as text, with an escape in place of bytes that are no text
fn escape_bytes(body: &[u8]) -> Cow<'_, str> {
    if let Ok(text) = std::str::from_utf8(body) {
        return text.into();
    }
    let mut text = String::new();
    for chunk in body.utf8_chunks() {
        text.push_str(chunk.valid());
        if !chunk.invalid().is_empty() {
            text.push_str(ESCAPE);
        }
    }
    text.into()
}

/// Returns a text with an escape in place of control characters and invalid escapes in its strings
fn escape_strings(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    let mut is_string = false;
    let mut rest = text.chars();
    while let Some(character) = rest.next() {
        match character {
            '"' => {
                is_string = !is_string;
                escaped.push(character);
            }
            '\\' if is_string => match escape_length(rest.as_str()) {
                Some(length) => {
                    escaped.push(character);
                    escaped.extend(rest.by_ref().take(length));
                }
                None => escaped.push_str(ESCAPE),
            },
            '\0'..='\x1f' if is_string => escaped.push_str(ESCAPE),
            _ => escaped.push(character),
        }
    }
    escaped
}

/// Returns the length of a valid escape without its backslash
fn escape_length(text: &str) -> Option<usize> {
    let mut characters = text.chars();
    match characters.next()? {
        '"' | '\\' | '/' | 'b' | 'f' | 'n' | 'r' | 't' => Some(1),
        'u' => {
            let digits = characters.take(4).filter(char::is_ascii_hexdigit);
            (digits.count() == 4).then_some(5)
        }
        _ => None,
    }
}

fn nameless(error: &serde_json::Error) -> Unreadable {
    Unreadable {
        name: None,
        reason: error.to_string(),
    }
}

fn malformed(error: serde_json::Error) -> Error {
    Error::Malformed(error.to_string())
}
