//! Fault settings that tests change with JSON merge patches.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Returns the faults with a merge patch applied, or an error for an unknown or invalid field
pub fn apply_merge_patch<T: Serialize + DeserializeOwned>(
    faults: &T,
    patch: &[u8],
) -> Result<T, serde_json::Error> {
    let patch: serde_json::Value = serde_json::from_slice(patch)?;
    let mut value = serde_json::to_value(faults)?;
    json_patch::merge(&mut value, &patch);
    serde_json::from_value(value)
}
