//! A child process that is killed by its process id when dropped.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::{Duration, Instant};

/// Interval between two checks for the exit of a process
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running process
pub struct Process {
    child: Child,
    stdout: BufReader<ChildStdout>,
}

impl Process {
    /// Starts a stand-in with its own log file
    pub fn standin(directory: &Path, name: &str, args: &[&str]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pier-standin"));
        command.args(args);
        Self::spawn(command, directory, name)
    }

    /// Starts an entry host with its own log file
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
        let stdout = child.stdout.take().expect("stdout is piped");
        Self {
            child,
            stdout: BufReader::new(stdout),
        }
    }

    /// Reads the next listen address from its standard output
    pub fn read_listen_address(&mut self) -> SocketAddr {
        let mut line = String::new();
        self.stdout
            .read_line(&mut line)
            .expect("stdout is readable");
        let address = line.trim().strip_prefix("listening ");
        let address = address.and_then(|text| text.parse().ok());
        address.unwrap_or_else(|| panic!("no listen address in {line:?}"))
    }

    /// Sends a signal such as `TERM`
    pub fn signal(&self, signal: &str) {
        let command = format!("kill -{signal} {}", self.child.id());
        let status = Command::new("sh").args(["-c", &command]).status();
        assert!(status.expect("sh runs").success(), "{command}");
    }

    /// Kills the process and waits for its exit
    pub fn kill(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process exits");
    }

    /// Returns whether the process has exited
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().expect("a child process").is_some()
    }

    /// Returns whether the process has exited and has not been reaped yet
    pub fn is_zombie(&self) -> bool {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        stat.is_ok_and(|stat| stat.contains(") Z "))
    }

    /// Waits for the process to exit and returns whether it exited in time and successfully
    pub fn exits_successfully(&mut self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().expect("a child process") {
                return status.success();
            }
            std::thread::sleep(POLL_INTERVAL);
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
