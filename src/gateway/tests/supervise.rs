//! Tasks that panic.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use smol::{LocalExecutor, Timer};

use crate::gateway::{Gateway, supervise};
use crate::message::timeout;
use crate::platform::node;

/// Time in which a change of the store must be in force
const MAX_RESTART_TIME: Duration = Duration::from_secs(2);

const SETTINGS: &str = r#"
node_name: "edge-1"
ip: "127.0.0.1"
zone: "north-1"
region: "north"
zones: {north-1: "north"}
listen: {frontend: "127.0.0.1:8161", readiness: "127.0.0.1:8167"}
internal_ports: [7720, 7735]
platform: {address: "127.0.0.1:8169"}
"#;

// A loop that panics must run again within the time in which a change has to be in force.
#[test]
fn loop_that_panicked_never_runs_again() {
    struct Case {
        name: &'static str,
        /// Number of runs that panic before one goes on
        panics: u32,
    }
    let cases = [
        Case {
            name: "no panic",
            panics: 0,
        },
        Case {
            name: "one panic",
            panics: 1,
        },
        Case {
            name: "three panics in a row",
            panics: 3,
        },
    ];
    for case in cases {
        let executor = Rc::new(LocalExecutor::new());
        let settings = node::parse(SETTINGS).expect("the settings are valid");
        let gateway = Rc::new(Gateway::new(settings, executor.clone()));
        let runs = Rc::new(Cell::new(0));
        let counted_runs = runs.clone();
        let task = supervise::keep_running(&gateway, "test", move || {
            let runs = counted_runs.clone();
            async move {
                Timer::after(Duration::from_millis(1)).await;
                runs.set(runs.get() + 1);
                assert!(runs.get() > case.panics, "a fault");
            }
        });
        let ended = executor.run(timeout(Instant::now() + MAX_RESTART_TIME, task));
        let ended = smol::block_on(ended);
        assert_eq!(ended, Some(()), "{}", case.name);
        assert_eq!(runs.get(), case.panics + 1, "{}", case.name);
        let counted = gateway.metrics.prometheus_text(&gateway);
        let is_counted = counted.contains("pier_gate_panics");
        assert_eq!(is_counted, case.panics > 0, "{}", case.name);
    }
}
