//! Tests over real sockets on loopback.

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

/// Longest time for one test
const LIMIT: Duration = Duration::from_secs(20);

/// Directory of keys that ends with the test
pub(crate) struct Directory(PathBuf);

impl Directory {
    pub(crate) fn new(hosts: &[&str]) -> Self {
        let path = std::env::temp_dir().join(format!("peer-test-{:016x}", fastrand::u64(..)));
        let directory = Self(path);
        directory.make(hosts);
        directory
    }

    fn make(&self, hosts: &[&str]) {
        let hosts: Vec<HostId> = hosts.iter().map(|host| (*host).into()).collect();
        ctl::keys::generate(&self.0, &hosts).expect("keys can be made");
    }

    pub(crate) fn keys(&self, host: &str) -> Keys {
        Keys {
            certificate: self.0.join(format!("{host}.pem")),
            private_key: self.0.join(format!("{host}.key")),
            authorities: vec![self.0.join("ca.pem")],
        }
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).expect("the directory was made by this test");
    }
}

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub(crate) fn settings(host: &str, keys: Keys) -> Settings {
    Settings {
        host: host.into(),
        zone: "bne-a".into(),
        caller: any(),
        peer: any(),
        operator: any(),
        platform: Vec::new(),
        seeds: Vec::new(),
        keys,
        log: crate::settings::Log::default(),
    }
}

pub(crate) fn link(host: &str, directory: &Directory) -> Link {
    Link::bind(&settings(host, directory.keys(host))).expect("keys fit")
}

pub(crate) fn run<T>(test: impl Future<Output = T>) -> T {
    let late = async {
        Timer::after(LIMIT).await;
        panic!("test did not end within {LIMIT:?}");
    };
    smol::block_on(test.or(late))
}

async fn echo(mut exchange: Exchange, first: Frame, _host: HostId) {
    let mut frame = Some(first);
    while let Some(next) = frame {
        if exchange.send(&next).await.is_err() {
            return;
        }
        frame = exchange.next().await.unwrap_or(None);
    }
}

fn serving(host: &str, directory: &Directory) -> (Link, SocketAddr) {
    let link = link(host, directory);
    let address = link.address().expect("it is bound");
    smol::spawn(link.clone().serve(echo)).detach();
    (link, address)
}

async fn ask(link: &Link, to: SocketAddr, host: &str, frame: &Frame) -> Result<Frame, Error> {
    let mut exchange = link.open(to, &host.into(), frame).await?;
    let next = exchange.next().await?;
    next.ok_or(Error::Broken(to, "no answer".to_owned()))
}

#[test]
fn an_exchange_carries_frames_both_ways() {
    let directory = Directory::new(&["a", "b"]);
    run(async {
        let (_b, to) = serving("b", &directory);
        let a = link("a", &directory);
        let body = Frame::Body(vec![7; 1 << 20]);
        let mut exchange = a.open(to, &"b".into(), &Frame::Fetch(3)).await.unwrap();
        assert_eq!(exchange.next().await.unwrap(), Some(Frame::Fetch(3)));
        exchange.send(&body).await.unwrap();
        exchange.finish();
        assert_eq!(exchange.next().await.unwrap(), Some(body));
        assert_eq!(exchange.next().await.unwrap(), None);
    });
}

#[test]
fn strangers_and_wrong_names_are_refused() {
    struct Case {
        what: &'static str,
        own_keys: &'static str,
        stranger: bool,
        asked: &'static str,
        refused: bool,
    }
    let cases = [
        Case {
            what: "known host",
            own_keys: "a",
            stranger: false,
            asked: "b",
            refused: false,
        },
        Case {
            what: "other authority",
            own_keys: "a",
            stranger: true,
            asked: "b",
            refused: true,
        },
        Case {
            what: "another host answers at the address",
            own_keys: "a",
            stranger: false,
            asked: "c",
            refused: true,
        },
    ];
    let directory = Directory::new(&["a", "b", "c"]);
    let other = Directory::new(&["a", "b"]);
    run(async {
        let (_b, to) = serving("b", &directory);
        for case in cases {
            let mut keys = directory.keys(case.own_keys);
            if case.stranger {
                let strange = other.keys(case.own_keys);
                keys.certificate = strange.certificate;
                keys.private_key = strange.private_key;
            }
            let a = Link::bind(&settings("a", keys)).unwrap();
            let answer = ask(&a, to, case.asked, &Frame::Done).await;
            assert_eq!(answer.is_err(), case.refused, "{}: {answer:?}", case.what);
        }
    });
}

#[test]
fn a_host_cannot_greet_under_another_name() {
    let directory = Directory::new(&["a", "b", "c"]);
    run(async {
        let (_b, to) = serving("b", &directory);
        for name in ["c", ANY_HOST] {
            let mut a = link("a", &directory);
            let inner = std::sync::Arc::get_mut(&mut a.inner).expect("nobody else has it");
            inner.host = name.into();
            let answer = ask(&a, to, "b", &Frame::Done).await;
            assert!(answer.is_err(), "{name}: {answer:?}");
        }
    });
}

#[test]
fn nothing_listening_is_not_sent_within_the_deadline() {
    let directory = Directory::new(&["a", "b"]);
    let silent = UdpSocket::bind(any()).unwrap();
    let to = silent.local_addr().unwrap();
    run(async {
        let a = link("a", &directory);
        let start = Instant::now();
        let host = "b".into();
        let opens = (0..20).map(|_| a.open(to, &host, &Frame::Done));
        for opened in futures(opens).await {
            assert!(matches!(opened, Err(Error::NotSent(..))), "{opened:?}");
        }
        let took = start.elapsed();
        assert!(took < Duration::from_secs(3), "took {took:?}");
    });
}

async fn futures<T>(all: impl Iterator<Item = impl Future<Output = T>>) -> Vec<T> {
    let executor = smol::LocalExecutor::new();
    let tasks: Vec<_> = all.map(|one| executor.spawn(one)).collect();
    executor
        .run(async {
            let mut done = Vec::new();
            for task in tasks {
                done.push(task.await);
            }
            done
        })
        .await
}
