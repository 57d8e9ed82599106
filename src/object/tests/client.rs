use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http_types::Method;
use serde_json::json;
use smol::Task;
use smol::net::TcpListener;

use crate::http;
use crate::object::{Client, Error, Kind, Total};
use crate::standin::platform::Platform;

const TIMEOUT: Duration = Duration::from_millis(300);

/// Simulated platform on a free port
struct FakePlatform {
    address: SocketAddr,
    _task: Task<std::io::Result<()>>,
}

impl FakePlatform {
    async fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let address = listener.local_addr().expect("has an address");
        let serve = async move { Platform::new().serve(listener, "all".to_owned()).await };
        Self {
            address,
            _task: smol::spawn(serve),
        }
    }

    async fn set_faults(&self, faults: serde_json::Value) {
        let mut request = http::request(Method::Put, self.address, "/control");
        request.set_body(faults.to_string());
        let answer = http::call(self.address, request, Duration::from_secs(5)).await;
        assert_eq!(answer.expect("answers").status(), 200);
    }
}

/// Returns an address without a listener
async fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    listener.local_addr().expect("has an address")
}

#[test]
fn objects_can_be_read_written_and_watched() {
    smol::block_on(async {
        let platform = FakePlatform::new().await;
        let client = Client::new(vec![platform.address]);
        assert_eq!(client.read("a").await.expect("reads"), None);
        let first = client
            .write("a", b"1".to_vec(), None)
            .await
            .expect("writes");
        let duplicate = client.write("a", b"x".to_vec(), None).await;
        assert!(
            matches!(duplicate, Err(Error::Conflict(_))),
            "{duplicate:?}"
        );
        let second = client
            .write("a", b"2".to_vec(), Some(first))
            .await
            .expect("writes");
        let stale = client.write("a", b"3".to_vec(), Some(first)).await;
        assert!(matches!(stale, Err(Error::Conflict(_))), "{stale:?}");
        let read = client.read("a").await.expect("reads").expect("exists");
        assert_eq!((read.version, read.body), (second, b"2".to_vec()));
        let unchanged = client
            .watch("a", second, Duration::ZERO)
            .await
            .expect("waits");
        assert_eq!(unchanged, None);
        let watched = client.watch("a", first, Duration::from_secs(5)).await;
        assert_eq!(watched.expect("watches").expect("is newer").version, second);
        assert!(client.hosts().await.expect("lists").is_empty());
        assert!(client.leaving_upstreams().await.expect("lists").is_empty());
        let total = |sent| Total { sent, failed: 0 };
        assert_eq!(client.counters().total(Kind::Write), total(4));
        assert_eq!(client.counters().total(Kind::Read), total(2));
        assert_eq!(client.counters().total(Kind::Watch), total(2));
    });
}

#[test]
fn addresses_are_tried_in_turn() {
    smol::block_on(async {
        let platform = FakePlatform::new().await;
        let client = Client::new(vec![unused_address().await, platform.address]);
        client
            .write("a", b"1".to_vec(), None)
            .await
            .expect("writes to the second address");
        client.read("a").await.expect("reads").expect("exists");
        let total = client.counters().total(Kind::Read);
        assert_eq!(total.sent, 1, "the address that answered stays preferred");
        let unreachable = Client::new(vec![unused_address().await]);
        let error = unreachable
            .write("a", vec![], None)
            .await
            .expect_err("has no listener");
        assert!(matches!(error, Error::Unreachable(_)), "{error}");
    });
}

#[test]
fn platform_faults_return_an_error_within_the_timeout() {
    struct Case {
        what: &'static str,
        faults: serde_json::Value,
        read_fails: bool,
    }
    let cases = [
        Case {
            what: "connections are closed",
            faults: json!({"outage": "close"}),
            read_fails: true,
        },
        Case {
            what: "connections hang",
            faults: json!({"outage": "hang"}),
            read_fails: true,
        },
        Case {
            what: "responses are errors",
            faults: json!({"outage": "error"}),
            read_fails: true,
        },
        Case {
            what: "responses are delayed",
            faults: json!({"outage": "none", "delay_ms": 2000}),
            read_fails: true,
        },
        Case {
            what: "response to a write is lost",
            faults: json!({"outage": "none", "delay_ms": 0, "lose_next": 1}),
            read_fails: false,
        },
    ];
    smol::block_on(async {
        let platform = FakePlatform::new().await;
        let client = Client::new(vec![platform.address, platform.address]).with_timeout(TIMEOUT);
        for case in cases {
            platform.set_faults(case.faults).await;
            let before = client.counters().total(Kind::Write);
            let started = Instant::now();
            let error = client.write(case.what, vec![], None).await;
            let error = error.expect_err(case.what);
            assert!(
                matches!(error, Error::Unavailable(_)),
                "{}: {error}",
                case.what
            );
            assert!(started.elapsed() < 3 * TIMEOUT, "{}", case.what);
            let after = client.counters().total(Kind::Write);
            assert_eq!(
                after.sent,
                before.sent + 1,
                "{}: write was repeated",
                case.what
            );
            assert_eq!(after.failed, before.failed + 1, "{}", case.what);
            let read = client.read("a").await;
            assert_eq!(read.is_err(), case.read_fails, "{}: {read:?}", case.what);
        }
    });
}
