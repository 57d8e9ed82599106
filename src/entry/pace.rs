//! Pacing of responses that cross the link between two regions.

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

/// Pacer of one response to another host
#[derive(Debug)]
pub struct Pacer {
    host: Arc<Host>,
    link_name: Option<CompactString>,
    class: Class,
    download_id: u64,
}

impl Pacer {
    /// Creates the pacer of a response to `to`; without a link budget it does not delay anything
    pub fn new(host: &Arc<Host>, service: &ServiceId, to: &HostId) -> Self {
        let revision = host.revision();
        let document = &revision.document;
        let class = document.services.get(service).map(|service| service.class);
        Self {
            host: host.clone(),
            link_name: update_link_budget(host, document, to),
            class: class.unwrap_or_default(),
            download_id: fastrand::u64(..),
        }
    }

    /// Returns how long the link takes no further interactive requests, if it is over its budget
    pub fn interactive_wait(&self) -> Option<Duration> {
        let delay = self.with_link(|link, now| match self.class {
            Class::Interactive => link.interactive_wait(now),
            Class::Download => Duration::ZERO,
        });
        delay.filter(|delay| *delay > Duration::ZERO)
    }

    /// Sends bytes of the response as far and as soon as the link budget grants them
    pub async fn send(&self, exchange: &mut Exchange, mut bytes: Vec<u8>) -> Result<(), Error> {
        while !bytes.is_empty() {
            let chunk = match self.grant(bytes.len() as u64) {
                Ok(granted) => bytes.drain(..granted as usize).collect(),
                Err(wait) => {
                    Timer::after(wait).await;
                    continue;
                }
            };
            exchange.send(&Frame::Body(chunk)).await?;
        }
        Ok(())
    }

    fn grant(&self, wanted_bytes: u64) -> Result<u64, Duration> {
        let granted = self.with_link(|link, now| match self.class {
            Class::Interactive => {
                link.charge_interactive(now, wanted_bytes);
                Ok(wanted_bytes)
            }
            Class::Download => link.grant_download(now, self.download_id, wanted_bytes),
        });
        granted.unwrap_or(Ok(wanted_bytes))
    }

    fn with_link<T>(&self, f: impl FnOnce(&mut Link, Instant) -> T) -> Option<T> {
        let mut links = lock(&self.host.link_budgets);
        let link = links.get_mut(self.link_name.as_ref()?)?;
        Some(f(link, Instant::now()))
    }
}

impl Drop for Pacer {
    fn drop(&mut self) {
        self.with_link(|link, _| link.end_download(self.download_id));
    }
}

/// Updates the budget of the link to a host; returns the name of the link
fn update_link_budget(host: &Host, document: &Document, to: &HostId) -> Option<CompactString> {
    if document.links.is_empty() {
        return None;
    }
    let region = |zone: &ZoneId| document.zones.get(zone).map(|zone| &zone.region);
    let own_region = region(&host.settings.zone)?;
    let view = lock(&host.view);
    let other_region = region(&view.hosts().get(to)?.info.zone)?;
    let name = format_compact!("{own_region}/{other_region}");
    let bytes_per_second = document.links.get(&name)?.bytes_per_second;
    let sharing_hosts = view
        .hosts()
        .values()
        .filter(|host| host.state != State::Dead && region(&host.info.zone) == Some(own_region));
    let sharing_hosts = sharing_hosts.count();
    drop(view);
    let now = Instant::now();
    lock(&host.link_budgets)
        .entry(name.clone())
        .and_modify(|link| link.set_rate(now, bytes_per_second, sharing_hosts))
        .or_insert_with(|| Link::new(now, bytes_per_second, sharing_hosts));
    Some(name)
}
