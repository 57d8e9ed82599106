//! A gateway as a process: start, reload, planned stop.

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

use super::ports::Port;
use super::{Gateway, accept, log as output, peers, ports, probe, stop, watch};
use crate::error::Error;
use crate::platform::node;
use crate::platform::store::Kind;

/// Time between two looks at the settings file
const LOOK: Duration = Duration::from_secs(2);

/// Options of a gateway process
#[derive(Clone, Debug)]
pub struct Options {
    /// Settings file of the platform
    pub settings_path: PathBuf,
    /// Port of the metrics address
    pub metrics_port: u16,
    /// Log level or `flexi_logger` specification
    pub log_spec: String,
}

/// Check the settings file only
pub fn check(options: &Options) -> Result<(), Error> {
    read(&options.settings_path)
        .map(|_| println!("{}: settings are good", options.settings_path.display()))
}

/// Run a gateway until it is told to stop
pub fn run(options: &Options) -> Result<(), Error> {
    let _log = output::start(&options.log_spec)?;
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.clone().run(serve(options, executor)))
}

fn read(path: &Path) -> Result<super::Settings, Error> {
    node::read(path).map_err(|error| Error::Usage(error.to_string()))
}

async fn serve(options: &Options, executor: Rc<LocalExecutor<'static>>) -> Result<(), Error> {
    let settings = read(&options.settings_path)?;
    let metrics = SocketAddr::new(settings.caller_address.ip(), options.metrics_port);
    let callers = bind(settings.caller_address).await?;
    let mut listeners = vec![
        (bind(settings.readiness_address).await?, Port::Front),
        (bind(metrics).await?, Port::Operator),
    ];
    if let Some(address) = settings.directory_address {
        listeners.push((bind(address).await?, Port::Front));
    }
    if let Some(address) = settings.control_address {
        listeners.push((bind(address).await?, Port::Control));
    }
    let socket = UdpSocket::bind(settings.peer_address).await;
    let socket = socket.map_err(|error| unavailable(settings.peer_address, &error))?;
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .map_err(|error| Error::Unavailable(format!("cannot watch for signals: {error}")))?;
    let gateway = Rc::new(Gateway::new(settings, executor));
    let fields = [("host", gateway.settings.borrow().host.as_str().into())];
    gateway.recorder.event("started", &fields);
    for (listener, port) in listeners {
        gateway
            .spawn(ports::serve(gateway.clone(), listener, port))
            .detach();
    }
    follow(&gateway, &socket);
    gateway
        .spawn(peers::tell_near(gateway.clone(), socket.clone()))
        .detach();
    gateway
        .spawn(peers::tell_far(gateway.clone(), socket))
        .detach();
    gateway.spawn(peers::register(gateway.clone())).detach();
    gateway.spawn(probe::run(gateway.clone())).detach();
    gateway.spawn(watch::ask_others(gateway.clone())).detach();
    let (stopper, stopped) = bounded(1);
    let listening = gateway.spawn(accept::serve(gateway.clone(), callers, stopped));
    until_stopped(&gateway, signals, &options.settings_path).await;
    stop::stop(&gateway, listening, stopper).await;
    Ok(())
}

/// Follow the store, with reports of other hosts waking silent watches
fn follow(gateway: &Rc<Gateway>, socket: &UdpSocket) {
    let mut kicks = BTreeMap::new();
    for kind in Kind::ALL {
        let (kick, kicked) = bounded(1);
        kicks.insert(kind, kick);
        gateway
            .spawn(watch::follow(gateway.clone(), kind, kicked))
            .detach();
    }
    gateway
        .spawn(peers::listen(gateway.clone(), socket.clone(), kicks))
        .detach();
}

/// Wait for SIGTERM or SIGINT; settings are read again on SIGHUP and when the file changed
async fn until_stopped(gateway: &Gateway, mut signals: Signals, path: &Path) {
    loop {
        let signal = async { Some(signals.next().await) };
        let look = async {
            Timer::after(LOOK).await;
            None
        };
        match signal.or(look).await {
            None => reload(gateway, path, false),
            Some(Some(Ok(Signal::Hup))) => reload(gateway, path, true),
            Some(Some(Ok(_)) | None) => return,
            Some(Some(Err(error))) => log::warn!("a signal was lost: {error}"),
        }
    }
}

fn reload(gateway: &Gateway, path: &Path, told: bool) {
    let fresh = match node::read(path) {
        Ok(fresh) => fresh,
        Err(error) => return log::error!("{error}; the old settings stay"),
    };
    let mut settings = gateway.settings.borrow_mut();
    if *settings == fresh && !told {
        return;
    }
    if fresh.caller_address != settings.caller_address
        || fresh.peer_address != settings.peer_address
    {
        log::warn!("new listen addresses are used from the next start on");
    }
    // Where it listens stays as it is until the next start.
    *settings = super::Settings {
        caller_address: settings.caller_address,
        readiness_address: settings.readiness_address,
        control_address: settings.control_address,
        directory_address: settings.directory_address,
        peer_address: settings.peer_address,
        ..fresh
    };
    drop(settings);
    gateway
        .recorder
        .event("settings-read", &[("told", told.into())]);
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|error| unavailable(address, &error))
}

fn unavailable(address: SocketAddr, error: &std::io::Error) -> Error {
    Error::Unavailable(format!(
        "cannot listen on {address}: {error}; free the address"
    ))
}
