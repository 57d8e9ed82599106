//! Benchmark of the latency that entry hosts add to a direct request to the upstream.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol::io::AsyncWriteExt;
use smol::net::TcpStream;

use crate::caller::fake::{self, Behavior, Upstream};
use crate::entry::tests::fleet::start_fleet;

/// Requests per path
const REQUESTS: usize = 2_000;

struct Sample {
    name: &'static str,
    port: SocketAddr,
    path: &'static str,
    latencies: Vec<Duration>,
}

impl Sample {
    fn new(name: &'static str, port: SocketAddr, path: &'static str) -> Self {
        let latencies = Vec::with_capacity(REQUESTS);
        Self {
            name,
            port,
            path,
            latencies,
        }
    }

    fn percentile(&self, fraction: f64) -> Duration {
        self.latencies[((REQUESTS - 1) as f64 * fraction) as usize]
    }
}

async fn send_request(stream: &mut TcpStream, path: &str) -> Duration {
    let start = Instant::now();
    stream.write_all(fake::get(path).as_bytes()).await.unwrap();
    fake::read_response(stream).await;
    start.elapsed()
}

/// Run with `cargo test --release --lib overhead -- --ignored --nocapture`
#[test]
#[ignore = "a measurement, to be run alone"]
fn overhead() {
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Echo).await;
        let revision = fake::revision(&[&upstream], 3);
        let members = start_fleet(&[("a", "z1"), ("c", "z2")], &revision).await;
        let mut samples = [
            Sample::new("direct", upstream.address, "/x"),
            Sample::new("through the slot owner", members[0].port, "/s/portal/x"),
            Sample::new("through another host", members[1].port, "/s/portal/x"),
        ];
        let mut streams = Vec::new();
        for sample in &samples {
            streams.push(fake::connect(sample.port).await);
        }
        for _ in 0..REQUESTS {
            for (sample, stream) in samples.iter_mut().zip(&mut streams) {
                sample
                    .latencies
                    .push(send_request(stream, sample.path).await);
            }
        }
        for sample in &mut samples {
            sample.latencies.sort();
            let (p50, p99) = (sample.percentile(0.5), sample.percentile(0.99));
            println!("{}: p50 {p50:?}, p99 {p99:?}", sample.name);
        }
    });
}
