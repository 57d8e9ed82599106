//! HTTP/1.1 client and server whose bodies are buffered completely.
//!
//! Used for calls to the platform, for the operator port and by the stand-ins. Requests of callers
//! have streamed response bodies; `caller` and `upstream` handle them.

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

/// Maximum length of a response body that [`call`] accepts
pub const MAX_BODY_BYTES: usize = 4 << 20;

/// Error of a call
#[derive(Debug, Display)]
pub enum Error {
    /// cannot connect to {0}: {1}; check that it runs and the address is right
    Connect(SocketAddr, std::io::Error),
    /// no complete response from {0} within {1:?}; try again later
    Timeout(SocketAddr, Duration),
    /// invalid response from {0}: {1}; try again
    InvalidResponse(SocketAddr, String),
}

impl std::error::Error for Error {}

/// Response that was read completely
#[derive(Debug)]
pub struct BufferedResponse {
    /// Status and headers; the body is removed
    pub head: Response,
    /// Complete body
    pub body: Vec<u8>,
}

impl BufferedResponse {
    /// Returns the HTTP status
    pub fn status(&self) -> u16 {
        self.head.status().into()
    }

    /// Returns the last value of a header
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name).map(|values| values.last().as_str())
    }
}

/// Builds a request to `address` with path and query `target`
pub fn request(method: Method, address: SocketAddr, target: &str) -> Request {
    let mut url =
        Url::parse(&format!("http://{address}/")).expect("socket address is a valid URL host");
    let (path, query) = match target.split_once('?') {
        Some((path, query)) => (path, Some(query)),
        None => (target, None),
    };
    url.set_path(path);
    url.set_query(query);
    Request::new(method, url)
}

/// Sends a request on a new connection and reads the complete response
pub async fn call(
    address: SocketAddr,
    mut request: Request,
    timeout: Duration,
) -> Result<BufferedResponse, Error> {
    request.insert_header("connection", "close");
    let exchange = async {
        let stream = connect(address).await?;
        let invalid = |message: String| Error::InvalidResponse(address, message);
        let response = client::connect(stream, request).await;
        let mut head = response.map_err(|error| invalid(error.to_string()))?;
        let length = head.len();
        let mut body = Vec::new();
        let mut reader = head.take_body().take(MAX_BODY_BYTES as u64 + 1);
        reader
            .read_to_end(&mut body)
            .await
            .map_err(|error| invalid(error.to_string()))?;
        if body.len() > MAX_BODY_BYTES {
            return Err(invalid(format!("body exceeds {MAX_BODY_BYTES} bytes")));
        }
        if length.is_some_and(|length| length != body.len()) {
            return Err(invalid(format!(
                "body is incomplete after {} bytes",
                body.len()
            )));
        }
        Ok(BufferedResponse { head, body })
    };
    let timeout_error = async {
        Timer::after(timeout).await;
        Err(Error::Timeout(address, timeout))
    };
    exchange.or(timeout_error).await
}

/// Opens a connection with `TCP_NODELAY`
pub async fn connect(address: SocketAddr) -> Result<TcpStream, Error> {
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(|error| Error::Connect(address, error))?;
    stream
        .set_nodelay(true)
        .map_err(|error| Error::Connect(address, error))?;
    Ok(stream)
}

/// Serves every request on a listener; returns when accepting fails
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
            let result = async_h1::accept_with_opts(stream, handler, options).await;
            if let Err(error) = result {
                log::debug!("cannot serve a connection: {error}");
            }
        };
        smol::spawn(connection).detach();
    }
}
