//! Shares that a starting host takes from a zone peer.

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

/// Longest time in which a starting host looks for a peer's shares
pub const ADOPTION_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time that one peer may take to answer
const ANSWER: Duration = Duration::from_millis(500);

/// Time between looks for peers
const PAUSE: Duration = Duration::from_millis(50);

/// Start from the shares of a zone peer, or from the recorded shifts if none has any
pub async fn adopt_peer_shares(host: Arc<Host>, link: Link) {
    let until = Instant::now() + ADOPTION_TIMEOUT;
    while Instant::now() < until {
        for peer in peers(&host) {
            let shares = ask(&link, &peer).await;
            if !shares.is_empty() {
                host.adopt_shares(shares);
                return;
            }
        }
        Timer::after(PAUSE).await;
    }
    host.adopt_shares(Vec::new());
}

fn peers(host: &Host) -> Vec<HostInfo> {
    let view = lock(&host.view);
    let live = view.live_hosts(&host.settings.zone);
    let others = live.filter(|other| other.info.host != host.settings.host);
    others.map(|other| other.info.clone()).collect()
}

async fn ask(link: &Link, peer: &HostInfo) -> Vec<(ServiceId, Shares)> {
    let answer = async {
        let mut exchange = link.open(peer.peer, &peer.host, &Frame::Ramps).await.ok()?;
        exchange.next().await.ok()?
    };
    let late = async {
        Timer::after(ANSWER).await;
        None
    };
    match answer.or(late).await {
        Some(Frame::Shares(shares)) => shares,
        _ => Vec::new(),
    }
}
