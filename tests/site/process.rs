//! One `pier-gate` process, ended by its id when dropped.

use std::fs::File;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A running process
pub struct Process(Child);

impl Process {
    /// Start a host with a log file of its own, or with its log going elsewhere
    pub fn gate(directory: &Path, name: &str, settings: &Path, output: Option<Stdio>) -> Self {
        let log = File::options()
            .append(true)
            .create(true)
            .open(directory.join(format!("{name}.log")))
            .expect("a log file");
        let errors = log.try_clone().expect("a second handle");
        let child = Command::new(env!("CARGO_BIN_EXE_pier-gate"))
            .env("TANAGERPIER_NODE_FILE", settings)
            .stdin(Stdio::null())
            .stdout(output.unwrap_or_else(|| log.into()))
            .stderr(errors)
            .spawn();
        Self(child.expect("the process starts"))
    }

    /// Send a signal such as `TERM`, `STOP` or `CONT`
    pub fn signal(&self, signal: &str) {
        let id = self.0.id().to_string();
        let sent = Command::new("sh")
            .args(["-c", "kill -\"$0\" \"$1\"", signal, &id])
            .status();
        assert!(sent.expect("sh runs").success(), "kill -{signal} {id}");
    }

    /// End it at once
    pub fn kill(&mut self) {
        self.0.kill().expect("it can be killed");
        self.0.wait().expect("it ends");
    }

    /// Whether it has ended
    pub fn is_over(&mut self) -> bool {
        self.0.try_wait().expect("a child").is_some()
    }

    /// Wait for its end; whether it came in time and with success
    pub async fn ends_well(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Some(status) = self.0.try_wait().expect("a child") {
                return status.success();
            }
            smol::Timer::after(Duration::from_millis(10)).await;
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended before.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
