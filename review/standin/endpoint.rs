//! Stand-in for an endpoint: one thread per connection, and a program that says how each request is
//! answered.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, Reader};

/// Part of an answer
pub enum Step {
    Pause(Duration),
    Bytes(Vec<u8>),
    /// The connection closes
    Close,
}

/// A request that reached the endpoint
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    /// Whether it came on a connection that had served another request
    pub is_reused: bool,
    /// End of the run, `None` while it lasts or if it was cut
    pub ended_at: Option<Instant>,
}

type Program = dyn Fn(&Message, usize) -> Vec<Step> + Send + Sync;

#[derive(Clone)]
pub struct Endpoint {
    pub id: String,
    pub address: SocketAddr,
    zone: &'static str,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    has_ended: Arc<AtomicBool>,
    program: Arc<Program>,
}

/// Returns a complete, signed answer
pub fn answer(request: &Message, status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let id = request.header("attempt-id").unwrap_or("-");
    let mut bytes = format!(
        "HTTP/1.1 {status} -\r\nAttempt-Id: {id}\r\nServer-Signature: stand-in.{id}\r\n{headers}\
         Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

impl Endpoint {
    /// Starts an endpoint; `program` gets each request and the number of those before it
    pub fn start(
        id: &str,
        address: SocketAddr,
        zone: &'static str,
        program: impl Fn(&Message, usize) -> Vec<Step> + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let endpoint = Self {
            id: id.to_owned(),
            address,
            zone,
            arrivals: Arc::default(),
            streams: Arc::default(),
            has_ended: Arc::default(),
            program: Arc::new(program),
        };
        let served = endpoint.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    served.streams.lock().unwrap().push(copy);
                }
                let endpoint = served.clone();
                std::thread::spawn(move || endpoint.serve(stream));
            }
        });
        Ok(endpoint)
    }

    /// Ends the endpoint as an exiting process does: all connections close, and nothing listens
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            stream.shutdown(Shutdown::Both).ok();
        }
        // Makes the listener notice.
        TcpStream::connect(self.address).ok();
    }

    /// Returns all requests but health checks
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    /// Returns the entry in the store
    pub fn entry(&self, state: &str, sequence: u64, slots: u32) -> String {
        format!(
            "{{\"service\":\"portal\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"max_concurrency\":{slots},\"state\":\"{state}\",\"warmup_left_ms\":0,\
             \"born\":1760000000000,\"sequence\":{sequence}}}",
            self.address, self.zone
        )
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = Reader::new(stream);
        let mut is_reused = false;
        while let Ok(Some(request)) = reader.read() {
            let (_, target) = request.request_line();
            if target == "/health" {
                let head = format!("HTTP/1.1 200 -\r\nInstance-Id: {}\r\n", self.id);
                let text = format!("{head}Content-Length: 0\r\nConnection: close\r\n\r\n");
                reader.stream.write_all(text.as_bytes()).ok();
                break;
            }
            let id = request.header("attempt-id").unwrap_or("-").to_owned();
            let target_id = request.header("target-instance");
            if target_id.is_some_and(|target_id| target_id != self.id) {
                let text = "HTTP/1.1 421 -\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                reader.stream.write_all(text.as_bytes()).ok();
                continue;
            }
            let arrival = Arrival {
                at: Instant::now(),
                id,
                is_reused,
                ended_at: None,
            };
            is_reused = true;
            let number = {
                let mut arrivals = self.arrivals.lock().unwrap();
                arrivals.push(arrival);
                arrivals.len() - 1
            };
            let mut is_open = true;
            for step in (self.program)(&request, number) {
                let done = match step {
                    Step::Pause(time) => {
                        std::thread::sleep(time);
                        Ok(())
                    }
                    Step::Bytes(bytes) => reader.stream.write_all(&bytes),
                    Step::Close => {
                        reader.stream.shutdown(Shutdown::Both).ok();
                        is_open = false;
                        Ok(())
                    }
                };
                if done.is_err() {
                    return;
                }
            }
            self.arrivals.lock().unwrap()[number].ended_at = Some(Instant::now());
            if !is_open {
                return;
            }
        }
        reader.stream.shutdown(Shutdown::Both).ok();
    }
}
