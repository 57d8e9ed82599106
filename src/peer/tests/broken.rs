//! Hosts that become unresponsive, stop or run another build during exchanges.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use smol::Timer;

use super::{
    KeyDirectory, call, echo, link, loopback_any_port, run_with_timeout, serve_echo, settings,
};
use crate::peer::{Error, IDLE_TIMEOUT, Link};
use crate::wire::{self, Frame};

/// Forwards packets between a client and a host until the connection is cut
struct PacketRelay {
    address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl PacketRelay {
    fn new(host_address: SocketAddr) -> Self {
        let bind = || smol::Async::<UdpSocket>::bind(loopback_any_port()).expect("a port is free");
        let (client_side, host_side) = (Arc::new(bind()), Arc::new(bind()));
        let address = client_side
            .get_ref()
            .local_addr()
            .expect("the socket is bound");
        let is_cut = Arc::new(AtomicBool::new(false));
        let client_address = Arc::new(std::sync::Mutex::new(None));
        let (sockets, state) = (
            (client_side.clone(), host_side.clone()),
            (is_cut.clone(), client_address.clone()),
        );
        let forward = async move {
            let mut buffer = [0; 2048];
            while let Ok((length, from)) = sockets.0.recv_from(&mut buffer).await {
                *state.1.lock().unwrap() = Some(from);
                if !state.0.load(Ordering::SeqCst) {
                    let result = sockets.1.send_to(&buffer[..length], host_address).await;
                    result.expect("loopback accepts packets");
                }
            }
        };
        let is_backward_cut = is_cut.clone();
        let backward = async move {
            let mut buffer = [0; 2048];
            while let Ok((length, _)) = host_side.recv_from(&mut buffer).await {
                let client = *client_address.lock().unwrap();
                if let Some(client) = client.filter(|_| !is_backward_cut.load(Ordering::SeqCst)) {
                    let result = client_side.send_to(&buffer[..length], client).await;
                    result.expect("loopback accepts packets");
                }
            }
        };
        smol::spawn(forward).detach();
        smol::spawn(backward).detach();
        Self { address, is_cut }
    }

    fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
    }
}

#[test]
fn an_unresponsive_host_fails_the_exchange_within_the_idle_timeout() {
    let directory = KeyDirectory::new(&["a", "b"]);
    run_with_timeout(async {
        let (_b, address) = serve_echo("b", &directory);
        let relay = PacketRelay::new(address);
        let a = link("a", &directory);
        let host = "b".into();
        let mut exchange = a.open(relay.address, &host, &Frame::Done).await.unwrap();
        assert_eq!(exchange.next().await.unwrap(), Some(Frame::Done));
        relay.cut();
        let start = Instant::now();
        let result = exchange.next().await;
        let elapsed = start.elapsed();
        assert!(
            matches!(result, Err(Error::ConnectionLost(..))),
            "{result:?}"
        );
        assert!(
            elapsed < IDLE_TIMEOUT + Duration::from_millis(500),
            "took {elapsed:?}"
        );
        let reopened = a.open(relay.address, &host, &Frame::Done).await;
        assert!(matches!(reopened, Err(Error::NotSent(..))), "{reopened:?}");
    });
}

#[test]
fn a_stopping_host_fails_the_exchange_at_once_and_is_reachable_after_a_restart() {
    let directory = KeyDirectory::new(&["a", "b"]);
    run_with_timeout(async {
        let (b, address) = serve_echo("b", &directory);
        let a = link("a", &directory);
        let host = "b".into();
        let mut exchange = a.open(address, &host, &Frame::Done).await.unwrap();
        assert_eq!(exchange.next().await.unwrap(), Some(Frame::Done));
        let start = Instant::now();
        let closing = smol::spawn(async move { b.close().await });
        assert!(matches!(
            exchange.next().await,
            Err(Error::ConnectionLost(..))
        ));
        assert!(start.elapsed() < IDLE_TIMEOUT / 2);
        closing.await;
        let mut settings = settings("b", directory.keys("b"));
        settings.peer_address = address;
        let restarted = loop {
            match Link::bind(&settings) {
                Ok(link) => break link,
                Err(_) => Timer::after(Duration::from_millis(20)).await,
            };
        };
        smol::spawn(restarted.serve(echo)).detach();
        assert_eq!(
            call(&a, address, "b", &Frame::Done).await.unwrap(),
            Frame::Done
        );
    });
}

#[test]
fn cancelling_an_exchange_closes_it_on_the_other_side() {
    let directory = KeyDirectory::new(&["a", "b"]);
    run_with_timeout(async {
        let (sender, closed) = smol::channel::bounded(1);
        let b = link("b", &directory);
        let address = b.address().unwrap();
        let handler = move |exchange: crate::peer::Exchange, _, _| {
            let sender = sender.clone();
            async move {
                exchange.closed().await;
                sender.send(()).await.unwrap();
            }
        };
        smol::spawn(b.clone().serve(handler)).detach();
        let a = link("a", &directory);
        let mut exchange = a.open(address, &"b".into(), &Frame::Done).await.unwrap();
        Timer::after(Duration::from_millis(50)).await;
        assert!(closed.is_empty());
        exchange.cancel();
        closed.recv().await.unwrap();
    });
}

#[test]
fn an_unsupported_frame_does_not_affect_other_exchanges() {
    let directory = KeyDirectory::new(&["a", "b"]);
    run_with_timeout(async {
        let (_b, address) = serve_echo("b", &directory);
        let a = link("a", &directory);
        let host = "b".into();
        let mut other = a.open(address, &host, &Frame::Done).await.unwrap();
        struct Case {
            description: &'static str,
            bytes: Vec<u8>,
        }
        let mut newer_version = wire::encode(&Frame::Fetch(3)).unwrap();
        newer_version[4] = wire::VERSION + 1;
        let mut newer_kind = wire::encode(&Frame::Done).unwrap();
        newer_kind[5] = 120;
        let cases = [
            Case {
                description: "newer version byte",
                bytes: newer_version,
            },
            Case {
                description: "unknown kind of frame",
                bytes: newer_kind,
            },
        ];
        for case in cases {
            let mut exchange = a.open_stream(address, &host).await.unwrap();
            exchange.send_bytes(&case.bytes).await.unwrap();
            let response = exchange.next().await.unwrap();
            assert_eq!(response, Some(Frame::Unsupported), "{}", case.description);
        }
        assert_eq!(other.next().await.unwrap(), Some(Frame::Done));
        other.send(&Frame::End).await.unwrap();
        assert_eq!(other.next().await.unwrap(), Some(Frame::End));
        assert_eq!(
            call(&a, address, "b", &Frame::Done).await.unwrap(),
            Frame::Done
        );
        assert_eq!(a.traffic().connections, 1);
    });
}
