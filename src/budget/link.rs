//! Budget of the bytes that one host may send over the link between two regions.
//!
//! The live hosts of the sending region share the link's budget equally. Most of a host's part is
//! for interactive responses. Downloads have a small part of their own, so that none starves, and
//! may use what interactive responses leave of the larger part; they take turns.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::TokenBucket;

/// Window over which the bytes of a link are limited
pub const WINDOW: Duration = Duration::from_secs(1);

/// Fraction of a budget that is reserved for downloads
pub const DOWNLOAD_RATIO: f64 = 0.1;

/// Fraction of the interactive burst that downloads must leave
const INTERACTIVE_RESERVE_RATIO: f64 = 0.5;

/// Number of bytes that a download sends in one turn
pub const DOWNLOAD_TURN_BYTES: u64 = 64 << 10;

/// Shortest delay before a download retries, and the delay per download ahead in the queue
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum number of retry intervals in one delay
const MAX_RETRY_INTERVALS: u32 = 10;

/// How long a download may be inactive before it loses its turn
const TURN_TIMEOUT: Duration = Duration::from_secs(1);

/// Identifier of a download on a link
pub type DownloadId = u64;

/// Budget of this host on one link
#[derive(Debug)]
pub struct Link {
    interactive: TokenBucket,
    downloads: TokenBucket,
    turns: VecDeque<Turn>,
}

#[derive(Debug)]
struct Turn {
    id: DownloadId,
    last_request: Instant,
    remaining_bytes: u64,
}

impl Link {
    /// Creates the budget of one of `hosts` hosts that share `bytes_per_second`
    pub fn new(now: Instant, bytes_per_second: u64, hosts: usize) -> Self {
        let (interactive, downloads) = split_rate(bytes_per_second, hosts);
        Self {
            interactive: TokenBucket::new(now, interactive, WINDOW),
            downloads: TokenBucket::new(now, downloads, WINDOW),
            turns: VecDeque::new(),
        }
    }

    /// Changes the shared rate or the number of hosts
    pub fn set_rate(&mut self, now: Instant, bytes_per_second: u64, hosts: usize) {
        let (interactive, downloads) = split_rate(bytes_per_second, hosts);
        self.interactive.set_rate(now, interactive, WINDOW);
        self.downloads.set_rate(now, downloads, WINDOW);
    }

    /// Returns the time until an interactive request may be sent; zero if it may be now
    pub fn interactive_wait(&self, now: Instant) -> Duration {
        let wait = self.interactive.wait_time(now, 1.0);
        wait.unwrap_or(WINDOW)
    }

    /// Charges the bytes of an interactive response, which is never delayed once its request has run
    pub fn charge_interactive(&mut self, now: Instant, bytes: u64) {
        self.interactive.charge(now, bytes as f64);
    }

    /// Returns the number of bytes that a download may send now, or the delay before it may retry
    pub fn grant_download(
        &mut self,
        now: Instant,
        id: DownloadId,
        wanted: u64,
    ) -> Result<u64, Duration> {
        self.queue_turn(now, id);
        let ahead = self.turns.iter().position(|turn| turn.id == id);
        if let Some(ahead @ 1..) = ahead {
            return Err(RETRY_INTERVAL
                * u32::try_from(ahead)
                    .unwrap_or(u32::MAX)
                    .min(MAX_RETRY_INTERVALS));
        }
        let remaining = self.turns.front().map_or(0, |turn| turn.remaining_bytes);
        let wanted = wanted.min(remaining) as f64;
        let reserved = self.interactive.burst() * INTERACTIVE_RESERVE_RATIO;
        let spare = (self.interactive.available(now) - reserved).max(0.0);
        let own_bytes = self.downloads.take_up_to(now, wanted.floor()).floor();
        let borrowed = (wanted - own_bytes).min(spare).floor();
        let borrowed = self.interactive.take_up_to(now, borrowed);
        let granted = (own_bytes + borrowed) as u64;
        if granted == 0 {
            return Err(self
                .downloads
                .wait_time(now, 1.0)
                .unwrap_or(WINDOW)
                .max(RETRY_INTERVAL));
        }
        self.spend_turn(granted);
        Ok(granted)
    }

    /// Removes a finished download from the queue
    pub fn end_download(&mut self, id: DownloadId) {
        self.turns.retain(|turn| turn.id != id);
    }

    fn spend_turn(&mut self, granted: u64) {
        let Some(turn) = self.turns.front_mut() else {
            return;
        };
        turn.remaining_bytes = turn.remaining_bytes.saturating_sub(granted);
        if turn.remaining_bytes == 0 {
            turn.remaining_bytes = DOWNLOAD_TURN_BYTES;
            self.turns.rotate_left(1);
        }
    }

    fn queue_turn(&mut self, now: Instant, id: DownloadId) {
        match self.turns.iter_mut().find(|turn| turn.id == id) {
            Some(turn) => turn.last_request = now,
            None => self.turns.push_back(Turn {
                id,
                last_request: now,
                remaining_bytes: DOWNLOAD_TURN_BYTES,
            }),
        }
        self.turns
            .retain(|turn| now < turn.last_request + TURN_TIMEOUT);
    }
}

/// Returns the rates of one host for interactive responses and for downloads
fn split_rate(bytes_per_second: u64, hosts: usize) -> (f64, f64) {
    let rate = bytes_per_second as f64 / hosts.max(1) as f64;
    (rate * (1.0 - DOWNLOAD_RATIO), rate * DOWNLOAD_RATIO)
}
