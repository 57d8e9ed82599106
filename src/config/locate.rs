//! Reading of a document from JSON, with the path of the part that cannot be read.

use serde::de::DeserializeOwned;
use serde_json::Value;

use super::{BlockRange, Cap, Document, Endpoint, FieldError, Link, Service, Shares, Zone};

/// Document in a JSON value, or the parts that are no part of one
pub fn read(value: &Value) -> Result<Document, Vec<FieldError>> {
    match serde_json::from_value(value.clone()) {
        Ok(document) => Ok(document),
        Err(error) => {
            let mut faults = Vec::new();
            locate(value, &mut faults);
            if faults.is_empty() {
                faults.push(fault("document", &error));
            }
            Err(faults)
        }
    }
}

fn locate(value: &Value, faults: &mut Vec<FieldError>) {
    each::<Zone>("zones", &value["zones"], faults);
    each::<Link>("links", &value["links"], faults);
    for (index, range) in value["blocks"].as_array().into_iter().flatten().enumerate() {
        part::<BlockRange>(&format!("blocks[{index}]"), range, faults);
    }
    for (name, service) in value["services"].as_object().into_iter().flatten() {
        let field = format!("services.{name}");
        let before = faults.len();
        each::<Endpoint>(&format!("{field}.endpoints"), &service["endpoints"], faults);
        each::<Shares>(&format!("{field}.shares"), &service["shares"], faults);
        for cap in ["shift", "spill"] {
            if !service[cap].is_null() {
                part::<Cap>(&format!("{field}.{cap}"), &service[cap], faults);
            }
        }
        if faults.len() == before {
            part::<Service>(&field, service, faults);
        }
    }
}

fn each<T: DeserializeOwned>(field: &str, value: &Value, faults: &mut Vec<FieldError>) {
    for (name, value) in value.as_object().into_iter().flatten() {
        part::<T>(&format!("{field}.{name}"), value, faults);
    }
}

fn part<T: DeserializeOwned>(field: &str, value: &Value, faults: &mut Vec<FieldError>) {
    if let Err(error) = serde_json::from_value::<T>(value.clone()) {
        faults.push(fault(field, &error));
    }
}

fn fault(field: &str, error: &serde_json::Error) -> FieldError {
    let remedy = "write it as docs/INTERFACE.md shows";
    FieldError::new(field, error.to_string(), remedy)
}
