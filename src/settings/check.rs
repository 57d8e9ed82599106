//! Loading and validation of a settings file.

use std::collections::BTreeSet;
use std::fmt::Display as FmtDisplay;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use displaydoc::Display;

use super::Settings;
use crate::config::{FieldError, name_error};

/// Error in a settings file
#[derive(Debug, Display)]
pub enum Error {
    /// cannot read {0:?}: {1}; check the path and its permissions
    File(PathBuf, std::io::Error),
    /// {0}:{1}: {2}; correct the field as documented in docs/INTERFACE.md
    Syntax(String, u64, String),
    /// {0}:{1}: {2}
    Field(String, u64, FieldError),
}

impl std::error::Error for Error {}

impl Settings {
    /// Loads settings from a YAML file and validates their values
    pub fn load(path: impl AsRef<Path>) -> Result<Self, Error> {
        let path = path.as_ref();
        let text =
            std::fs::read_to_string(path).map_err(|error| Error::File(path.to_owned(), error))?;
        let file = path.display().to_string();
        let settings: Self = serde_saphyr::from_str(&text).map_err(|error| {
            let line = error.location().map_or(1, |location| location.line());
            Error::Syntax(file.clone(), line, first_line(&error))
        })?;
        match settings.field_errors().into_iter().next() {
            Some(error) => Err(Error::Field(file, line_of(&text, &error.field), error)),
            None => Ok(settings),
        }
    }

    fn field_errors(&self) -> Vec<FieldError> {
        let mut errors = Vec::new();
        errors.extend(name_error("host", &self.host));
        errors.extend(name_error("zone", &self.zone));
        self.check_addresses(&mut errors);
        if self.platform_addresses.is_empty() {
            let remedy = "list the addresses of the platform's object API";
            errors.push(FieldError::new("platform", "no address is given", remedy));
        }
        check_duplicates("platform", &self.platform_addresses, &mut errors);
        check_duplicates("seeds", &self.seed_addresses, &mut errors);
        if self.keys.authorities.is_empty() {
            let remedy = "list the files of the authorities whose hosts are trusted";
            errors.push(FieldError::new(
                "keys.authorities",
                "no file is given",
                remedy,
            ));
        }
        errors
    }

    fn check_addresses(&self, errors: &mut Vec<FieldError>) {
        if self.caller_address == self.operator_address {
            errors.push(FieldError::new(
                "operator",
                format!("{} is also the address for callers", self.operator_address),
                "use a port of its own for each",
            ));
        }
        let addresses = [
            ("caller", self.caller_address),
            ("peer", self.peer_address),
            ("operator", self.operator_address),
        ];
        for (field, address) in addresses {
            if address.ip().is_unspecified() {
                errors.push(FieldError::new(
                    field,
                    format!("other hosts cannot connect to {address}"),
                    "use the address of this host",
                ));
            }
        }
    }
}

/// Validates a settings file and the files that it refers to
pub fn check(path: impl AsRef<Path>) -> Result<Settings, Error> {
    let path = path.as_ref();
    let settings = Settings::load(path)?;
    let text =
        std::fs::read_to_string(path).map_err(|error| Error::File(path.to_owned(), error))?;
    let to_error = |error: FieldError| {
        let line = line_of(&text, &error.field);
        Error::Field(path.display().to_string(), line, error)
    };
    let keys = &settings.keys;
    check_pem("keys.certificate", &keys.certificate, "CERTIFICATE").map_err(to_error)?;
    check_pem("keys.private_key", &keys.private_key, "PRIVATE KEY").map_err(to_error)?;
    for file in &keys.authorities {
        check_pem("keys.authorities", file, "CERTIFICATE").map_err(to_error)?;
    }
    check_level(&settings.log.level).map_err(to_error)?;
    Ok(settings)
}

/// Rejects a bare word that is not a level, because the logger would treat it as a module name
fn check_level(level: &str) -> Result<(), FieldError> {
    let remedy = "give a level such as info, or module=level pairs";
    let mut words = level
        .split(',')
        .map(str::trim)
        .filter(|directive| !directive.contains('='));
    if let Some(word) = words.find(|word| word.parse::<log::LevelFilter>().is_err()) {
        let problem = format!("{word:?} is not a log level");
        return Err(FieldError::new("log.level", problem, remedy));
    }
    flexi_logger::LogSpecification::parse(level)
        .map(drop)
        .map_err(|error| FieldError::new("log.level", error.to_string(), remedy))
}

fn check_pem(field: &str, file: &Path, label: &str) -> Result<(), FieldError> {
    let remedy = "create it with pierctl keys and give its path";
    let text = std::fs::read_to_string(file).map_err(|error| {
        FieldError::new(field, format!("cannot read {file:?}: {error}"), remedy)
    })?;
    if !text.contains(&format!("{label}-----")) {
        let problem = format!("{file:?} contains no {}", label.to_lowercase());
        return Err(FieldError::new(field, problem, remedy));
    }
    Ok(())
}

fn check_duplicates(field: &str, addresses: &[SocketAddr], errors: &mut Vec<FieldError>) {
    let mut seen = BTreeSet::new();
    for address in addresses {
        if !seen.insert(address) {
            let problem = format!("{address} is listed twice");
            errors.push(FieldError::new(field, problem, "list each address once"));
        }
    }
}

/// Returns the first line of a parser error, without the line number
fn first_line(error: &impl FmtDisplay) -> String {
    let text = error.to_string();
    let line = text.lines().next().unwrap_or_default();
    let position = line.strip_prefix("error: line ");
    let message = position.and_then(|position| position.split_once(": "));
    message.map_or(line, |(_, message)| message).to_owned()
}

/// Returns the line of a field in the text, counted from 1; line 1 if it is not found
fn line_of(text: &str, field: &str) -> u64 {
    let mut line = 1;
    let mut lines = text.lines().zip(1..);
    for name in field.split('.') {
        let key = format!("{name}:");
        match lines.find(|(text, _)| text.trim_start().starts_with(&key)) {
            Some((_, number)) => line = number,
            None => break,
        }
    }
    line
}
