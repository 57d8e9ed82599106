//! A loopback proxy that can delay, block, half-block or reset the connections through it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::time::Duration;

use smol::Timer;
use smol::future::FutureExt;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};

/// Treatment of connections through a proxy
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mode {
    /// Forwards bytes in both directions
    Pass,
    /// Forwards bytes with a delay
    Delay,
    /// Forwards bytes to the target and holds back the responses
    OneWay,
    /// Forwards nothing and keeps connections open
    Silent,
    /// Closes connections
    Reset,
    /// Closes open connections and answers requests on new ones with status 503
    Refuse,
    /// Drops responses; a connection that lost one stays open and returns nothing afterwards
    Lose,
    /// Sends a response head without end in place of each response, until the client closes
    EndlessHead,
    /// The same with chunks without end
    EndlessChunks,
    /// The same with a body that ends with the connection
    EndlessBody,
    /// The same with bytes that are no response
    EndlessGarbage,
}

const MODES: [Mode; 11] = [
    Mode::Pass,
    Mode::Delay,
    Mode::OneWay,
    Mode::Silent,
    Mode::Reset,
    Mode::Refuse,
    Mode::Lose,
    Mode::EndlessHead,
    Mode::EndlessChunks,
    Mode::EndlessBody,
    Mode::EndlessGarbage,
];

/// Number of repetitions that are written at once
const ENDLESS_REPETITIONS: usize = 512;

impl Mode {
    /// Returns the start of an endless response and what follows again and again
    fn endless(self) -> Option<(&'static str, &'static str)> {
        match self {
            Mode::EndlessHead => Some(("HTTP/1.1 200 OK\r\n", "A: b\r\n")),
            Mode::EndlessChunks => Some((
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                "4\r\n{[[{\r\n",
            )),
            Mode::EndlessBody => Some(("HTTP/1.1 200 OK\r\n\r\n", "{[[{")),
            Mode::EndlessGarbage => Some(("", "xxxxxxxx")),
            _ => None,
        }
    }
}

/// Delay of each chunk in [`Mode::Delay`]
const CHUNK_DELAY: Duration = Duration::from_millis(60);

/// A proxy in front of one target
pub struct Proxy {
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
    hides_target_loss: Arc<AtomicBool>,
    /// Number of times that all open connections were silenced
    silenced: Arc<AtomicU64>,
    _task: smol::Task<()>,
}

impl Proxy {
    /// Listens on an address and forwards connections to the target
    pub async fn start(listen_address: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(listen_address)
            .await
            .expect("the proxy listens");
        let address = listener.local_addr().expect("the listener has an address");
        let mode = Arc::new(AtomicU8::new(0));
        let shared_mode = mode.clone();
        let hides_target_loss = Arc::new(AtomicBool::new(false));
        let hides = hides_target_loss.clone();
        let silenced = Arc::new(AtomicU64::new(0));
        let shared_silenced = silenced.clone();
        let accept_loop = async move {
            while let Ok((client, _)) = listener.accept().await {
                let mode = shared_mode.clone();
                let hides = hides.clone();
                let silence = Silence::new(shared_silenced.clone());
                smol::spawn(async move { relay(client, target, mode, silence, &hides).await })
                    .detach();
            }
        };
        Self {
            address,
            mode,
            hides_target_loss,
            silenced,
            _task: smol::spawn(accept_loop),
        }
    }

    /// Sets the mode of open and future connections
    pub fn set_mode(&self, mode: Mode) {
        self.mode.store(mode as u8, Ordering::SeqCst);
    }

    /// Silences all open connections for good, without a reset; new ones work
    pub fn silence_open_connections(&self) {
        self.silenced.fetch_add(1, Ordering::SeqCst);
    }

    /// Keeps connections open whose target is gone, like a network to a machine without power
    pub fn hide_target_loss(&self) {
        self.hides_target_loss.store(true, Ordering::SeqCst);
    }
}

/// Tells whether a connection was silenced for good since it was opened
#[derive(Clone)]
struct Silence {
    silenced: Arc<AtomicU64>,
    at_open: u64,
}

impl Silence {
    fn new(silenced: Arc<AtomicU64>) -> Self {
        let at_open = silenced.load(Ordering::SeqCst);
        Self { silenced, at_open }
    }

    fn has_begun(&self) -> bool {
        self.silenced.load(Ordering::SeqCst) != self.at_open
    }
}

fn current_mode(mode: &AtomicU8) -> Mode {
    MODES[usize::from(mode.load(Ordering::SeqCst))]
}

async fn relay(
    client: TcpStream,
    target: SocketAddr,
    mode: Arc<AtomicU8>,
    silence: Silence,
    hides: &AtomicBool,
) {
    while matches!(current_mode(&mode), Mode::Silent) {
        Timer::after(Duration::from_millis(20)).await;
    }
    if current_mode(&mode) == Mode::Reset {
        return;
    }
    if current_mode(&mode) == Mode::Refuse {
        return refuse(client).await;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let upload = copy(
        client.clone(),
        server.clone(),
        mode.clone(),
        silence.clone(),
        false,
    );
    let download = async {
        copy(server, client, mode.clone(), silence, true).await;
        if hides.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
    };
    let reset = async {
        while !matches!(current_mode(&mode), Mode::Reset | Mode::Refuse) {
            Timer::after(Duration::from_millis(10)).await;
        }
    };
    upload.or(download).or(reset).await;
}

/// Answers each request with status 503; requests without a body arrive in one piece
async fn refuse(mut client: TcpStream) {
    let mut buffer = vec![0; 16 << 10];
    let response = b"HTTP/1.1 503 -\r\nContent-Length: 0\r\n\r\n";
    while let Ok(1..) = client.read(&mut buffer).await
        && client.write_all(response).await.is_ok()
    {}
}

async fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    mode: Arc<AtomicU8>,
    silence: Silence,
    is_response: bool,
) {
    if from.set_nodelay(true).is_err() || to.set_nodelay(true).is_err() {
        return;
    }
    let mut buffer = vec![0; 16 << 10];
    loop {
        let Ok(count @ 1..) = from.read(&mut buffer).await else {
            return;
        };
        if current_mode(&mode) == Mode::Delay {
            Timer::after(CHUNK_DELAY).await;
        }
        while current_mode(&mode) == Mode::Silent
            || (is_response && current_mode(&mode) == Mode::OneWay)
        {
            Timer::after(Duration::from_millis(20)).await;
        }
        let loses = is_response && current_mode(&mode) == Mode::Lose;
        if loses || silence.has_begun() {
            return std::future::pending().await;
        }
        if let Some((start, repeated)) = current_mode(&mode).endless()
            && is_response
        {
            return send_endlessly(to, start, repeated).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

/// Writes until the client closes the connection
async fn send_endlessly(mut to: TcpStream, start: &str, repeated: &str) {
    let block = repeated.repeat(ENDLESS_REPETITIONS);
    let mut written = to.write_all(start.as_bytes()).await;
    while written.is_ok() {
        written = to.write_all(block.as_bytes()).await;
        smol::future::yield_now().await;
    }
}
