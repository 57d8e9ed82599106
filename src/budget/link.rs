//! Bytes that one host may send over the link between two regions.
//!
//! The link's budget is divided by the live hosts of the sending region. Most of a host's part is
//! for interactive answers. Downloads have a small part of their own, so that none waits for ever,
//! and use of the larger part only what interactive answers leave; they take turns.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::TokenBucket;

/// Time over which the bytes of a link are counted
pub const WINDOW: Duration = Duration::from_secs(1);

/// Part of a budget that downloads always have
pub const DOWNLOAD_RATIO: f64 = 0.1;

/// Part of the saved interactive budget that downloads leave
const KEPT: f64 = 0.5;

/// Bytes that a download sends in one turn
pub const DOWNLOAD_TURN_BYTES: u64 = 64 << 10;

/// Shortest wait before a download asks again
const PAUSE: Duration = Duration::from_millis(5);

/// Most such waits at a time
const PAUSES: u32 = 10;

/// Time after which a download that does not ask loses its turn
const GONE: Duration = Duration::from_secs(1);

/// Number of a download on a link
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
    asked: Instant,
    left: u64,
}

impl Link {
    /// Budget of one of `hosts` hosts that share `bytes_per_second`
    pub fn new(now: Instant, bytes_per_second: u64, hosts: usize) -> Self {
        let (interactive, downloads) = parts(bytes_per_second, hosts);
        Self {
            interactive: TokenBucket::new(now, interactive, WINDOW),
            downloads: TokenBucket::new(now, downloads, WINDOW),
            turns: VecDeque::new(),
        }
    }

    /// Take another budget or number of hosts
    pub fn set_rate(&mut self, now: Instant, bytes_per_second: u64, hosts: usize) {
        let (interactive, downloads) = parts(bytes_per_second, hosts);
        self.interactive.set_rate(now, interactive, WINDOW);
        self.downloads.set_rate(now, downloads, WINDOW);
    }

    /// Time until an interactive request may be sent over the link; zero if it may be now
    pub fn interactive_wait(&self, now: Instant) -> Duration {
        let delay = self.interactive.wait_time(now, 1.0);
        delay.unwrap_or(WINDOW)
    }

    /// Count bytes of an interactive answer; it is never held back once its request has run
    pub fn charge_interactive(&mut self, now: Instant, bytes: u64) {
        self.interactive.charge(now, bytes as f64);
    }

    /// Bytes that a download may send now, or the time until it is to ask again
    pub fn grant_download(
        &mut self,
        now: Instant,
        id: DownloadId,
        want: u64,
    ) -> Result<u64, Duration> {
        self.take_turn(now, id);
        let ahead = self.turns.iter().position(|turn| turn.id == id);
        if let Some(ahead @ 1..) = ahead {
            return Err(PAUSE * u32::try_from(ahead).unwrap_or(u32::MAX).min(PAUSES));
        }
        let left = self.turns.front().map_or(0, |turn| turn.left);
        let want = want.min(left) as f64;
        let kept = self.interactive.burst() * KEPT;
        let spare = (self.interactive.available(now) - kept).max(0.0);
        let own = self.downloads.take_up_to(now, want.floor()).floor();
        let lent = (want - own).min(spare).floor();
        let lent = self.interactive.take_up_to(now, lent);
        let granted = (own + lent) as u64;
        if granted == 0 {
            return Err(self
                .downloads
                .wait_time(now, 1.0)
                .unwrap_or(WINDOW)
                .max(PAUSE));
        }
        self.end_turn(granted);
        Ok(granted)
    }

    /// Forget a download that ended
    pub fn end_download(&mut self, id: DownloadId) {
        self.turns.retain(|turn| turn.id != id);
    }

    fn end_turn(&mut self, granted: u64) {
        let Some(turn) = self.turns.front_mut() else {
            return;
        };
        turn.left = turn.left.saturating_sub(granted);
        if turn.left == 0 {
            turn.left = DOWNLOAD_TURN_BYTES;
            self.turns.rotate_left(1);
        }
    }

    fn take_turn(&mut self, now: Instant, id: DownloadId) {
        match self.turns.iter_mut().find(|turn| turn.id == id) {
            Some(turn) => turn.asked = now,
            None => self.turns.push_back(Turn {
                id,
                asked: now,
                left: DOWNLOAD_TURN_BYTES,
            }),
        }
        self.turns.retain(|turn| now < turn.asked + GONE);
    }
}

fn parts(bytes_per_second: u64, hosts: usize) -> (f64, f64) {
    let part = bytes_per_second as f64 / hosts.max(1) as f64;
    (part * (1.0 - DOWNLOAD_RATIO), part * DOWNLOAD_RATIO)
}
