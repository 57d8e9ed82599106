//! Connections of callers.
//!
//! Requests that are sent ahead on one connection run side by side and are answered in order. A
//! request with a long body runs alone, as its body streams. A caller that closes its connection
//! cancels what still runs for it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use smol::Timer;
use smol::channel::{Receiver, Sender, bounded};
use smol::future::{FutureExt, poll_once};
use smol::lock::Mutex;
use smol::net::{TcpListener, TcpStream};
use smol::{Task, io::AsyncWriteExt};

use super::Gateway;
use super::forward::forward;
use super::reply::{self, Refusal, Reply};
use super::upload::Upload;
use crate::message::{Connection, Error, Length, Request, timeout};
use crate::platform::header;

/// Longest body that is held whole, so that it can be sent to a second endpoint
const WHOLE: u64 = 64 << 10;

/// Requests on one connection that run side by side
const AHEAD: usize = 16;

/// Bytes that are read ahead while a request runs alone
const READ_AHEAD: usize = 64 << 10;

/// Time for which the rest of an unread body is taken before a close, so that the answer arrives
const LINGER: Duration = Duration::from_millis(500);

/// Time that a body may take where the caller states no deadline
const BODY_TIME: Duration = Duration::from_secs(30);

/// Pause after a failed accept, as when no descriptors are left
const PAUSE: Duration = Duration::from_millis(50);

/// Take connections until `stop` is closed; those that are connected by then are taken too
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener, stop: Receiver<()>) {
    loop {
        let accepted = async { Some(listener.accept().await) };
        let stopped = async {
            // Only its end counts.
            let _ = stop.recv().await;
            None
        };
        match accepted.or(stopped).await {
            Some(Ok((stream, _))) => take(&gateway, stream),
            Some(Err(error)) => {
                log::warn!("cannot accept a caller: {error}");
                Timer::after(PAUSE).await;
            }
            None => break,
        }
    }
    while let Some(Ok((stream, _))) = poll_once(listener.accept()).await {
        take(&gateway, stream);
    }
}

fn take(gateway: &Rc<Gateway>, stream: TcpStream) {
    let handler = gateway.clone();
    gateway.open.set(gateway.open.get() + 1);
    let served = async move {
        serve_one(&handler, stream).await;
        handler.open.set(handler.open.get() - 1);
    };
    gateway.spawn(served).detach();
}

async fn serve_one(gateway: &Rc<Gateway>, stream: TcpStream) {
    match Connection::new(stream) {
        Ok(connection) => Line::new(gateway.clone(), connection).run().await,
        Err(error) => log::debug!("connection of a caller: {error}"),
    }
}

/// What the requests of a connection share
#[derive(Debug)]
struct Shared {
    out: Mutex<TcpStream>,
    /// Requests read so far
    read: Cell<u64>,
    /// Requests that are not answered yet
    pending: Cell<usize>,
    /// Whether the answer that closes the connection was begun
    closing: Cell<bool>,
}

/// One connection of a caller
struct Line {
    gateway: Rc<Gateway>,
    connection: Connection,
    shared: Rc<Shared>,
    tasks: Vec<Task<()>>,
    turn: Receiver<()>,
}

/// Position in the order of answers
struct Turn {
    number: u64,
    before: Receiver<()>,
    after: Sender<()>,
}

/// Whether more requests follow
#[derive(PartialEq, Eq)]
enum Next {
    More,
    End,
}

impl Line {
    fn new(gateway: Rc<Gateway>, connection: Connection) -> Self {
        let shared = Shared {
            out: Mutex::new(connection.writer()),
            read: Cell::new(0),
            pending: Cell::new(0),
            closing: Cell::new(false),
        };
        let (first, turn) = bounded(1);
        // The first request waits for nobody.
        drop(first);
        Self {
            gateway,
            connection,
            shared: Rc::new(shared),
            tasks: Vec::new(),
            turn,
        }
    }

    async fn run(mut self) {
        loop {
            let idle = self.limits().idle_timeout;
            match timeout(Instant::now() + idle, self.connection.begin()).await {
                None if self.shared.pending.get() > 0 => continue,
                None | Some(Ok(false) | Err(_)) => return,
                Some(Ok(true)) => {}
            }
            if self.shared.closing.get() {
                return self.linger().await;
            }
            self.tasks.retain(|task| !task.is_finished());
            if self.tasks.len() >= AHEAD {
                Timer::after(PAUSE / 5).await;
                continue;
            }
            if self.next().await == Next::End {
                return;
            }
        }
    }

    fn limits(&self) -> crate::policy::Limits {
        let document = self.gateway.document();
        document.map(|document| document.limits).unwrap_or_default()
    }

    async fn next(&mut self) -> Next {
        let limits = self.limits();
        let head = self.connection.request(limits.max_head_bytes);
        let head = timeout(Instant::now() + limits.head_timeout, head).await;
        let arrived = Instant::now();
        let request = match head {
            Some(Ok(request)) => request,
            Some(Err(Error::TooLong(_))) => return self.reject(431, "head is too long").await,
            Some(Err(Error::Malformed(why))) => return self.reject(400, why).await,
            Some(Err(_)) => return Next::End,
            None => return self.reject(408, "head took too long").await,
        };
        self.shared.read.set(self.shared.read.get() + 1);
        let expects = request.headers.has_word("expect", "100-continue");
        if expects && self.proceed().await.is_err() {
            return Next::End;
        }
        match request.length {
            Length::Bytes(length) if length > limits.max_body_bytes => {
                self.reject(413, "body is too long").await
            }
            Length::Bytes(length) if length <= WHOLE => self.whole(request, arrived).await,
            _ => self.stream(request, arrived, limits.max_body_bytes).await,
        }
    }

    fn turn(&mut self) -> Turn {
        let (after, turn) = bounded(1);
        self.shared.pending.set(self.shared.pending.get() + 1);
        Turn {
            number: self.shared.read.get(),
            before: std::mem::replace(&mut self.turn, turn),
            after,
        }
    }

    /// Read a short body, then run the request beside others
    async fn whole(&mut self, request: Request, arrived: Instant) -> Next {
        let limit = header::deadline(&request.headers).unwrap_or(BODY_TIME);
        let body = self.connection.body(request.length, WHOLE as usize);
        let body = match timeout(arrived + limit, body).await {
            Some(Ok(body)) => body,
            Some(Err(_)) | None => return Next::End,
        };
        let turn = self.turn();
        let (gateway, shared) = (self.gateway.clone(), self.shared.clone());
        let keep = request.keep;
        let spawner = gateway.clone();
        let running = Running::new(&gateway);
        let task = spawner.spawn(async move {
            let _running = running;
            let mut upload = Upload::Whole(&body);
            let reply = forward(&gateway, &request, &mut upload, arrived).await;
            answer(&gateway, &shared, turn, &request, reply, !keep).await;
        });
        self.tasks.push(task);
        if keep {
            Next::More
        } else {
            self.finish().await
        }
    }

    /// Run a request whose body streams
    async fn stream(&mut self, request: Request, arrived: Instant, limit: u64) -> Next {
        let turn = self.turn();
        let gateway = self.gateway.clone();
        let _running = Running::new(&gateway);
        let mut length = request.length;
        let mut upload = Upload::Stream {
            caller: &mut self.connection,
            length: &mut length,
            begun: false,
        };
        log::debug!("body of up to {limit} bytes streams");
        let reply = forward(&gateway, &request, &mut upload, arrived).await;
        let rest = length != Length::Bytes(0);
        let shared = self.shared.clone();
        let close = !request.keep || rest;
        let done = async {
            answer(&gateway, &shared, turn, &request, reply, close).await;
        };
        done.or(self.connection.closed(READ_AHEAD)).await;
        if close {
            self.linger().await;
            return Next::End;
        }
        Next::More
    }

    /// Wait until all answers are written or the caller goes away
    async fn finish(&mut self) -> Next {
        let tasks = std::mem::take(&mut self.tasks);
        let done = async {
            for task in tasks {
                task.await;
            }
        };
        done.or(self.connection.closed(READ_AHEAD)).await;
        Next::End
    }

    /// Answer what is no proper request, and close
    async fn reject(&mut self, status: u16, reason: &'static str) -> Next {
        for task in std::mem::take(&mut self.tasks) {
            task.await;
        }
        let mut out = self.shared.out.lock().await;
        let refusal = Reply::Own(Refusal::new(status, reason));
        if let Err(error) = reply::write(&mut out, refusal, None, true).await {
            log::debug!("a rejected caller is gone: {error}");
        }
        drop(out);
        self.linger().await;
        Next::End
    }

    /// Tell a caller to send the body that it holds back
    async fn proceed(&mut self) -> std::io::Result<()> {
        for task in std::mem::take(&mut self.tasks) {
            task.await;
        }
        let mut out = self.shared.out.lock().await;
        out.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await
    }

    /// Take what the caller still sends, so that a reset does not overtake the answer
    async fn linger(&mut self) {
        let out = self.shared.out.lock().await;
        if out.shutdown(std::net::Shutdown::Write).is_err() {
            return;
        }
        drop(out);
        let drained = async {
            let mut rest = Length::Close;
            while let Ok(Some(_)) = self.connection.piece(&mut rest).await {}
        };
        timeout(Instant::now() + LINGER, drained).await;
    }
}

/// Count of a request in progress
struct Running(Rc<Gateway>);

impl Running {
    fn new(gateway: &Rc<Gateway>) -> Self {
        gateway.running.set(gateway.running.get() + 1);
        Self(gateway.clone())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

/// Write an answer when its turn has come
async fn answer(
    gateway: &Gateway,
    shared: &Shared,
    turn: Turn,
    request: &Request,
    reply: Reply,
    close: bool,
) {
    // The sender before is dropped once its answer is written.
    let _ = turn.before.recv().await;
    let mut out = shared.out.lock().await;
    // Requests that were read after this one must be answered, so only the last one may close.
    let last = shared.read.get() == turn.number;
    let close = last && (close || gateway.is_stopping());
    if close {
        shared.closing.set(true);
    }
    let attempt = header::attempt(&request.headers);
    let written = reply::write(&mut out, reply, attempt, close).await;
    shared.pending.set(shared.pending.get() - 1);
    if let Err(error) = written {
        log::debug!("an answer was cut: {error}");
        shared.closing.set(true);
        if let Err(error) = out.shutdown(std::net::Shutdown::Both) {
            log::debug!("caller is gone: {error}");
        }
    } else if close && let Err(error) = out.shutdown(std::net::Shutdown::Write) {
        log::debug!("caller is gone: {error}");
    }
    drop(turn.after);
}
