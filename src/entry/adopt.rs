//! Shares that a starting host adopts from a zone peer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::Timer;
use smol::future::FutureExt;

use crate::config::Shares;
use crate::entry::{Host, lock};
use crate::id::ServiceId;
use crate::member::HostInfo;
use crate::peer::Link;
use crate::wire::Frame;

/// How long a starting host tries to get the shares of a zone peer
pub const ADOPTION_TIMEOUT: Duration = Duration::from_secs(2);

/// How long one peer may take to respond
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between attempts
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Adopts the shares of a zone peer; without any, the recorded shifts apply
pub async fn adopt_peer_shares(host: Arc<Host>, link: Link) {
    let deadline = Instant::now() + ADOPTION_TIMEOUT;
    while Instant::now() < deadline {
        for peer in live_zone_peers(&host) {
            let shares = request_shares(&link, &peer).await;
            if !shares.is_empty() {
                host.adopt_shares(shares);
                return;
            }
        }
        Timer::after(RETRY_INTERVAL).await;
    }
    host.adopt_shares(Vec::new());
}

fn live_zone_peers(host: &Host) -> Vec<HostInfo> {
    let view = lock(&host.view);
    let live_hosts = view.live_hosts(&host.settings.zone);
    let peers = live_hosts.filter(|other| other.info.host != host.settings.host);
    peers.map(|other| other.info.clone()).collect()
}

async fn request_shares(link: &Link, peer: &HostInfo) -> Vec<(ServiceId, Shares)> {
    let response = async {
        let mut exchange = link.open(peer.peer, &peer.host, &Frame::Ramps).await.ok()?;
        exchange.next().await.ok()?
    };
    let timeout = async {
        Timer::after(RESPONSE_TIMEOUT).await;
        None
    };
    match response.or(timeout).await {
        Some(Frame::Shares(shares)) => shares,
        _ => Vec::new(),
    }
}
