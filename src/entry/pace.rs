//! Pace of answers that cross the link between two regions.

use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use smol::Timer;

use crate::budget::Link;
use crate::config::{Class, Document};
use crate::entry::{Host, lock};
use crate::id::{HostId, ServiceId, ZoneId};
use crate::member::State;
use crate::peer::{Error, Exchange};
use crate::wire::Frame;

/// Bytes of one answer to another host
#[derive(Debug)]
pub struct Pacer {
    host: Arc<Host>,
    link: Option<CompactString>,
    class: Class,
    id: u64,
}

impl Pacer {
    /// Pace of an answer to `to`; without a budget between the regions it is not held
    pub fn new(host: &Arc<Host>, service: &ServiceId, to: &HostId) -> Self {
        let revision = host.revision();
        let document = &revision.document;
        let class = document.services.get(service).map(|service| service.class);
        Self {
            host: host.clone(),
            link: budget(host, document, to),
            class: class.unwrap_or_default(),
            id: fastrand::u64(..),
        }
    }

    /// Time for which the link takes no further interactive requests, if any
    pub fn interactive_wait(&self) -> Option<Duration> {
        let delay = self.with_link(|link, now| match self.class {
            Class::Interactive => link.interactive_wait(now),
            Class::Download => Duration::ZERO,
        });
        delay.filter(|delay| *delay > Duration::ZERO)
    }

    /// Send bytes of the answer when the link's budget has room for them
    pub async fn send(&self, exchange: &mut Exchange, mut bytes: Vec<u8>) -> Result<(), Error> {
        while !bytes.is_empty() {
            let piece = match self.room(bytes.len() as u64) {
                Ok(room) => bytes.drain(..room as usize).collect(),
                Err(wait) => {
                    Timer::after(wait).await;
                    continue;
                }
            };
            exchange.send(&Frame::Body(piece)).await?;
        }
        Ok(())
    }

    fn room(&self, want: u64) -> Result<u64, Duration> {
        let room = self.with_link(|link, now| match self.class {
            Class::Interactive => {
                link.charge_interactive(now, want);
                Ok(want)
            }
            Class::Download => link.grant_download(now, self.id, want),
        });
        room.unwrap_or(Ok(want))
    }

    fn with_link<T>(&self, act: impl FnOnce(&mut Link, Instant) -> T) -> Option<T> {
        let mut links = lock(&self.host.link_budgets);
        let link = links.get_mut(self.link.as_ref()?)?;
        Some(act(link, Instant::now()))
    }
}

impl Drop for Pacer {
    fn drop(&mut self) {
        self.with_link(|link, _| link.end_download(self.id));
    }
}

/// Name of the budget toward a host, which is brought up to date
fn budget(host: &Host, document: &Document, to: &HostId) -> Option<CompactString> {
    if document.links.is_empty() {
        return None;
    }
    let region = |zone: &ZoneId| document.zones.get(zone).map(|zone| &zone.region);
    let own = region(&host.settings.zone)?;
    let view = lock(&host.view);
    let other = region(&view.hosts().get(to)?.info.zone)?;
    let name = format_compact!("{own}/{other}");
    let budget = document.links.get(&name)?.bytes_per_second;
    let sharing = view
        .hosts()
        .values()
        .filter(|known| known.state != State::Dead && region(&known.info.zone) == Some(own));
    let sharing = sharing.count();
    drop(view);
    let now = Instant::now();
    lock(&host.link_budgets)
        .entry(name.clone())
        .and_modify(|link| link.set_rate(now, budget, sharing))
        .or_insert_with(|| Link::new(now, budget, sharing));
    Some(name)
}
