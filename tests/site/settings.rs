//! Settings files of hosts that change while they run.

use std::path::PathBuf;
use std::process::{Command, Output};

use super::Site;

impl Site {
    /// Returns the path of the settings file of a host
    pub fn settings_path(&self, index: usize) -> PathBuf {
        let name = &self.gateways[index].name;
        self.directory.join(format!("{name}.yaml"))
    }

    /// Replaces the limits in the settings file of a host
    pub fn set_limits(&self, index: usize, limits: &str) {
        let path = self.settings_path(index);
        let settings = std::fs::read_to_string(&path).expect("settings were written");
        let other_lines = settings.lines().filter(|line| !line.starts_with("limits:"));
        let mut lines: Vec<&str> = other_lines.collect();
        let limits = format!("limits: {{{limits}}}\n");
        lines.push(&limits);
        std::fs::write(path, lines.join("\n")).expect("settings are written");
    }

    /// Checks the settings file of a host as an operator does
    pub fn check_settings(&self, index: usize) -> Output {
        let command = Command::new(env!("CARGO_BIN_EXE_pier-gate"))
            .arg("--check")
            .env("TANAGERPIER_NODE_FILE", self.settings_path(index))
            .output();
        command.expect("it runs")
    }
}
