//! Lookups: `GET /lookup?service=S&block=B`.

use std::net::SocketAddr;
use std::time::Instant;

use http_types::{Method, Request, Response};
use serde::Serialize;

use crate::caller::answer;
use crate::caller::head::Head;
use crate::entry::{Host, lock, refusal};
use crate::id::{BlockId, ServiceId};
use crate::wire::Cause;

/// Number of tickets in one response
pub const TICKETS_PER_LOOKUP: usize = 4;

/// Response to a lookup
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LookupResponse {
    /// Caller addresses of entry hosts, in order of preference
    pub hosts: Vec<SocketAddr>,
    /// Number of seconds for which the response may be cached
    pub lifetime: u64,
    /// Tickets for once-only requests
    pub tickets: Vec<String>,
}

impl LookupResponse {
    /// Returns the response as lines, each with a key and a value
    pub fn to_plain_text(&self) -> String {
        let hosts = self.hosts.iter().map(|host| format!("host {host}\n"));
        let lifetime = std::iter::once(format!("lifetime {}\n", self.lifetime));
        let tickets = self
            .tickets
            .iter()
            .map(|ticket| format!("ticket {ticket}\n"));
        hosts.chain(lifetime).chain(tickets).collect()
    }
}

#[derive(Debug, Default)]
struct Query {
    service: ServiceId,
    block: Option<BlockId>,
}

/// Handles a lookup
pub fn handle(host: &Host, request: &Request, head: &Head) -> Response {
    if request.method() != Method::Get {
        return answer::plain_text(405, "look-ups are made with GET\n");
    }
    let query = parse_query(&head.target);
    let Some(block) = query.block else {
        return answer::plain_text(400, "use /lookup?service=NAME&block=NUMBER\n");
    };
    let revision = host.revision();
    if revision.number == 0 {
        return answer::not_run(&refusal(Cause::NoService), fastrand::u64(..));
    }
    if !revision.document.services.contains_key(&query.service) {
        return answer::unknown_service(&query.service, fastrand::u64(..));
    }
    let response = build_response(host, &query.service, block);
    if prefers_json(request) {
        let mut http_response =
            answer::plain_text(200, &serde_json::to_string(&response).unwrap_or_default());
        http_response.insert_header("content-type", "application/json");
        return http_response;
    }
    answer::plain_text(200, &response.to_plain_text())
}

fn build_response(host: &Host, service: &ServiceId, block: BlockId) -> LookupResponse {
    let revision = host.revision();
    let document = &revision.document;
    let names = lock(&host.lookups).table().hosts(block);
    let view = lock(&host.view);
    let is_offered =
        |name: &&crate::id::HostId| !host.is_stopping() || **name != host.settings.host;
    let offered_names = names.iter().filter(is_offered);
    let offered_hosts = offered_names.filter_map(|name| view.hosts().get(name));
    let hosts = offered_hosts.map(|host| host.info.caller).collect();
    drop(view);
    let service_config = document.services.get(service);
    let has_once_only = service_config.is_some_and(|service| !service.once_only.is_empty());
    let ticket_count = if has_once_only && !host.is_stopping() {
        TICKETS_PER_LOOKUP
    } else {
        0
    };
    let mut table = lock(&host.tickets);
    let now = Instant::now();
    LookupResponse {
        hosts,
        lifetime: document.lookup_lifetime.as_secs(),
        tickets: (0..ticket_count)
            .map(|_| table.issue(now, service).to_string())
            .collect(),
    }
}

/// Returns whether to respond in JSON, the default unless the caller accepts plain text
fn prefers_json(request: &Request) -> bool {
    let accept = request
        .header("accept")
        .map(|values| values.last().as_str());
    !accept.is_some_and(|accept| accept.contains("text/plain"))
}

fn parse_query(target: &str) -> Query {
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
