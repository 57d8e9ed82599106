//! Parsing of a document from JSON; errors name the path of the invalid field.

use serde::de::DeserializeOwned;
use serde_json::Value;

use super::{BlockRange, Cap, Document, Endpoint, FieldError, Link, Service, Shares, Zone};

/// Parses a document, or returns one error for each part that cannot be parsed
pub fn parse(value: &Value) -> Result<Document, Vec<FieldError>> {
    match serde_json::from_value(value.clone()) {
        Ok(document) => Ok(document),
        Err(error) => {
            let mut errors = Vec::new();
            locate_errors(value, &mut errors);
            if errors.is_empty() {
                errors.push(field_error("document", &error));
            }
            Err(errors)
        }
    }
}

fn locate_errors(value: &Value, errors: &mut Vec<FieldError>) {
    parse_entries::<Zone>("zones", &value["zones"], errors);
    parse_entries::<Link>("links", &value["links"], errors);
    for (index, range) in value["blocks"].as_array().into_iter().flatten().enumerate() {
        parse_part::<BlockRange>(&format!("blocks[{index}]"), range, errors);
    }
    for (name, service) in value["services"].as_object().into_iter().flatten() {
        let field = format!("services.{name}");
        let count_before = errors.len();
        parse_entries::<Endpoint>(&format!("{field}.endpoints"), &service["endpoints"], errors);
        parse_entries::<Shares>(&format!("{field}.shares"), &service["shares"], errors);
        for cap in ["shift", "spill"] {
            if !service[cap].is_null() {
                parse_part::<Cap>(&format!("{field}.{cap}"), &service[cap], errors);
            }
        }
        if errors.len() == count_before {
            parse_part::<Service>(&field, service, errors);
        }
    }
}

fn parse_entries<T: DeserializeOwned>(field: &str, value: &Value, errors: &mut Vec<FieldError>) {
    for (name, value) in value.as_object().into_iter().flatten() {
        parse_part::<T>(&format!("{field}.{name}"), value, errors);
    }
}

fn parse_part<T: DeserializeOwned>(field: &str, value: &Value, errors: &mut Vec<FieldError>) {
    if let Err(error) = serde_json::from_value::<T>(value.clone()) {
        errors.push(field_error(field, &error));
    }
}

fn field_error(field: &str, error: &serde_json::Error) -> FieldError {
    let remedy = "see docs/INTERFACE.md for the format";
    FieldError::new(field, error.to_string(), remedy)
}
