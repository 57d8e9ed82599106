//! Connections from callers.
//!
//! Pipelined requests on one connection run concurrently and are answered in order. A request with
//! a long body runs alone, as its body is streamed. When a caller closes its connection, its
//! requests in flight are cancelled. A request whose task panics closes the connection after the
//! answers before its own.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use smol::Timer;
use smol::channel::{Receiver, Sender, bounded};
use smol::future::{FutureExt, poll_once};
use smol::lock::Mutex;
use smol::net::{TcpListener, TcpStream};
use smol::{Task, io::AsyncWriteExt};

use super::forward::forward;
use super::reply::{self, Refusal, Reply};
use super::upload::{PREFIX_BYTES, Upload};
use super::{Gateway, supervise};
use crate::budget::memory::{Hold, REQUEST_BYTES};
use crate::message::{Connection, Error, Length, Request, timeout};
use crate::platform::header;

/// Maximum length of a body that is buffered, so that it can be sent to a second endpoint
const MAX_BUFFERED_BODY_BYTES: u64 = 64 << 10;

/// Maximum number of requests in flight on one connection
const MAX_PIPELINED_REQUESTS: usize = 16;

/// Maximum number of bytes read ahead while a request runs alone
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;

/// How long an unread body is drained before a close, so that the caller receives the answer
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for reading a body if the caller states no deadline
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay after a failed accept, for example when no file descriptors are left
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections until `stop` is closed, then those that are already in the backlog
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener, stop: Receiver<()>) {
    loop {
        let accepted = async { Some(listener.accept().await) };
        let stopped = async {
            // Nothing is sent on the channel; it only closes.
            let _ = stop.recv().await;
            None
        };
        match accepted.or(stopped).await {
            Some(Ok((stream, _))) => handle(&gateway, stream),
            Some(Err(error)) => {
                log::warn!("cannot accept a connection from a caller: {error}");
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
            None => break,
        }
    }
    while let Some(Ok((stream, _))) = poll_once(listener.accept()).await {
        handle(&gateway, stream);
    }
}

fn handle(gateway: &Rc<Gateway>, stream: TcpStream) {
    let handler = gateway.clone();
    let guard = CountGuard::new(gateway, |gateway| &gateway.open_connections);
    let served = async move {
        let _guard = guard;
        let served = Box::pin(serve_connection(&handler, stream));
        supervise::contain(&handler, "connection", served).await;
    };
    gateway.spawn(served).detach();
}

async fn serve_connection(gateway: &Rc<Gateway>, stream: TcpStream) {
    match Connection::new(stream) {
        Ok(connection) => {
            CallerConnection::new(gateway.clone(), connection)
                .run()
                .await
        }
        Err(error) => log::debug!("cannot set up a connection from a caller: {error}"),
    }
}

/// State that all requests of a connection share
#[derive(Debug)]
struct Pipeline {
    writer: Mutex<TcpStream>,
    /// Number of requests read so far
    requests_read: Cell<u64>,
    /// Number of requests that are not answered yet
    unanswered: Cell<usize>,
    /// Whether the last answer before the close has begun
    closing: Cell<bool>,
}

/// Connection from one caller
struct CallerConnection {
    gateway: Rc<Gateway>,
    connection: Connection,
    pipeline: Rc<Pipeline>,
    tasks: Vec<Task<()>>,
    /// Gets a message when the latest request read is answered
    last_answered: Receiver<()>,
}

/// Position of a request in the order of answers
struct PipelineSlot {
    pipeline: Rc<Pipeline>,
    sequence: u64,
    /// Gets a message when the previous request is answered; closes without one if it never is
    previous: Receiver<()>,
    /// The same for this request
    answered: Sender<()>,
}

impl PipelineSlot {
    /// Waits for the previous request; returns whether it was answered
    async fn wait_for_turn(&self) -> bool {
        self.previous.recv().await.is_ok()
    }

    /// Lets the next request be answered
    fn finish(self) {
        // The channel has room for the only message.
        let _ = self.answered.try_send(());
    }
}

impl Drop for PipelineSlot {
    fn drop(&mut self) {
        let unanswered = &self.pipeline.unanswered;
        unanswered.set(unanswered.get().saturating_sub(1));
    }
}

/// Whether the connection can serve another request
#[derive(PartialEq, Eq)]
enum ConnectionState {
    Open,
    Closed,
}

impl CallerConnection {
    fn new(gateway: Rc<Gateway>, connection: Connection) -> Self {
        let pipeline = Pipeline {
            writer: Mutex::new(connection.writer()),
            requests_read: Cell::new(0),
            unanswered: Cell::new(0),
            closing: Cell::new(false),
        };
        let (first_answered, last_answered) = bounded(1);
        // The first request has no predecessor.
        let _ = first_answered.try_send(());
        Self {
            gateway,
            connection,
            pipeline: Rc::new(pipeline),
            tasks: Vec::new(),
            last_answered,
        }
    }

    async fn run(mut self) {
        loop {
            let idle_timeout = self.limits().idle_timeout;
            match timeout(
                Instant::now() + idle_timeout,
                self.connection.wait_for_request(),
            )
            .await
            {
                None if self.pipeline.unanswered.get() > 0 => continue,
                None | Some(Ok(false) | Err(_)) => return,
                Some(Ok(true)) => {}
            }
            if self.pipeline.closing.get() {
                return self.drain_input().await;
            }
            self.tasks.retain(|task| !task.is_finished());
            if self.tasks.len() >= MAX_PIPELINED_REQUESTS {
                Timer::after(ACCEPT_RETRY_DELAY / 5).await;
                continue;
            }
            if self.serve_next().await == ConnectionState::Closed {
                return;
            }
        }
    }

    fn limits(&self) -> crate::policy::Limits {
        let configuration = self.gateway.configuration();
        configuration
            .map(|configuration| configuration.limits)
            .unwrap_or_default()
    }

    async fn serve_next(&mut self) -> ConnectionState {
        let limits = self.limits();
        let head = self.connection.read_request(limits.max_head_bytes);
        let head = timeout(Instant::now() + limits.head_timeout, head).await;
        let arrived = Instant::now();
        let request = match head {
            Some(Ok(request)) => request,
            Some(Err(Error::TooLong(_))) => return self.reject(431, "head is too long").await,
            Some(Err(Error::Malformed(why))) => return self.reject(400, why).await,
            Some(Err(_)) => return ConnectionState::Closed,
            None => return self.reject(408, "head took too long").await,
        };
        if self.pipeline.closing.get() {
            // The caller sends it again, as an answer closed the connection before it was read.
            self.drain_input().await;
            return ConnectionState::Closed;
        }
        self.pipeline
            .requests_read
            .set(self.pipeline.requests_read.get() + 1);
        let expects_continue = request.headers.has_token("expect", "100-continue");
        if expects_continue && self.send_continue().await.is_err() {
            return ConnectionState::Closed;
        }
        match request.length {
            Length::Bytes(length) if length > limits.max_body_bytes => {
                self.reject(413, "body is too long").await
            }
            length => self.serve_body(request, length, arrived).await,
        }
    }

    /// Reads a short body, or the first part of a long one, and runs the request
    async fn serve_body(
        &mut self,
        request: Request,
        mut length: Length,
        arrived: Instant,
    ) -> ConnectionState {
        let mut memory = Hold::new(&self.gateway.memory, REQUEST_BYTES);
        let allows_buffers = self.gateway.memory.allows_buffers();
        let max_bytes = match length {
            Length::Bytes(length) if length <= MAX_BUFFERED_BODY_BYTES && allows_buffers => {
                memory.set(REQUEST_BYTES + length as usize);
                usize::MAX
            }
            _ => PREFIX_BYTES,
        };
        let body_timeout =
            header::request_timeout(&request.headers).unwrap_or(DEFAULT_BODY_TIMEOUT);
        let body = self.read_body_start(&mut length, max_bytes);
        match timeout(arrived + body_timeout, body).await {
            Some(Ok(body)) if length == Length::Bytes(0) => {
                self.run_buffered(request, body, arrived, memory).await
            }
            Some(Ok(prefix)) => self.run_streamed(request, &prefix, length, arrived).await,
            Some(Err(_)) | None => ConnectionState::Closed,
        }
    }

    /// Reads a body up to its end, or until at least `max_bytes` are read
    async fn read_body_start(
        &mut self,
        length: &mut Length,
        max_bytes: usize,
    ) -> Result<Vec<u8>, Error> {
        let mut body = Vec::new();
        while body.len() < max_bytes
            && let Some(part) = self.connection.read_body_part(length).await?
        {
            body.extend_from_slice(&part);
        }
        Ok(body)
    }

    fn next_slot(&mut self) -> PipelineSlot {
        let (answered, last_answered) = bounded(1);
        self.pipeline
            .unanswered
            .set(self.pipeline.unanswered.get() + 1);
        PipelineSlot {
            pipeline: self.pipeline.clone(),
            sequence: self.pipeline.requests_read.get(),
            previous: std::mem::replace(&mut self.last_answered, last_answered),
            answered,
        }
    }

    /// Runs a request with a short body concurrently with others
    async fn run_buffered(
        &mut self,
        request: Request,
        body: Vec<u8>,
        arrived: Instant,
        memory: Hold,
    ) -> ConnectionState {
        let slot = self.next_slot();
        let gateway = self.gateway.clone();
        let keep_alive = request.keep_alive;
        let spawner = gateway.clone();
        let guard = CountGuard::new(&gateway, |gateway| &gateway.running_requests);
        let task = spawner.spawn(async move {
            let _guard = (guard, memory);
            let mut upload = Upload::Buffered(&body);
            let reply = run_request(&gateway, &request, &mut upload, arrived).await;
            write_answer(&gateway, slot, &request, reply, !keep_alive).await;
        });
        self.tasks.push(task);
        if keep_alive {
            ConnectionState::Open
        } else {
            self.finish_pending().await
        }
    }

    /// Runs a request while its body is streamed
    async fn run_streamed(
        &mut self,
        request: Request,
        prefix: &[u8],
        mut length: Length,
        arrived: Instant,
    ) -> ConnectionState {
        let slot = self.next_slot();
        let gateway = self.gateway.clone();
        let _guard = CountGuard::new(&gateway, |gateway| &gateway.running_requests);
        let mut upload = Upload::Streamed {
            prefix,
            caller: &mut self.connection,
            remaining: &mut length,
            started: false,
        };
        let reply = run_request(&gateway, &request, &mut upload, arrived).await;
        let has_unread_body = length != Length::Bytes(0);
        let close = !request.keep_alive || has_unread_body || reply.is_none();
        let done = async {
            write_answer(&gateway, slot, &request, reply, close).await;
        };
        done.or(self.connection.wait_until_closed(MAX_READ_AHEAD_BYTES))
            .await;
        if close {
            self.drain_input().await;
            return ConnectionState::Closed;
        }
        ConnectionState::Open
    }

    /// Waits until all answers are written or the caller disconnects
    async fn finish_pending(&mut self) -> ConnectionState {
        let tasks = std::mem::take(&mut self.tasks);
        let done = async {
            for task in tasks {
                task.await;
            }
        };
        done.or(self.connection.wait_until_closed(MAX_READ_AHEAD_BYTES))
            .await;
        ConnectionState::Closed
    }

    /// Answers an invalid request and closes the connection
    async fn reject(&mut self, status: u16, reason: &'static str) -> ConnectionState {
        for task in std::mem::take(&mut self.tasks) {
            task.await;
        }
        let mut writer = self.pipeline.writer.lock().await;
        let refusal = Reply::Local(Refusal::new(status, reason));
        if let Err(error) = reply::write(&mut writer, refusal, None, true).await {
            log::debug!("cannot write a rejection to the caller: {error}");
        }
        drop(writer);
        self.drain_input().await;
        ConnectionState::Closed
    }

    /// Sends `100 Continue`, so that the caller sends the body
    async fn send_continue(&mut self) -> std::io::Result<()> {
        for task in std::mem::take(&mut self.tasks) {
            task.await;
        }
        let mut writer = self.pipeline.writer.lock().await;
        writer.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await
    }

    /// Reads what the caller still sends, as a reset could discard the answer before the caller
    /// reads it
    async fn drain_input(&mut self) {
        let writer = self.pipeline.writer.lock().await;
        if writer.shutdown(std::net::Shutdown::Write).is_err() {
            return;
        }
        drop(writer);
        let drained = async {
            let mut remaining = Length::UntilClose;
            while let Ok(Some(_)) = self.connection.read_body_part(&mut remaining).await {}
        };
        timeout(Instant::now() + LINGER_TIMEOUT, drained).await;
    }
}

/// Adds one to a count of the gateway while it exists
struct CountGuard {
    gateway: Rc<Gateway>,
    count: fn(&Gateway) -> &Cell<usize>,
}

impl CountGuard {
    fn new(gateway: &Rc<Gateway>, count: fn(&Gateway) -> &Cell<usize>) -> Self {
        let cell = count(gateway);
        cell.set(cell.get() + 1);
        Self {
            gateway: gateway.clone(),
            count,
        }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        let cell = (self.count)(&self.gateway);
        cell.set(cell.get() - 1);
    }
}

/// Runs a request; returns `None` if its task panicked, so that nobody knows whether it ran
async fn run_request(
    gateway: &Rc<Gateway>,
    request: &Request,
    upload: &mut Upload<'_>,
    arrived: Instant,
) -> Option<Reply> {
    let id = header::attempt_id(&request.headers).unwrap_or("-");
    let forwarded = Box::pin(forward(gateway, request, upload, arrived));
    supervise::contain_request(gateway, id, forwarded).await
}

/// Writes an answer once all earlier answers are written; without one, closes the connection
async fn write_answer(
    gateway: &Gateway,
    slot: PipelineSlot,
    request: &Request,
    reply: Option<Reply>,
    close: bool,
) {
    if !slot.wait_for_turn().await {
        // The connection is closed after the answers before the missing one.
        return;
    }
    let pipeline = &slot.pipeline;
    let mut writer = pipeline.writer.lock().await;
    // Requests read after this one must still be answered, so only the last answer may close.
    let is_last = pipeline.requests_read.get() == slot.sequence;
    let close = is_last && (close || gateway.is_stopping());
    if close || reply.is_none() {
        pipeline.closing.set(true);
    }
    let attempt_id = header::attempt_id(&request.headers);
    let written = match reply {
        Some(reply) => {
            let written = Box::pin(reply::write(&mut writer, reply, attempt_id, close));
            let written = supervise::contain_request(gateway, attempt_id.unwrap_or("-"), written);
            written.await
        }
        None => None,
    };
    match written {
        Some(Ok(())) => {
            if close && let Err(error) = writer.shutdown(std::net::Shutdown::Write) {
                log::debug!("cannot shut down the caller's connection: {error}");
            }
            drop(writer);
            return slot.finish();
        }
        Some(Err(error)) => log::debug!("cannot write an answer to the caller: {error}"),
        None => {}
    }
    // An answer behind this one would be taken for it.
    pipeline.closing.set(true);
    if let Err(error) = writer.shutdown(std::net::Shutdown::Both) {
        log::debug!("cannot shut down the caller's connection: {error}");
    }
}
