//! Tests with real sockets on the loopback interface.

use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use smol::Timer;
use smol::future::FutureExt;

use crate::ctl;
use crate::id::HostId;
use crate::peer::{ANY_HOST, Error, Exchange, Link};
use crate::settings::{Keys, Settings};
use crate::wire::Frame;

mod broken;
mod keys;
mod load;

/// Timeout of one test
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Temporary directory of key files, removed when dropped
pub(crate) struct KeyDirectory(PathBuf);

impl KeyDirectory {
    pub(crate) fn new(hosts: &[&str]) -> Self {
        let path = std::env::temp_dir().join(format!("peer-test-{:016x}", fastrand::u64(..)));
        let directory = Self(path);
        directory.create_keys(hosts);
        directory
    }

    fn create_keys(&self, hosts: &[&str]) {
        let hosts: Vec<HostId> = hosts.iter().map(|host| (*host).into()).collect();
        ctl::keys::generate(&self.0, &hosts).expect("creating keys succeeds");
    }

    pub(crate) fn keys(&self, host: &str) -> Keys {
        Keys {
            certificate: self.0.join(format!("{host}.pem")),
            private_key: self.0.join(format!("{host}.key")),
            authorities: vec![self.0.join("ca.pem")],
        }
    }
}

impl Drop for KeyDirectory {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).expect("the directory exists");
    }
}

fn loopback_any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub(crate) fn settings(host: &str, keys: Keys) -> Settings {
    Settings {
        host: host.into(),
        zone: "bne-a".into(),
        caller_address: loopback_any_port(),
        peer_address: loopback_any_port(),
        operator_address: loopback_any_port(),
        platform_addresses: Vec::new(),
        seed_addresses: Vec::new(),
        keys,
        log: crate::settings::Log::default(),
    }
}

pub(crate) fn link(host: &str, directory: &KeyDirectory) -> Link {
    Link::bind(&settings(host, directory.keys(host)))
        .expect("the keys are valid and a port is free")
}

pub(crate) fn run_with_timeout<T>(test: impl Future<Output = T>) -> T {
    let timeout = async {
        Timer::after(TEST_TIMEOUT).await;
        panic!("test did not finish within {TEST_TIMEOUT:?}");
    };
    smol::block_on(test.or(timeout))
}

async fn echo(mut exchange: Exchange, first: Frame, _host: HostId) {
    let mut next_frame = Some(first);
    while let Some(frame) = next_frame {
        if exchange.send(&frame).await.is_err() {
            return;
        }
        next_frame = exchange.next().await.unwrap_or(None);
    }
}

fn serve_echo(host: &str, directory: &KeyDirectory) -> (Link, SocketAddr) {
    let link = link(host, directory);
    let address = link.address().expect("the socket is bound");
    smol::spawn(link.clone().serve(echo)).detach();
    (link, address)
}

async fn call(link: &Link, address: SocketAddr, host: &str, frame: &Frame) -> Result<Frame, Error> {
    let mut exchange = link.open(address, &host.into(), frame).await?;
    let response = exchange.next().await?;
    response.ok_or(Error::ConnectionLost(address, "no response".to_owned()))
}

#[test]
fn an_exchange_transfers_frames_in_both_directions() {
    let directory = KeyDirectory::new(&["a", "b"]);
    run_with_timeout(async {
        let (_b, address) = serve_echo("b", &directory);
        let a = link("a", &directory);
        let body = Frame::Body(vec![7; 1 << 20]);
        let mut exchange = a
            .open(address, &"b".into(), &Frame::Fetch(3))
            .await
            .unwrap();
        assert_eq!(exchange.next().await.unwrap(), Some(Frame::Fetch(3)));
        exchange.send(&body).await.unwrap();
        exchange.finish();
        assert_eq!(exchange.next().await.unwrap(), Some(body));
        assert_eq!(exchange.next().await.unwrap(), None);
    });
}

#[test]
fn unknown_authorities_and_wrong_host_names_are_rejected() {
    struct Case {
        description: &'static str,
        own_keys: &'static str,
        has_unknown_authority: bool,
        expected_host: &'static str,
        is_rejected: bool,
    }
    let cases = [
        Case {
            description: "host of the same authority",
            own_keys: "a",
            has_unknown_authority: false,
            expected_host: "b",
            is_rejected: false,
        },
        Case {
            description: "host of another authority",
            own_keys: "a",
            has_unknown_authority: true,
            expected_host: "b",
            is_rejected: true,
        },
        Case {
            description: "address of another host",
            own_keys: "a",
            has_unknown_authority: false,
            expected_host: "c",
            is_rejected: true,
        },
    ];
    let directory = KeyDirectory::new(&["a", "b", "c"]);
    let other = KeyDirectory::new(&["a", "b"]);
    run_with_timeout(async {
        let (_b, address) = serve_echo("b", &directory);
        for case in cases {
            let mut keys = directory.keys(case.own_keys);
            if case.has_unknown_authority {
                let other_keys = other.keys(case.own_keys);
                keys.certificate = other_keys.certificate;
                keys.private_key = other_keys.private_key;
            }
            let a = Link::bind(&settings("a", keys)).unwrap();
            let response = call(&a, address, case.expected_host, &Frame::Done).await;
            assert_eq!(
                response.is_err(),
                case.is_rejected,
                "{}: {response:?}",
                case.description
            );
        }
    });
}

#[test]
fn a_hello_frame_with_another_host_name_is_rejected() {
    let directory = KeyDirectory::new(&["a", "b", "c"]);
    run_with_timeout(async {
        let (_b, address) = serve_echo("b", &directory);
        for name in ["c", ANY_HOST] {
            let mut a = link("a", &directory);
            let inner = std::sync::Arc::get_mut(&mut a.inner).expect("the link has no other owner");
            inner.host = name.into();
            let response = call(&a, address, "b", &Frame::Done).await;
            assert!(response.is_err(), "{name}: {response:?}");
        }
    });
}

#[test]
fn opening_to_an_unresponsive_address_fails_as_not_sent_in_time() {
    let directory = KeyDirectory::new(&["a", "b"]);
    let unresponsive = UdpSocket::bind(loopback_any_port()).unwrap();
    let address = unresponsive.local_addr().unwrap();
    run_with_timeout(async {
        let a = link("a", &directory);
        let start = Instant::now();
        let host = "b".into();
        let attempts = (0..20).map(|_| a.open(address, &host, &Frame::Done));
        for result in join_all(attempts).await {
            assert!(matches!(result, Err(Error::NotSent(..))), "{result:?}");
        }
        let elapsed = start.elapsed();
        assert!(elapsed < Duration::from_secs(3), "took {elapsed:?}");
    });
}

async fn join_all<T>(futures: impl Iterator<Item = impl Future<Output = T>>) -> Vec<T> {
    let executor = smol::LocalExecutor::new();
    let tasks: Vec<_> = futures.map(|future| executor.spawn(future)).collect();
    executor
        .run(async {
            let mut outputs = Vec::new();
            for task in tasks {
                outputs.push(task.await);
            }
            outputs
        })
        .await
}
