//! JSON merge patches: applying one, and computing the patch between two documents.

use serde_json::{Map, Value};

/// Returns the document after applying a merge patch
pub fn merge(document: &Value, patch: &Value) -> Value {
    let mut merged = document.clone();
    json_patch::merge(&mut merged, patch);
    merged
}

/// Returns the merge patch that turns `from` into `to`
///
/// A merge patch cannot set a field to null, so the documents must not contain nulls.
pub fn diff(from: &Value, to: &Value) -> Value {
    let (Value::Object(old), Value::Object(new)) = (from, to) else {
        return to.clone();
    };
    let mut patch = Map::new();
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        patch.insert(name.clone(), Value::Null);
    }
    for (name, value) in new {
        match old.get(name) {
            Some(before) if before == value => {}
            Some(before) => {
                patch.insert(name.clone(), diff(before, value));
            }
            None => {
                patch.insert(name.clone(), value.clone());
            }
        }
    }
    Value::Object(patch)
}
