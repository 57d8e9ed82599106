//! HTTP server of the operator port.

use http_types::{Method, Request, Response, StatusCode};
use serde::Serialize;
use smol::net::TcpListener;

use super::Source;
use crate::http;
use crate::id::{BlockId, ServiceId};

/// Serves requests of operators until the listener fails
pub async fn serve(listener: TcpListener, source: Source) -> std::io::Result<()> {
    let handler = move |request| {
        let source = source.clone();
        async move { Ok(respond(&request, &source)) }
    };
    http::serve(listener, handler).await
}

/// Returns the response to one request
pub fn respond(request: &Request, source: &Source) -> Response {
    if request.method() != Method::Get {
        return plain_text(StatusCode::MethodNotAllowed, "only GET is served here\n");
    }
    match request.url().path() {
        "/metrics" => metrics(source),
        "/status" => json(&(source.status)()),
        "/events" => json(&(source.events)()),
        "/revision" => json(&*(source.revision)()),
        "/number" => json(&(source.revision)().number),
        "/explain" => explain_text(request, source),
        _ => plain_text(
            StatusCode::NotFound,
            "there is /metrics, /status, /events, /revision, /number and /explain\n",
        ),
    }
}

fn metrics(source: &Source) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(source.metrics.prometheus_text((source.status)()));
    response.insert_header("content-type", "text/plain; version=0.0.4");
    response
}

fn explain_text(request: &Request, source: &Source) -> Response {
    let query_value = |name: &str| {
        let mut pairs = request.url().query_pairs();
        pairs.find(|(key, _)| key == name).map(|(_, value)| value)
    };
    let block = query_value("block").and_then(|text| text.parse::<BlockId>().ok());
    let (Some(service), Some(block)) = (query_value("service"), block) else {
        return plain_text(StatusCode::BadRequest, "give ?service=NAME&block=NUMBER\n");
    };
    match (source.explain)(&ServiceId::from(service), block) {
        Some(explanation) => json(&explanation),
        None => plain_text(
            StatusCode::NotFound,
            "no such service in the configuration in force\n",
        ),
    }
}

fn json(value: &impl Serialize) -> Response {
    let Ok(body) = serde_json::to_string(value) else {
        return plain_text(
            StatusCode::InternalServerError,
            "cannot encode the response\n",
        );
    };
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(body + "\n");
    response.insert_header("content-type", "application/json");
    response
}

fn plain_text(status: StatusCode, text: &str) -> Response {
    let mut response = Response::new(status);
    response.set_body(text);
    response.insert_header("content-type", "text/plain");
    response
}
