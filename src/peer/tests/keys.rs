//! Unusable key files, and replacement of keys without a restart.

use super::{KeyDirectory, call, link, loopback_any_port, run_with_timeout, serve_echo, settings};
use crate::peer::{Error, Link};
use crate::settings::Keys;
use crate::wire::Frame;

/// Returns the keys of a host, extended by the authorities of other directories
fn keys_trusting(own: &KeyDirectory, host: &str, others: &[&KeyDirectory]) -> Keys {
    let mut keys = own.keys(host);
    for other in others {
        keys.authorities.extend(other.keys(host).authorities);
    }
    keys
}

#[test]
fn errors_name_the_unusable_file_and_a_remedy() {
    struct Case {
        description: &'static str,
        change: fn(&mut Keys, &KeyDirectory, &KeyDirectory),
        file: &'static str,
        remedy: &'static str,
    }
    let cases = [
        Case {
            description: "missing certificate file",
            change: |keys, _, _| keys.certificate = keys.certificate.with_extension("none"),
            file: "a.none",
            remedy: "pierctl keys",
        },
        Case {
            description: "certificate of another host",
            change: |keys, directory, _| keys.certificate = directory.keys("b").certificate,
            file: "b.pem",
            remedy: "pierctl keys --directory DIR a",
        },
        Case {
            description: "private key of another host",
            change: |keys, directory, _| keys.private_key = directory.keys("b").private_key,
            file: "a.pem",
            remedy: "belong together",
        },
        Case {
            description: "certificate instead of the private key",
            change: |keys, _, _| keys.private_key = keys.certificate.clone(),
            file: "a.pem",
            remedy: "pierctl keys",
        },
        Case {
            description: "private key instead of the certificate",
            change: |keys, _, _| keys.certificate = keys.private_key.clone(),
            file: "a.key",
            remedy: "pierctl keys",
        },
        Case {
            description: "no authority",
            change: |keys, _, _| keys.authorities.clear(),
            file: "",
            remedy: "keys.authorities",
        },
        Case {
            description: "missing authority file",
            change: |keys, _, other| {
                let mut missing = other.keys("a").authorities;
                missing[0].set_extension("none");
                keys.authorities.extend(missing);
            },
            file: "ca.none",
            remedy: "pierctl keys",
        },
    ];
    let (directory, other) = (KeyDirectory::new(&["a", "b"]), KeyDirectory::new(&["a"]));
    for case in cases {
        let mut keys = directory.keys("a");
        (case.change)(&mut keys, &directory, &other);
        let error = Link::check(&settings("a", keys)).expect_err(case.description);
        assert!(
            matches!(error, Error::Keys(..)),
            "{}: {error}",
            case.description
        );
        let message = error.to_string();
        let has_both = message.contains(case.file) && message.contains(case.remedy);
        assert!(has_both, "{}: {message}", case.description);
    }
}

#[test]
fn the_error_names_an_address_in_use() {
    let directory = KeyDirectory::new(&["a", "b"]);
    run_with_timeout(async {
        let first = link("a", &directory);
        let mut second = settings("b", directory.keys("b"));
        second.peer_address = first.address().unwrap();
        let error = Link::bind(&second).expect_err("the address is in use");
        assert!(matches!(error, Error::Bind(..)), "{error}");
        assert!(error.to_string().contains(&second.peer_address.to_string()));
    });
}

#[test]
fn keys_created_later_share_the_authority() {
    let directory = KeyDirectory::new(&["a"]);
    directory.create_keys(&["b"]);
    run_with_timeout(async {
        let (_b, address) = serve_echo("b", &directory);
        let a = link("a", &directory);
        assert_eq!(
            call(&a, address, "b", &Frame::Done).await.unwrap(),
            Frame::Done
        );
    });
}

#[test]
fn keys_are_replaced_without_a_restart() {
    let hosts = ["a", "b"];
    let (old, new) = (KeyDirectory::new(&hosts), KeyDirectory::new(&hosts));
    run_with_timeout(async {
        let (b, address) = serve_echo("b", &old);
        let a = link("a", &old);
        let mut open = a.open(address, &"b".into(), &Frame::Done).await.unwrap();
        assert_eq!(open.next().await.unwrap(), Some(Frame::Done));

        // Both hosts trust both authorities, then use the new keys, then drop the old authority.
        for (link, host) in [(&a, "a"), (&b, "b")] {
            link.reload(&keys_trusting(&old, host, &[&new])).unwrap();
        }
        b.reload(&keys_trusting(&new, "b", &[&old])).unwrap();
        let transitional = Link::bind(&settings("a", keys_trusting(&old, "a", &[&new]))).unwrap();
        assert_eq!(
            call(&transitional, address, "b", &Frame::End)
                .await
                .unwrap(),
            Frame::End
        );
        a.reload(&new.keys("a")).unwrap();
        b.reload(&new.keys("b")).unwrap();

        open.send(&Frame::Fetch(1)).await.unwrap();
        assert_eq!(open.next().await.unwrap(), Some(Frame::Fetch(1)));
        let fresh = Link::bind(&settings("a", new.keys("a"))).unwrap();
        assert_eq!(
            call(&fresh, address, "b", &Frame::End).await.unwrap(),
            Frame::End
        );
        let stale = Link::bind(&settings("a", keys_trusting(&old, "a", &[&new]))).unwrap();
        assert!(call(&stale, address, "b", &Frame::End).await.is_err());
    });
}

#[test]
fn a_failed_reload_keeps_the_previous_keys() {
    let directory = KeyDirectory::new(&["a", "b"]);
    run_with_timeout(async {
        let (b, address) = serve_echo("b", &directory);
        assert!(b.reload(&directory.keys("a")).is_err());
        let a = link("a", &directory);
        assert_eq!(
            call(&a, address, "b", &Frame::Done).await.unwrap(),
            Frame::Done
        );
    });
}

#[test]
fn a_connection_without_a_client_certificate_is_rejected() {
    let directory = KeyDirectory::new(&["b"]);
    run_with_timeout(async {
        let (_b, address) = serve_echo("b", &directory);
        let mut roots = rustls::RootCertStore::empty();
        for file in directory.keys("b").authorities {
            use rustls::pki_types::pem::PemObject;
            let certificate = rustls::pki_types::CertificateDer::from_pem_file(file);
            roots.add(certificate.unwrap()).unwrap();
        }
        let config = rustls::ClientConfig::builder_with_provider(
            rustls::crypto::ring::default_provider().into(),
        );
        let config = config.with_protocol_versions(&[&rustls::version::TLS13]);
        let config = config.unwrap().with_root_certificates(roots);
        let mut config = config.with_no_client_auth();
        config.alpn_protocols = vec![b"tanagerpier".to_vec()];
        let crypto = quinn::crypto::rustls::QuicClientConfig::try_from(config).unwrap();
        let config = quinn::ClientConfig::new(std::sync::Arc::new(crypto));
        let endpoint = quinn::Endpoint::client(loopback_any_port()).unwrap();
        let connecting = endpoint.connect_with(config, address, "b").unwrap();
        let rejection = match connecting.await {
            Ok(connection) => connection.closed().await,
            Err(error) => error,
        };
        assert!(rejection.to_string().contains("certificate"), "{rejection}");
    });
}
