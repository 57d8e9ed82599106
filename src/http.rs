//! Plain HTTP/1.1 exchanges with bodies small enough to be held whole.
//!
//! Used towards the platform, on the operators' port and by the stand-ins. The paths that carry
//! callers' requests stream their bodies and live in `caller` and `upstream`.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use async_h1::{ServerOptions, client};
use displaydoc::Display;
use http_types::{Method, Request, Response, Url};
use smol::Timer;
use smol::future::FutureExt;
use smol::io::AsyncReadExt;
use smol::net::{TcpListener, TcpStream};

/// Largest body that [`call`] takes, in bytes
pub const MAX_BODY_BYTES: usize = 4 << 20;

/// Why an exchange failed
#[derive(Debug, Display)]
pub enum Error {
    /// cannot connect to {0}: {1}; check that it runs and the address is right
    Connect(SocketAddr, std::io::Error),
    /// no whole answer from {0} within {1:?}; try again later
    Timeout(SocketAddr, Duration),
    /// broken answer from {0}: {1}; try again
    InvalidResponse(SocketAddr, String),
}

impl std::error::Error for Error {}

/// A whole answer
#[derive(Debug)]
pub struct BufferedResponse {
    /// Status and headers; its body is empty
    pub head: Response,
    /// Whole body
    pub body: Vec<u8>,
}

impl BufferedResponse {
    /// HTTP status
    pub fn status(&self) -> u16 {
        self.head.status().into()
    }

    /// First value of a header
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name).map(|values| values.last().as_str())
    }
}

/// Request to `address` with path and query `target`
pub fn request(method: Method, address: SocketAddr, target: &str) -> Request {
    let mut url = Url::parse(&format!("http://{address}/")).expect("a socket address makes a URL");
    let (path, query) = match target.split_once('?') {
        Some((path, query)) => (path, Some(query)),
        None => (target, None),
    };
    url.set_path(path);
    url.set_query(query);
    Request::new(method, url)
}

/// Send a request on a new connection and read the whole answer
pub async fn call(
    address: SocketAddr,
    mut request: Request,
    limit: Duration,
) -> Result<BufferedResponse, Error> {
    request.insert_header("connection", "close");
    let exchange = async {
        let stream = connect(address).await?;
        let broken = |error: String| Error::InvalidResponse(address, error);
        let answer = client::connect(stream, request).await;
        let mut head = answer.map_err(|error| broken(error.to_string()))?;
        let length = head.len();
        let mut body = Vec::new();
        let mut reader = head.take_body().take(MAX_BODY_BYTES as u64 + 1);
        reader
            .read_to_end(&mut body)
            .await
            .map_err(|error| broken(error.to_string()))?;
        if body.len() > MAX_BODY_BYTES {
            return Err(broken(format!("body over {MAX_BODY_BYTES} bytes")));
        }
        if length.is_some_and(|length| length != body.len()) {
            return Err(broken(format!("body ends after {} bytes", body.len())));
        }
        Ok(BufferedResponse { head, body })
    };
    let late = async {
        Timer::after(limit).await;
        Err(Error::Timeout(address, limit))
    };
    exchange.or(late).await
}

/// Open a connection that sends small writes at once
pub async fn connect(address: SocketAddr) -> Result<TcpStream, Error> {
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(|error| Error::Connect(address, error))?;
    stream
        .set_nodelay(true)
        .map_err(|error| Error::Connect(address, error))?;
    Ok(stream)
}

/// Answers every request on a listener; ends when the listener fails
pub async fn serve<H, F>(listener: TcpListener, handler: H) -> std::io::Result<()>
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = http_types::Result<Response>> + Send + 'static,
{
    loop {
        let (stream, _) = listener.accept().await?;
        let handler = handler.clone();
        let connection = async move {
            if stream.set_nodelay(true).is_err() {
                return;
            }
            let options = ServerOptions::default();
            let served = async_h1::accept_with_opts(stream, handler, options).await;
            if let Err(error) = served {
                log::debug!("connection ended: {error}");
            }
        };
        smol::spawn(connection).detach();
    }
}
