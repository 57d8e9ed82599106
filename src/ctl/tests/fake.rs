use std::net::SocketAddr;
use std::time::Duration;

use http_types::Method;
use serde_json::{Value, json};
use smol::Task;
use smol::net::TcpListener;

use crate::config::{self, Patch, Revision};
use crate::http;
use crate::id::Version;
use crate::object::Client;
use crate::standin::platform::Platform;

/// Stand-in platform on a free port
pub struct Fake {
    pub address: SocketAddr,
    _task: Task<std::io::Result<()>>,
}

impl Fake {
    pub async fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let address = listener.local_addr().expect("has an address");
        let serve = async move { Platform::new().serve(listener, "all".to_owned()).await };
        Self {
            address,
            _task: smol::spawn(serve),
        }
    }

    pub fn client(&self) -> Client {
        Client::new(vec![self.address]).with_timeout(Duration::from_millis(500))
    }

    pub async fn control(&self, faults: Value) {
        let mut request = http::request(Method::Put, self.address, "/control");
        request.set_body(faults.to_string());
        let answer = http::call(self.address, request, Duration::from_secs(5)).await;
        assert_eq!(answer.expect("answers").status(), 200);
    }

    /// Number of writes that were tried
    pub async fn writes(&self) -> u64 {
        let request = http::request(Method::Get, self.address, "/calls");
        let answer = http::call(self.address, request, Duration::from_secs(5)).await;
        let calls: Value = serde_json::from_slice(&answer.expect("answers").body).expect("reads");
        calls["writes"].as_u64().expect("is counted")
    }

    pub async fn present(&self) -> Revision {
        let object = self
            .client()
            .read(config::OBJECT_NAME)
            .await
            .expect("reads");
        object.map_or_else(Revision::default, |object| {
            Revision::decode(&object.body).expect("decodes")
        })
    }
}

pub fn base() -> Value {
    json!({
        "zones": {"a-1": {"region": "a"}, "a-2": {"region": "a"}, "b-1": {"region": "b"}},
        "services": {
            "turni": {
                "endpoints": {
                    "e1": {"zone": "a-1", "address": "127.0.0.1:9001", "slots": 3},
                    "e2": {"zone": "a-2", "address": "127.0.0.1:9002", "slots": 3},
                },
                "shift": {"share": 0.1, "rate": 100.0, "window": "10s"},
            },
            "documenti": {
                "endpoints": {"e1": {"zone": "a-1", "address": "127.0.0.1:9003", "slots": 3}},
            },
        },
    })
}

pub fn patch(on: Version, id: &str, change: Value) -> Patch {
    Patch {
        id: id.into(),
        base: on,
        who: "ann".into(),
        why: "test".into(),
        change,
    }
}

pub fn lifetime(seconds: u64) -> Value {
    json!({"lookup_lifetime": format!("{seconds}s")})
}
