//! `pierctl keys`: generates the keys with which entry hosts authenticate to each other.
//!
//! One certificate authority signs a certificate for each host.

use std::fs;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use clap::ArgMatches;
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};

use crate::error::Error;
use crate::id::HostId;
use crate::peer::ANY_HOST;
use crate::util;

/// File mode of private keys
const PRIVATE_KEY_MODE: u32 = 0o600;

/// File mode of certificates
const CERTIFICATE_MODE: u32 = 0o644;

/// Runs the subcommand
pub fn run(matches: &ArgMatches) -> Result<(), Error> {
    let directory = matches
        .get_one::<String>("directory")
        .expect("required argument is missing");
    let hosts = matches
        .get_many::<HostId>("hosts")
        .expect("required argument is missing");
    let hosts: Vec<HostId> = hosts.cloned().collect();
    generate(Path::new(directory), &hosts)
}

/// Writes `ca.pem` and `ca.key`, and `HOST.pem` and `HOST.key` for each host
///
/// If `directory` already contains a certificate authority, it is reused.
pub fn generate(directory: &Path, hosts: &[HostId]) -> Result<(), Error> {
    fs::create_dir_all(directory).map_err(|error| write_error(directory, &error))?;
    let issuer = load_or_create_authority(directory)?;
    for host in hosts {
        let key = generate_key_pair()?;
        let mut params =
            CertificateParams::new([host, ANY_HOST].map(str::to_owned)).map_err(key_error)?;
        params.distinguished_name.push(DnType::CommonName, &**host);
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let certificate = params.signed_by(&key, &issuer).map_err(key_error)?;
        write(
            directory,
            &format!("{host}.pem"),
            &certificate.pem(),
            CERTIFICATE_MODE,
        )?;
        write(
            directory,
            &format!("{host}.key"),
            &key.serialize_pem(),
            PRIVATE_KEY_MODE,
        )?;
    }
    Ok(())
}

fn load_or_create_authority(directory: &Path) -> Result<Issuer<'static, KeyPair>, Error> {
    let key_path = directory.join("ca.key");
    if key_path.exists() {
        let key = KeyPair::from_pem(&read(&key_path)?).map_err(key_error)?;
        return Ok(Issuer::new(authority_params(&key), key));
    }
    let key = generate_key_pair()?;
    let params = authority_params(&key);
    let certificate = params.self_signed(&key).map_err(key_error)?;
    write(directory, "ca.pem", &certificate.pem(), CERTIFICATE_MODE)?;
    write(directory, "ca.key", &key.serialize_pem(), PRIVATE_KEY_MODE)?;
    Ok(Issuer::new(params, key))
}

/// Returns the parameters of the authority's certificate
///
/// The name is derived from the key, so that the same issuer can be restored from `ca.key` alone.
fn authority_params(key: &KeyPair) -> CertificateParams {
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    let key_hash = util::stable_hash(&key.public_key_raw());
    let name = format!("tanagerpier authority {key_hash:016x}");
    params.distinguished_name.push(DnType::CommonName, name);
    params
}

fn generate_key_pair() -> Result<KeyPair, Error> {
    KeyPair::generate().map_err(key_error)
}

fn read(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|error| {
        Error::Usage(format!(
            "cannot read {path:?}: {error}; restore the file or choose an empty directory"
        ))
    })
}

fn write(directory: &Path, name: &str, text: &str, mode: u32) -> Result<(), Error> {
    let path = directory.join(name);
    let mut options = fs::OpenOptions::new();
    options.write(true).create(true).truncate(true).mode(mode);
    let file = options.open(&path);
    let result = file.and_then(|mut file| file.write_all(text.as_bytes()));
    result.map_err(|error| write_error(&path, &error))
}

fn write_error(path: &Path, error: &std::io::Error) -> Error {
    Error::Usage(format!(
        "cannot write {path:?}: {error}; choose a writable directory"
    ))
}

fn key_error(error: rcgen::Error) -> Error {
    Error::Usage(format!(
        "cannot generate keys: {error}; host names may contain only letters, digits, '-' and '.'"
    ))
}
