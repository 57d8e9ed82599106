//! Entry host process: start, signal handling and planned stop.

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

/// Runs an entry host until a stop signal; with `check_only`, validates its settings and returns
pub fn run(path: &Path, check_only: bool) -> Result<(), Error> {
    let settings = settings::check(path).map_err(|error| Error::Usage(error.to_string()))?;
    if check_only {
        println!("{}: settings are valid", path.display());
        return Ok(());
    }
    let _logger = start_logger(&settings)?;
    smol::block_on(serve(settings))
}

fn start_logger(settings: &Settings) -> Result<LoggerHandle, Error> {
    let usage_error = |error: flexi_logger::FlexiLoggerError| {
        Error::Usage(format!(
            "cannot start the logger: {error}; use a log.level such as info"
        ))
    };
    let logger = Logger::try_with_str(&settings.log.level).map_err(usage_error)?;
    let logger = match settings.log.format {
        LogFormat::Text => logger.format(flexi_logger::detailed_format),
        LogFormat::Json => logger.format(flexi_logger::json_format),
    };
    logger.log_to_stderr().start().map_err(usage_error)
}

async fn serve(settings: Settings) -> Result<(), Error> {
    let caller_listener = listen(settings.caller_address).await?;
    let operator_listener = listen(settings.operator_address).await?;
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .map_err(|error| Error::Unavailable(format!("cannot install signal handlers: {error}")))?;
    let link = Link::bind(&settings).map_err(link_error)?;
    let host = Arc::new(Host::new(settings, upstream::Client::new()));
    start_peer_tasks(&host, &link);
    smol::spawn(watch::watch_configuration(host.clone())).detach();
    smol::spawn(probe::run(host.clone())).detach();
    smol::spawn(operator::serve(operator_listener, report::source(&host))).detach();
    let limits = caller::Limits::default();
    smol::spawn(caller::serve(host.clone(), caller_listener, limits)).detach();
    log::info!("{} accepts callers", host.settings.host);
    wait_for_stop_signal(&mut signals, &host, &link).await;
    stop::stop(&host, &link, signals).await;
    link.close().await;
    Ok(())
}

/// Waits for SIGTERM or SIGINT; reloads the keys on SIGHUP
async fn wait_for_stop_signal(signals: &mut Signals, host: &Host, link: &Link) {
    while let Some(Ok(Signal::Hup)) = signals.next().await {
        match link.reload(&host.settings.keys) {
            Ok(()) => log::info!("keys reloaded"),
            Err(error) => log::error!("cannot reload keys, the previous ones stay in use: {error}"),
        }
    }
}

/// Starts the tasks that exchange state and requests with other entry hosts
pub fn start_peer_tasks(host: &Arc<Host>, link: &Link) {
    *lock(&host.link) = Some(link.clone());
    let agent = Arc::new(Agent::new(link.clone(), host.view.clone(), hooks(host)));
    let seeds = host.settings.seed_addresses.clone();
    smol::spawn(incoming::serve(host.clone(), agent.clone(), link.clone())).detach();
    smol::spawn(adopt::adopt_peer_shares(host.clone(), link.clone())).detach();
    smol::spawn(agent.run(host.platform.clone(), seeds)).detach();
    smol::spawn(watch::run_clock(host.clone())).detach();
}

fn link_error(error: peer::Error) -> Error {
    match error {
        peer::Error::Keys(..) => Error::Usage(error.to_string()),
        _ => Error::Unavailable(error.to_string()),
    }
}

/// Returns the callbacks through which heartbeats read and update this host
fn hooks(host: &Arc<Host>) -> Hooks {
    let [a, b, c, d, e, f, g] = std::array::from_fn(|_| host.clone());
    Hooks {
        config_number: Box::new(move || a.revision().number),
        config_update: Box::new(move |base| b.revision().update_since(base).ok()),
        apply_config: Box::new(move |bytes| watch::apply_update(&c, &bytes)),
        quarantined_keys: Box::new(move || lock(&d.quarantine).own_refusals()),
        add_quarantined_keys: Box::new(move |keys| {
            lock(&e.quarantine).merge_refusals(Instant::now(), &keys)
        }),
        taken_over: Box::new(move || lock(&f.taken_over).keys().cloned().collect()),
        count_control_bytes: Box::new(move |bytes| {
            g.metrics.record_control_bytes(Direction::Out, bytes.sent);
            g.metrics
                .record_control_bytes(Direction::In, bytes.received);
        }),
    }
}

async fn listen(address: std::net::SocketAddr) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|error| {
        Error::Unavailable(format!(
            "cannot listen on {address}: {error}; choose a free address in the settings"
        ))
    })
}
