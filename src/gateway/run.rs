//! Gateway process: start, settings reload and planned stop.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use async_signal::{Signal, Signals};
use smol::channel::bounded;
use smol::future::FutureExt;
use smol::net::{TcpListener, UdpSocket};
use smol::stream::StreamExt;
use smol::{LocalExecutor, Timer};
use socket2::SockRef;

use super::ports::Port;
use super::{
    Gateway, accept, bootstrap, era, heartbeat, holdover_sync, log as gateway_log, peers, ports,
    probe, quarantine, stop, store_check, supervise, watch,
};
use crate::error::Error;
use crate::platform::node;
use crate::platform::store::Kind;

/// Interval at which the settings file is checked for changes
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum number of connections that wait to be accepted, unless the kernel allows fewer
///
/// The kernel drops what does not fit, and TCP retries after a second, when callers have given up.
/// Hundreds of callers may connect at once.
const ACCEPT_QUEUE_LENGTH: i32 = 4096;

/// Options of a gateway process
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the platform's settings file
    pub settings_path: PathBuf,
    /// Port for metrics and status
    pub metrics_port: u16,
    /// Log level or `flexi_logger` specification
    pub log_spec: String,
}

/// Checks the settings file without starting
pub fn check(options: &Options) -> Result<(), Error> {
    read_settings(&options.settings_path)
        .map(|_| println!("{}: settings are valid", options.settings_path.display()))
}

/// Runs a gateway until it receives a stop signal
pub fn run(options: &Options) -> Result<(), Error> {
    let _log = gateway_log::start(&options.log_spec)?;
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.clone().run(serve(options, executor)))
}

fn read_settings(path: &Path) -> Result<super::Settings, Error> {
    node::read(path).map_err(|error| Error::Usage(error.to_string()))
}

async fn serve(options: &Options, executor: Rc<LocalExecutor<'static>>) -> Result<(), Error> {
    let settings = read_settings(&options.settings_path)?;
    let metrics_address = SocketAddr::new(settings.caller_address.ip(), options.metrics_port);
    let caller_listener = bind(settings.caller_address).await?;
    let mut listeners = vec![
        (bind(settings.readiness_address).await?, Port::Public),
        (bind(metrics_address).await?, Port::Operator),
    ];
    if let Some(address) = settings.directory_address {
        listeners.push((bind(address).await?, Port::Public));
    }
    if let Some(address) = settings.control_address {
        listeners.push((bind(address).await?, Port::Control));
    }
    let socket = UdpSocket::bind(settings.peer_address).await;
    let socket = socket.map_err(|error| listen_error(settings.peer_address, &error))?;
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .map_err(|error| Error::Unavailable(format!("cannot install signal handlers: {error}")))?;
    let gateway = Rc::new(Gateway::new(settings, executor));
    gateway.limits.set_socket(socket.clone());
    let fields = [("host", gateway.settings.borrow().host.as_str().into())];
    gateway.recorder.event("started", &fields);
    for (listener, port) in listeners {
        run_loop(&gateway, "port", move |gateway| {
            ports::serve(gateway, listener.clone(), port)
        });
    }
    follow_store(&gateway, &socket);
    let report_socket = socket.clone();
    run_loop(&gateway, "load reports", move |gateway| {
        peers::report_load(gateway, report_socket.clone())
    });
    let heartbeat_socket = socket.clone();
    run_loop(&gateway, "heartbeats", move |gateway| {
        heartbeat::run(gateway, heartbeat_socket.clone())
    });
    run_loop(&gateway, "pings", move |gateway| {
        peers::ping_and_report_demand(gateway, socket.clone())
    });
    run_loop(&gateway, "own entry", peers::maintain_entry);
    run_loop(&gateway, "store check", store_check::run);
    run_loop(&gateway, "probes", probe::run);
    run_loop(&gateway, "crash records", quarantine::maintain_records);
    run_loop(&gateway, "bootstrap", bootstrap::run);
    run_loop(&gateway, "era", era::maintain);
    run_loop(&gateway, "holdover", holdover_sync::run);
    let (stop_sender, stop_receiver) = bounded(1);
    let acceptor = gateway.clone();
    let accept_task = supervise::keep_running(&gateway, "accept", move || {
        accept::serve(
            acceptor.clone(),
            caller_listener.clone(),
            stop_receiver.clone(),
        )
    });
    wait_for_stop(&gateway, signals, &options.settings_path).await;
    stop::stop(&gateway, accept_task, stop_sender).await;
    Ok(())
}

/// Runs a loop as long as the process
fn run_loop<F>(
    gateway: &Rc<Gateway>,
    name: &'static str,
    start: impl Fn(Rc<Gateway>) -> F + 'static,
) where
    F: Future<Output = ()> + 'static,
{
    let owner = gateway.clone();
    supervise::keep_running(gateway, name, move || start(owner.clone())).detach();
}

/// Follows the store; reports from other hosts can trigger a resync
fn follow_store(gateway: &Rc<Gateway>, socket: &UdpSocket) {
    let mut resync_senders = BTreeMap::new();
    for kind in Kind::ALL {
        let (resync_sender, resync_receiver) = bounded(1);
        resync_senders.insert(kind, resync_sender);
        run_loop(gateway, kind.name(), move |gateway| {
            watch::follow(gateway, kind, resync_receiver.clone())
        });
    }
    let socket = socket.clone();
    run_loop(gateway, "reports", move |gateway| {
        peers::receive_reports(gateway, socket.clone(), resync_senders.clone())
    });
}

/// Waits for SIGTERM or SIGINT; reloads the settings on SIGHUP and when the file changes
async fn wait_for_stop(gateway: &Gateway, mut signals: Signals, path: &Path) {
    loop {
        let signal = async { Some(signals.next().await) };
        let poll = async {
            Timer::after(SETTINGS_POLL_INTERVAL).await;
            None
        };
        match signal.or(poll).await {
            None => reload(gateway, path, false),
            Some(Some(Ok(Signal::Hup))) => reload(gateway, path, true),
            Some(Some(Ok(_)) | None) => return,
            Some(Some(Err(error))) => log::warn!("cannot receive a signal: {error}"),
        }
    }
}

fn reload(gateway: &Gateway, path: &Path, on_signal: bool) {
    let new_settings = match node::read(path) {
        Ok(new_settings) => new_settings,
        Err(error) => return log::error!("{error}; keeping the current settings"),
    };
    let mut settings = gateway.settings.borrow_mut();
    if *settings == new_settings && !on_signal {
        return;
    }
    if new_settings.caller_address != settings.caller_address
        || new_settings.peer_address != settings.peer_address
    {
        log::warn!("listen addresses changed; they take effect after a restart");
    }
    gateway.memory.resize(new_settings.memory_bytes);
    // Listen addresses only change at a restart.
    *settings = super::Settings {
        caller_address: settings.caller_address,
        readiness_address: settings.readiness_address,
        control_address: settings.control_address,
        directory_address: settings.directory_address,
        peer_address: settings.peer_address,
        ..new_settings
    };
    drop(settings);
    gateway
        .recorder
        .event("settings-read", &[("told", on_signal.into())]);
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let listener = listen(address).await;
    listener.map_err(|error| listen_error(address, &error))
}

async fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(address).await?;
    SockRef::from(&listener).listen(ACCEPT_QUEUE_LENGTH)?;
    Ok(listener)
}

fn listen_error(address: SocketAddr, error: &std::io::Error) -> Error {
    Error::Unavailable(format!(
        "cannot listen on {address}: {error}; free the address"
    ))
}
