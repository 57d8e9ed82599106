//! A host is stopped while clients send requests one behind the other, and the head of a second request
//! arrives in two pieces.
//!
//! Rule LOST: around a SIGTERM, a request that was passed on to an endpoint gets its answer.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use crate::endpoint::{Step, answer};
use crate::{Record, Site, Verdict, client, gate};

const WORK: Duration = Duration::from_millis(880);
const TIME_LIMIT: Duration = Duration::from_millis(4000);

/// Delay between clients and the host, one way
const DELAY: Duration = Duration::from_millis(8);

const CLIENTS: u64 = 24;

/// Time at which the host gets SIGTERM, and at which the two pieces of the second head are sent: the
/// last piece by each client 2 ms later than by the one before it
const STOP_AT: Duration = Duration::from_millis(300);
const FIRST_PIECE_AT: Duration = Duration::from_millis(500);
const LAST_PIECE_AT: Duration = Duration::from_millis(866);

/// Passes on what one side sends, some time later
fn pass_on(mut from: TcpStream, mut to: TcpStream) {
    let mut bytes = [0; 16 << 10];
    loop {
        let count = from.read(&mut bytes).unwrap_or(0);
        std::thread::sleep(DELAY);
        if count == 0 {
            to.shutdown(Shutdown::Write).ok();
            return;
        }
        if to.write_all(&bytes[..count]).is_err() {
            from.shutdown(Shutdown::Both).ok();
            return;
        }
    }
}

/// Starts the way between the clients and the host
fn start_way(address: SocketAddr, host: SocketAddr) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || -> std::io::Result<()> {
                let upstream = TcpStream::connect(host)?;
                stream.set_nodelay(true)?;
                upstream.set_nodelay(true)?;
                let (there, back) = (stream.try_clone()?, upstream.try_clone()?);
                std::thread::spawn(move || pass_on(there, upstream));
                pass_on(back, stream);
                Ok(())
            });
        }
    });
    Ok(())
}

pub fn play(record: &Record) -> Verdict {
    let site = Site::start(
        record,
        gate::QGSLA,
        4,
        7,
        Duration::from_millis(3000),
        |_, request, _| {
            vec![
                Step::Pause(WORK),
                Step::Bytes(answer(request, 200, "", b"done")),
            ]
        },
    )?;
    let way = site.address(200, 8161);
    start_way(way, site.caller_address()).map_err(|error| error.to_string())?;
    // The usual requests, after which the host knows how long they take.
    let warm: Vec<_> = (0..12)
        .map(|number| {
            std::thread::spawn(move || {
                let mut connection = client::connect(way, TIME_LIMIT).ok()?;
                let id = format!("warm-{number}");
                let target = format!("/look/{id}");
                client::exchange(&mut connection, "GET", &target, &id, TIME_LIMIT).ok()
            })
        })
        .collect();
    warm.into_iter().for_each(|client| drop(client.join()));
    let start = Instant::now();
    let wait_until = move |after: Duration| {
        std::thread::sleep((start + after).saturating_duration_since(Instant::now()));
    };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            std::thread::spawn(move || -> Result<_, String> {
                let text = |error: std::io::Error| error.to_string();
                let mut connection = client::connect(way, TIME_LIMIT).map_err(text)?;
                let ids = [format!("first-{number}"), format!("second-{number}")];
                let [first, second] = &ids;
                let send = |stream: &mut TcpStream, bytes: &[u8]| stream.write_all(bytes);
                let bytes = client::request("GET", &format!("/look/{first}"), first, TIME_LIMIT);
                send(&mut connection.stream, bytes.as_bytes()).map_err(text)?;
                let bytes = client::request("GET", &format!("/look/{second}"), second, TIME_LIMIT);
                let (piece, rest) = bytes.as_bytes().split_at(bytes.len() / 2);
                wait_until(FIRST_PIECE_AT);
                send(&mut connection.stream, piece).map_err(text)?;
                wait_until(LAST_PIECE_AT + Duration::from_millis(2 * number));
                // A client that has the first answer sees that the connection closes.
                connection.stream.set_nonblocking(true).map_err(text)?;
                let has_answer = connection.stream.peek(&mut [0]).is_ok();
                connection.stream.set_nonblocking(false).map_err(text)?;
                let sent_at = match has_answer {
                    true => None,
                    false => {
                        send(&mut connection.stream, rest).map_err(text)?;
                        Some(Instant::now())
                    }
                };
                let mut answered = Vec::new();
                while let Ok(Some(answer)) = connection.read() {
                    let says_close = answer.says_close();
                    let id = answer.header("attempt-id").unwrap_or("-").to_owned();
                    answered.push((id, answer.status(), says_close));
                    if answered.len() == 2 {
                        break;
                    }
                }
                Ok((ids, sent_at, answered))
            })
        })
        .collect();
    wait_until(STOP_AT);
    if site.has_trouble {
        site.gate.signal("TERM");
        record.line("SIGTERM");
    }
    let mut breaks = Vec::new();
    let mut served = 0;
    for client in clients {
        let (ids, sent_at, answered) = client.join().map_err(|_| "a client failed")??;
        served += usize::from(answered.iter().any(|(id, ..)| *id == ids[0]));
        let Some(sent_at) = sent_at else {
            record.line(format!("client does not send the rest of {}", ids[1]));
            continue;
        };
        record.line_at(sent_at, format!("client has sent {}", ids[1]));
        let arrivals = site.endpoints.iter().flat_map(|endpoint| {
            let arrivals = endpoint.arrivals().into_iter();
            arrivals
                .map(|arrival| (arrival, endpoint.id.clone()))
                .collect::<Vec<_>>()
        });
        let reached = arrivals
            .into_iter()
            .find(|(arrival, _)| arrival.id == ids[1]);
        let status = answered
            .iter()
            .find(|(id, ..)| *id == ids[1])
            .map(|(_, status, _)| *status);
        match (&reached, status) {
            (Some((arrival, endpoint)), status) => {
                let text = status.map_or("no answer".to_owned(), |status| status.to_string());
                record.line_at(arrival.at, format!("{} reaches {endpoint}; {text}", ids[1]));
                if status.is_none() {
                    breaks.push(format!(
                        "LOST: {} was passed on to {endpoint} and its connection closed without an \
                         answer",
                        ids[1]
                    ));
                }
            }
            (None, status) => record.line(format!("{} is not passed on; {status:?}", ids[1])),
        }
    }
    match served < CLIENTS as usize / 2 {
        true => Err("too few requests were served".to_owned()),
        false => Ok(breaks),
    }
}
