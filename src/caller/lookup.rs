//! Look-ups: `GET /lookup?service=S&block=B`.

use std::net::SocketAddr;
use std::time::Instant;

use http_types::{Method, Request, Response};
use serde::Serialize;

use crate::caller::answer;
use crate::caller::head::Head;
use crate::entry::{Host, lock, refusal};
use crate::id::{BlockId, ServiceId};
use crate::wire::Cause;

/// Tickets in one answer
pub const TICKETS: usize = 4;

/// Answer to a look-up
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Found {
    /// Caller addresses of entry hosts, best first
    pub hosts: Vec<SocketAddr>,
    /// Seconds for which the answer may be kept
    pub lifetime: u64,
    /// Tickets for once-only requests
    pub tickets: Vec<String>,
}

impl Found {
    /// The answer as lines of a word and a value
    pub fn plain(&self) -> String {
        let hosts = self.hosts.iter().map(|host| format!("host {host}\n"));
        let lifetime = std::iter::once(format!("lifetime {}\n", self.lifetime));
        let tickets = self.tickets.iter().map(|one| format!("ticket {one}\n"));
        hosts.chain(lifetime).chain(tickets).collect()
    }
}

#[derive(Debug, Default)]
struct Query {
    service: ServiceId,
    block: Option<BlockId>,
}

/// Answer a look-up
pub fn answer(host: &Host, request: &Request, head: &Head) -> Response {
    if request.method() != Method::Get {
        return answer::plain(405, "look-ups are made with GET\n");
    }
    let query = query(&head.target);
    let Some(block) = query.block else {
        return answer::plain(400, "use /lookup?service=NAME&block=NUMBER\n");
    };
    let revision = host.revision();
    if revision.number == 0 {
        return answer::not_run(&refusal(Cause::NoService), fastrand::u64(..));
    }
    if !revision.document.services.contains_key(&query.service) {
        return answer::unknown_service(&query.service, fastrand::u64(..));
    }
    let found = find(host, &query.service, block);
    if json(request) {
        let mut response = answer::plain(200, &serde_json::to_string(&found).unwrap_or_default());
        response.insert_header("content-type", "application/json");
        return response;
    }
    answer::plain(200, &found.plain())
}

fn find(host: &Host, service: &ServiceId, block: BlockId) -> Found {
    let revision = host.revision();
    let document = &revision.document;
    let names = lock(&host.lookups).table().hosts(block);
    let view = lock(&host.view);
    let stays = |name: &&crate::id::HostId| !host.is_stopping() || **name != host.settings.host;
    let known = names.iter().filter(stays);
    let known = known.filter_map(|name| view.hosts().get(name));
    let hosts = known.map(|known| known.info.caller).collect();
    drop(view);
    let once = document.services.get(service);
    let once = once.is_some_and(|service| !service.once_only.is_empty());
    let tickets = if once && !host.is_stopping() {
        TICKETS
    } else {
        0
    };
    let mut table = lock(&host.tickets);
    let now = Instant::now();
    Found {
        hosts,
        lifetime: document.lookup_lifetime.as_secs(),
        tickets: (0..tickets)
            .map(|_| table.issue(now, service).to_string())
            .collect(),
    }
}

fn json(request: &Request) -> bool {
    let accept = request
        .header("accept")
        .map(|values| values.last().as_str());
    !accept.is_some_and(|accept| accept.contains("text/plain"))
}

fn query(target: &str) -> Query {
    let mut query = Query::default();
    let pairs = target.split_once('?').map_or("", |(_, pairs)| pairs);
    for pair in pairs.split('&') {
        match pair.split_once('=') {
            Some(("service", name)) => query.service = name.into(),
            Some(("block", number)) => query.block = number.parse().ok(),
            _ => {}
        }
    }
    query
}
