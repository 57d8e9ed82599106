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

/// Fake platform on a free loopback port
pub struct FakePlatform {
    pub address: SocketAddr,
    _task: Task<std::io::Result<()>>,
}

impl FakePlatform {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("cannot bind a loopback port");
        let address = listener.local_addr().expect("listener has no address");
        let serve = async move { Platform::new().serve(listener, "all".to_owned()).await };
        Self {
            address,
            _task: smol::spawn(serve),
        }
    }

    pub fn client(&self) -> Client {
        Client::new(vec![self.address]).with_timeout(Duration::from_millis(500))
    }

    pub async fn set_faults(&self, faults: Value) {
        let mut request = http::request(Method::Put, self.address, "/control");
        request.set_body(faults.to_string());
        let response = http::call(self.address, request, Duration::from_secs(5)).await;
        assert_eq!(
            response.expect("fake platform does not respond").status(),
            200
        );
    }

    /// Returns the number of attempted writes
    pub async fn write_count(&self) -> u64 {
        let request = http::request(Method::Get, self.address, "/calls");
        let response = http::call(self.address, request, Duration::from_secs(5)).await;
        let calls: Value =
            serde_json::from_slice(&response.expect("fake platform does not respond").body)
                .expect("calls are not JSON");
        calls["writes"].as_u64().expect("writes are not counted")
    }

    pub async fn current_revision(&self) -> Revision {
        let object = self
            .client()
            .read(config::OBJECT_NAME)
            .await
            .expect("cannot read the revision");
        object.map_or_else(Revision::default, |object| {
            Revision::decode(&object.body).expect("cannot decode the revision")
        })
    }
}

pub fn base_document() -> Value {
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

pub fn patch(base: Version, id: &str, change: Value) -> Patch {
    Patch {
        id: id.into(),
        base,
        who: "ann".into(),
        why: "test".into(),
        change,
    }
}

pub fn lookup_lifetime(seconds: u64) -> Value {
    json!({"lookup_lifetime": format!("{seconds}s")})
}
