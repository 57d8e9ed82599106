//! One child process, ended by its id when dropped.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::{Duration, Instant};

/// Time between two looks at whether a process has ended
const POLL: Duration = Duration::from_millis(10);

/// A running process
pub struct Process {
    child: Child,
    out: BufReader<ChildStdout>,
}

impl Process {
    /// Stand-in with a log file of its own
    pub fn standin(directory: &Path, name: &str, args: &[&str]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pier-standin"));
        command.args(args);
        Self::spawn(command, directory, name)
    }

    /// Entry host with a log file of its own
    pub fn entry(directory: &Path, name: &str, settings: &Path) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pier-entry"));
        command.arg(settings);
        Self::spawn(command, directory, name)
    }

    fn spawn(mut command: Command, directory: &Path, name: &str) -> Self {
        let log = directory.join(format!("{name}.log"));
        let log = File::options().append(true).create(true).open(log);
        command.stdin(Stdio::null());
        command.stdout(Stdio::piped());
        command.stderr(log.expect("a log file"));
        let mut child = command.spawn().expect("the process starts");
        let out = child.stdout.take().expect("its output is a pipe");
        Self {
            child,
            out: BufReader::new(out),
        }
    }

    /// Next address that it prints
    pub fn listening(&mut self) -> SocketAddr {
        let mut line = String::new();
        self.out.read_line(&mut line).expect("a line");
        let address = line.trim().strip_prefix("listening ");
        let address = address.and_then(|text| text.parse().ok());
        address.unwrap_or_else(|| panic!("no address in {line:?}"))
    }

    /// Send a signal such as `TERM`
    pub fn signal(&self, signal: &str) {
        let kill = format!("kill -{signal} {}", self.child.id());
        let sent = Command::new("sh").args(["-c", &kill]).status();
        assert!(sent.expect("sh runs").success(), "{kill}");
    }

    /// End it at once
    pub fn kill(&mut self) {
        self.child.kill().expect("it can be killed");
        self.child.wait().expect("it ends");
    }

    /// Whether it has ended
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_some()
    }

    /// Whether it has ended and nobody has waited for it yet
    pub fn is_over(&self) -> bool {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        stat.is_ok_and(|stat| stat.contains(") Z "))
    }

    /// Wait for its end; whether it came in time and with success
    pub fn ends_well(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status.success();
            }
            std::thread::sleep(POLL);
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
