//! An entry host as a process: start, run, planned stop.

use std::path::Path;
use std::sync::Arc;
use std::time::Instant;

use async_signal::{Signal, Signals};
use flexi_logger::{Logger, LoggerHandle};
use smol::net::TcpListener;
use smol::stream::StreamExt;

use crate::caller;
use crate::entry::{Host, adopt, incoming, lock, probe, report, stop, watch};
use crate::error::Error;
use crate::member::{Agent, Hooks};
use crate::operator::{self, Direction};
use crate::peer::{self, Link};
use crate::settings::{self, LogFormat, Settings};
use crate::upstream;

/// Run an entry host until it is told to stop; with `check`, only check its settings
pub fn run(path: &Path, check: bool) -> Result<(), Error> {
    let settings = settings::check(path).map_err(|error| Error::Usage(error.to_string()))?;
    if check {
        println!("{}: settings are good", path.display());
        return Ok(());
    }
    let _log = log(&settings)?;
    smol::block_on(serve(settings))
}

fn log(settings: &Settings) -> Result<LoggerHandle, Error> {
    let usage = |error: flexi_logger::FlexiLoggerError| {
        Error::Usage(format!("log: {error}; use a level such as info"))
    };
    let logger = Logger::try_with_str(&settings.log.level).map_err(usage)?;
    let logger = match settings.log.format {
        LogFormat::Text => logger.format(flexi_logger::detailed_format),
        LogFormat::Json => logger.format(flexi_logger::json_format),
    };
    logger.log_to_stderr().start().map_err(usage)
}

async fn serve(settings: Settings) -> Result<(), Error> {
    let callers = bind(settings.caller).await?;
    let operators = bind(settings.operator).await?;
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .map_err(|error| Error::Unavailable(format!("cannot watch for signals: {error}")))?;
    let link = Link::bind(&settings).map_err(unbound)?;
    let host = Arc::new(Host::new(settings, upstream::Client::new()));
    join(&host, &link);
    smol::spawn(watch::watch_configuration(host.clone())).detach();
    smol::spawn(probe::run(host.clone())).detach();
    smol::spawn(operator::serve(operators, report::source(&host))).detach();
    let limits = caller::Limits::default();
    smol::spawn(caller::serve(host.clone(), callers, limits)).detach();
    log::info!("{} serves callers", host.settings.host);
    until_stopped(&mut signals, &host, &link).await;
    stop::stop(&host, &link, signals).await;
    link.close().await;
    Ok(())
}

/// Wait for SIGTERM or SIGINT; SIGHUP replaces the keys
async fn until_stopped(signals: &mut Signals, host: &Host, link: &Link) {
    while let Some(Ok(Signal::Hup)) = signals.next().await {
        match link.reload(&host.settings.keys) {
            Ok(()) => log::info!("keys are replaced"),
            Err(error) => log::error!("keys are not replaced: {error}"),
        }
    }
}

/// Start the tasks that other entry hosts depend on
pub fn join(host: &Arc<Host>, link: &Link) {
    *lock(&host.link) = Some(link.clone());
    let agent = Arc::new(Agent::new(link.clone(), host.view.clone(), hooks(host)));
    let seeds = host.settings.seeds.clone();
    smol::spawn(incoming::serve(host.clone(), agent.clone(), link.clone())).detach();
    smol::spawn(adopt::adopt_peer_shares(host.clone(), link.clone())).detach();
    smol::spawn(agent.run(host.platform.clone(), seeds)).detach();
    smol::spawn(watch::run_clock(host.clone())).detach();
}

fn unbound(error: peer::Error) -> Error {
    match error {
        peer::Error::Keys(..) => Error::Usage(error.to_string()),
        _ => Error::Unavailable(error.to_string()),
    }
}

/// What heartbeats carry from and to this host
fn hooks(host: &Arc<Host>) -> Hooks {
    let [a, b, c, d, e, f, g] = std::array::from_fn(|_| host.clone());
    Hooks {
        config_number: Box::new(move || a.revision().number),
        config_update: Box::new(move |above| b.revision().update_since(above).ok()),
        apply_config: Box::new(move |bytes| watch::apply_update(&c, &bytes)),
        quarantined_keys: Box::new(move || lock(&d.quarantine).own_refusals()),
        add_quarantined_keys: Box::new(move |keys| {
            lock(&e.quarantine).merge_refusals(Instant::now(), &keys)
        }),
        taken_over: Box::new(move || lock(&f.taken_over).keys().cloned().collect()),
        count_control_bytes: Box::new(move |moved| {
            g.metrics.control(Direction::Out, moved.sent);
            g.metrics.control(Direction::In, moved.received);
        }),
    }
}

async fn bind(address: std::net::SocketAddr) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|error| {
        Error::Unavailable(format!(
            "cannot listen on {address}: {error}; choose a free address in the settings"
        ))
    })
}
