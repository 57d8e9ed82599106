//! Key files for TLS between entry hosts, loaded and checked before the host listens.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::client::verify_server_name;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::{ParsedCertificate, WebPkiClientVerifier};
use rustls::{ClientConfig, RootCertStore, ServerConfig};

use crate::id::HostId;
use crate::peer::{Error, transport};
use crate::settings::Keys;

/// ALPN protocol id that both sides require
const ALPN_PROTOCOL: &[u8] = b"tanagerpier";

/// QUIC configurations of both sides of a connection
#[derive(Clone, Debug)]
pub(super) struct Configs {
    pub(super) client: quinn::ClientConfig,
    pub(super) server: quinn::ServerConfig,
}

/// Loads the files of `keys` and checks that the certificate is valid for `host`
pub(super) fn load(host: &HostId, keys: &Keys) -> Result<Configs, Error> {
    let chain = load_certificates(&keys.certificate)?;
    let is_valid = chain.first().is_some_and(|leaf| is_valid_for(leaf, host));
    if !is_valid {
        let problem = format!(
            "certificate is not valid for host {host}; run `pierctl keys --directory DIR {host}`"
        );
        return Err(Error::Keys(keys.certificate.clone(), problem));
    }
    let key = load_private_key(&keys.private_key)?;
    let authorities = Arc::new(load_authorities(&keys.authorities)?);
    Ok(Configs {
        client: client_config(keys, chain.clone(), key.clone_key(), authorities.clone())?,
        server: server_config(keys, chain, key, authorities)?,
    })
}

/// Returns whether a certificate is valid for the name of a host
pub(super) fn is_valid_for(certificate: &CertificateDer<'_>, host: &HostId) -> bool {
    let Ok(name) = ServerName::try_from(host.as_str()) else {
        return false;
    };
    let Ok(parsed) = ParsedCertificate::try_from(certificate) else {
        return false;
    };
    verify_server_name(&parsed, &name).is_ok()
}

fn load_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, Error> {
    let certificates = CertificateDer::pem_file_iter(path).and_then(Iterator::collect);
    let chain: Vec<_> = certificates.map_err(|error| unusable_file(path, &error.to_string()))?;
    if chain.is_empty() {
        return Err(unusable_file(path, "the file contains no certificate"));
    }
    Ok(chain)
}

fn load_private_key(path: &Path) -> Result<PrivateKeyDer<'static>, Error> {
    PrivateKeyDer::from_pem_file(path).map_err(|error| unusable_file(path, &error.to_string()))
}

fn load_authorities(paths: &[PathBuf]) -> Result<RootCertStore, Error> {
    let mut store = RootCertStore::empty();
    for path in paths {
        for certificate in load_certificates(path)? {
            let result = store.add(certificate);
            result.map_err(|error| unusable_file(path, &error.to_string()))?;
        }
    }
    if store.is_empty() {
        let problem = "no authority is listed; add at least one file to `keys.authorities`";
        return Err(Error::Keys(PathBuf::new(), problem.to_owned()));
    }
    Ok(store)
}

fn client_config(
    keys: &Keys,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    authorities: Arc<RootCertStore>,
) -> Result<quinn::ClientConfig, Error> {
    let builder = ClientConfig::builder_with_provider(provider());
    let builder = builder.with_protocol_versions(&[&rustls::version::TLS13]);
    let builder = builder.map_err(|error| key_mismatch(keys, &error))?;
    let builder = builder.with_root_certificates(authorities);
    let config = builder.with_client_auth_cert(chain, key);
    let mut config = config.map_err(|error| key_mismatch(keys, &error))?;
    config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    let crypto = QuicClientConfig::try_from(config).map_err(|error| key_mismatch(keys, &error))?;
    let mut config = quinn::ClientConfig::new(Arc::new(crypto));
    config.transport_config(Arc::new(transport::config(transport::Side::Client)));
    Ok(config)
}

fn server_config(
    keys: &Keys,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    authorities: Arc<RootCertStore>,
) -> Result<quinn::ServerConfig, Error> {
    let verifier = WebPkiClientVerifier::builder_with_provider(authorities, provider()).build();
    let verifier = verifier.map_err(|error| key_mismatch(keys, &error))?;
    let builder = ServerConfig::builder_with_provider(provider());
    let builder = builder.with_protocol_versions(&[&rustls::version::TLS13]);
    let builder = builder.map_err(|error| key_mismatch(keys, &error))?;
    let builder = builder.with_client_cert_verifier(verifier);
    let config = builder.with_single_cert(chain, key);
    let mut config = config.map_err(|error| key_mismatch(keys, &error))?;
    config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    let crypto = QuicServerConfig::try_from(config).map_err(|error| key_mismatch(keys, &error))?;
    let mut config = quinn::ServerConfig::with_crypto(Arc::new(crypto));
    config.transport_config(Arc::new(transport::config(transport::Side::Server)));
    Ok(config)
}

fn provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn unusable_file(path: &Path, problem: &str) -> Error {
    let problem = format!("{problem}; use a PEM file created by `pierctl keys`");
    Error::Keys(path.to_owned(), problem)
}

fn key_mismatch(keys: &Keys, error: &dyn std::fmt::Display) -> Error {
    let problem =
        format!("{error}; check that certificate, private key and authorities belong together");
    Error::Keys(keys.certificate.clone(), problem)
}

/// Returns the error of a frame that was not sent to the host at `address`
pub(super) fn not_sent(address: SocketAddr, cause: impl std::fmt::Display) -> Error {
    Error::NotSent(address, cause.to_string())
}
