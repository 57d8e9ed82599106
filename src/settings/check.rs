//! Reading and checking of a settings file.

use std::collections::BTreeSet;
use std::fmt::Display as Text;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use displaydoc::Display;

use super::Settings;
use crate::config::{FieldError, name_error};

/// Why settings are refused
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
    /// Settings in a YAML file, with their values checked
    pub fn load(path: impl AsRef<Path>) -> Result<Self, Error> {
        let path = path.as_ref();
        let text =
            std::fs::read_to_string(path).map_err(|error| Error::File(path.to_owned(), error))?;
        let file = path.display().to_string();
        let settings: Self = serde_saphyr::from_str(&text).map_err(|error| {
            let line = error.location().map_or(1, |location| location.line());
            Error::Syntax(file.clone(), line, first_line(&error))
        })?;
        match settings.faults().into_iter().next() {
            Some(fault) => Err(Error::Field(file, line_of(&text, &fault.field), fault)),
            None => Ok(settings),
        }
    }

    fn faults(&self) -> Vec<FieldError> {
        let mut faults = Vec::new();
        faults.extend(name_error("host", &self.host));
        faults.extend(name_error("zone", &self.zone));
        self.check_ports(&mut faults);
        if self.platform.is_empty() {
            let remedy = "list the addresses of the platform's object API";
            faults.push(FieldError::new("platform", "no address is given", remedy));
        }
        check_twice("platform", &self.platform, &mut faults);
        check_twice("seeds", &self.seeds, &mut faults);
        if self.keys.authorities.is_empty() {
            let remedy = "list the files of the authorities whose hosts are trusted";
            faults.push(FieldError::new(
                "keys.authorities",
                "no file is given",
                remedy,
            ));
        }
        faults
    }

    fn check_ports(&self, faults: &mut Vec<FieldError>) {
        if self.caller == self.operator {
            faults.push(FieldError::new(
                "operator",
                format!("{} is also the address for callers", self.operator),
                "give each a port of its own",
            ));
        }
        let ports = [
            ("caller", self.caller),
            ("peer", self.peer),
            ("operator", self.operator),
        ];
        for (field, address) in ports {
            if address.ip().is_unspecified() {
                faults.push(FieldError::new(
                    field,
                    format!("{address} cannot be connected to by others"),
                    "give the address of this host",
                ));
            }
        }
    }
}

/// Check a settings file and the files that it names
pub fn check(path: impl AsRef<Path>) -> Result<Settings, Error> {
    let path = path.as_ref();
    let settings = Settings::load(path)?;
    let text =
        std::fs::read_to_string(path).map_err(|error| Error::File(path.to_owned(), error))?;
    let fail = |fault: FieldError| {
        let line = line_of(&text, &fault.field);
        Error::Field(path.display().to_string(), line, fault)
    };
    let keys = &settings.keys;
    check_pem("keys.certificate", &keys.certificate, "CERTIFICATE").map_err(fail)?;
    check_pem("keys.private_key", &keys.private_key, "PRIVATE KEY").map_err(fail)?;
    for file in &keys.authorities {
        check_pem("keys.authorities", file, "CERTIFICATE").map_err(fail)?;
    }
    check_level(&settings.log.level).map_err(fail)?;
    Ok(settings)
}

/// The logger takes a lone word that is no level for the name of a module
fn check_level(level: &str) -> Result<(), FieldError> {
    let remedy = "give a level such as info, or module=level pairs";
    let mut words = level
        .split(',')
        .map(str::trim)
        .filter(|part| !part.contains('='));
    if let Some(word) = words.find(|word| word.parse::<log::LevelFilter>().is_err()) {
        let problem = format!("{word:?} is no level");
        return Err(FieldError::new("log.level", problem, remedy));
    }
    flexi_logger::LogSpecification::parse(level)
        .map(drop)
        .map_err(|error| FieldError::new("log.level", error.to_string(), remedy))
}

fn check_pem(field: &str, file: &Path, label: &str) -> Result<(), FieldError> {
    let remedy = "make it with pierctl keys and name its path";
    let text = std::fs::read_to_string(file).map_err(|error| {
        FieldError::new(field, format!("cannot read {file:?}: {error}"), remedy)
    })?;
    if !text.contains(&format!("{label}-----")) {
        let problem = format!("{file:?} holds no {}", label.to_lowercase());
        return Err(FieldError::new(field, problem, remedy));
    }
    Ok(())
}

fn check_twice(field: &str, addresses: &[SocketAddr], faults: &mut Vec<FieldError>) {
    let mut seen = BTreeSet::new();
    for address in addresses {
        if !seen.insert(address) {
            let problem = format!("{address} stands twice");
            faults.push(FieldError::new(field, problem, "list each address once"));
        }
    }
}

/// First line of a parser's error without its place
fn first_line(error: &impl Text) -> String {
    let text = error.to_string();
    let line = text.lines().next().unwrap_or_default();
    let place = line.strip_prefix("error: line ");
    let message = place.and_then(|rest| rest.split_once(": "));
    message.map_or(line, |(_, message)| message).to_owned()
}

/// Line of a field in the text, counted from 1; the first when it is not found
fn line_of(text: &str, field: &str) -> u64 {
    let mut line = 1;
    let mut rest = text.lines().zip(1..);
    for name in field.split('.') {
        let key = format!("{name}:");
        match rest.find(|(text, _)| text.trim_start().starts_with(&key)) {
            Some((_, number)) => line = number,
            None => break,
        }
    }
    line
}
