//! Closed-loop load: each connection sends its next request as soon as it has a response.
//!
//! It measures the maximum throughput of one process. Its latencies do not apply to load that
//! arrives independently of responses; use the open loop for that.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use clap::ArgMatches;
use hdrhistogram::Histogram;
use serde::Serialize;
use smol::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use smol::net::TcpStream;

use crate::error::Error;
use crate::http;

/// Maximum latency that the histogram distinguishes, in microseconds
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// Results of all connections
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Concurrent connections
    pub connections: usize,
    /// Responses with status 200 per second
    pub rate: f64,
    /// Responses with another status
    pub refused: u64,
    /// Connections that failed
    pub broken: u64,
    /// Median latency, in milliseconds
    pub p50_ms: f64,
    /// 99th percentile of the latency, in milliseconds
    pub p99_ms: f64,
}

#[derive(Debug)]
struct Counters {
    latencies: Histogram<u64>,
    refused: u64,
    broken: u64,
}

impl Counters {
    fn new() -> Self {
        let latencies =
            Histogram::new_with_max(MAX_LATENCY_MICROS, 3).expect("3 significant digits are valid");
        Self {
            latencies,
            refused: 0,
            broken: 0,
        }
    }
}

/// Requests a path over a number of connections; returns `None` without `--closed`
pub async fn run(matches: &ArgMatches) -> Result<Option<Report>, Error> {
    let Some(path) = matches.get_one::<String>("closed") else {
        return Ok(None);
    };
    let values = |name| matches.get_many::<SocketAddr>(name).unwrap_or_default();
    let addresses: Vec<SocketAddr> = values("entry").chain(values("direct")).copied().collect();
    if addresses.is_empty() || addresses.iter().any(|address| !address.ip().is_loopback()) {
        let message = "give --entry or --direct with a loopback address";
        return Err(Error::Usage(message.to_owned()));
    }
    let duration = *matches.get_one::<Duration>("time").expect("has a default");
    let connections = *matches
        .get_one::<u64>("connections")
        .expect("has a default") as usize;
    let end = Instant::now() + duration;
    let tasks = (0..connections).map(|index| {
        let address = addresses[index % addresses.len()];
        let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        smol::spawn(run_until(address, request, end))
    });
    let mut total = Counters::new();
    for task in tasks.collect::<Vec<_>>() {
        let counters = task.await;
        total.refused += counters.refused;
        total.broken += counters.broken;
        let added = total.latencies.add(counters.latencies);
        added.map_err(|error| Error::Unavailable(error.to_string()))?;
    }
    let quantile_millis = |quantile| total.latencies.value_at_quantile(quantile) as f64 / 1000.0;
    Ok(Some(Report {
        connections,
        rate: total.latencies.len() as f64 / duration.as_secs_f64(),
        refused: total.refused,
        broken: total.broken,
        p50_ms: quantile_millis(0.5),
        p99_ms: quantile_millis(0.99),
    }))
}

async fn run_until(address: SocketAddr, request: String, end: Instant) -> Counters {
    let mut counters = Counters::new();
    while Instant::now() < end {
        let result = send_on_connection(address, &request, end, &mut counters).await;
        counters.broken += u64::from(result.is_err());
    }
    counters
}

async fn send_on_connection(
    address: SocketAddr,
    request: &str,
    end: Instant,
    counters: &mut Counters,
) -> std::io::Result<()> {
    let stream = http::connect(address).await;
    let mut stream = BufReader::new(stream.map_err(std::io::Error::other)?);
    let mut body = Vec::new();
    while Instant::now() < end {
        let start = Instant::now();
        stream.get_mut().write_all(request.as_bytes()).await?;
        let (status, length, is_closing) = read_head(&mut stream).await?;
        body.resize(length, 0);
        stream.read_exact(&mut body).await?;
        match status {
            200 => counters
                .latencies
                .saturating_record(start.elapsed().as_micros() as u64),
            _ => counters.refused += 1,
        }
        if is_closing {
            return Ok(());
        }
    }
    Ok(())
}

async fn read_head(stream: &mut BufReader<TcpStream>) -> std::io::Result<(u16, usize, bool)> {
    let (mut status, mut length, mut is_closing) = (0, 0, false);
    let mut line = String::new();
    loop {
        line.clear();
        if stream.read_line(&mut line).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end().to_ascii_lowercase();
        if text.is_empty() {
            return Ok((status, length, is_closing));
        }
        if let Some(value) = text.strip_prefix("http/1.1 ") {
            status = value
                .get(..3)
                .and_then(|code| code.parse().ok())
                .unwrap_or(0);
        } else if let Some(value) = text.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap_or(0);
        }
        is_closing |= text == "connection: close";
    }
}
