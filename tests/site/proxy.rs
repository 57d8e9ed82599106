//! A loopback proxy that delays, silences, cuts one way or resets the connections through it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use smol::Timer;
use smol::future::FutureExt;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};

/// How connections are treated
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mode {
    /// Bytes pass
    Pass,
    /// Bytes pass late
    Delay,
    /// Bytes towards the target pass, others vanish
    OneWay,
    /// No byte passes, no connection ends
    Silent,
    /// Connections are closed
    Reset,
}

const MODES: [Mode; 5] = [
    Mode::Pass,
    Mode::Delay,
    Mode::OneWay,
    Mode::Silent,
    Mode::Reset,
];

/// Added to each piece while bytes pass late
const LATE: Duration = Duration::from_millis(60);

/// A proxy before one target
pub struct Proxy {
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
    _task: smol::Task<()>,
}

impl Proxy {
    /// Listen on an address and pass on to the target
    pub async fn start(own: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(own).await.expect("the proxy listens");
        let address = listener.local_addr().expect("its address");
        let mode = Arc::new(AtomicU8::new(0));
        let shared = mode.clone();
        let accepting = async move {
            while let Ok((near, _)) = listener.accept().await {
                let mode = shared.clone();
                smol::spawn(async move { relay(near, target, mode).await }).detach();
            }
        };
        Self {
            address,
            mode,
            _task: smol::spawn(accepting),
        }
    }

    /// Treat connections so from now on, open ones too
    pub fn set(&self, mode: Mode) {
        self.mode.store(mode as u8, Ordering::SeqCst);
    }
}

fn current(mode: &AtomicU8) -> Mode {
    MODES[usize::from(mode.load(Ordering::SeqCst))]
}

async fn relay(near: TcpStream, target: SocketAddr, mode: Arc<AtomicU8>) {
    while matches!(current(&mode), Mode::Silent) {
        Timer::after(Duration::from_millis(20)).await;
    }
    if current(&mode) == Mode::Reset {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let up = pump(near.clone(), far.clone(), mode.clone(), false);
    let down = pump(far, near, mode.clone(), true);
    let reset = async {
        while current(&mode) != Mode::Reset {
            Timer::after(Duration::from_millis(10)).await;
        }
    };
    up.or(down).or(reset).await;
}

async fn pump(mut from: TcpStream, mut to: TcpStream, mode: Arc<AtomicU8>, back: bool) {
    if from.set_nodelay(true).is_err() || to.set_nodelay(true).is_err() {
        return;
    }
    let mut buffer = vec![0; 16 << 10];
    loop {
        let Ok(count @ 1..) = from.read(&mut buffer).await else {
            return;
        };
        if current(&mode) == Mode::Delay {
            Timer::after(LATE).await;
        }
        while current(&mode) == Mode::Silent || (back && current(&mode) == Mode::OneWay) {
            Timer::after(Duration::from_millis(20)).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
