//! Bounds of numbers that other programs state.
//!
//! Such a number is brought into its range where it is decoded. Behind that place, a sum of a few of
//! them, or with the present time, cannot overflow.

#![deny(
    clippy::arithmetic_side_effects,
    clippy::indexing_slicing,
    clippy::unchecked_time_subtraction,
    clippy::unwrap_used
)]

use std::time::Duration;

/// Longest time that another program may state; a longer one counts as this one
pub const MAX_DURATION: Duration = Duration::from_secs(366 * 24 * 3600);

/// Largest count that another program may state; a larger one counts as this one
pub const MAX_COUNT: u32 = 1 << 20;

/// Largest rate or weight that another program may state; a larger one counts as this one
pub const MAX_RATIO: f64 = 1e9;

/// Limits a time to [`MAX_DURATION`]
pub fn duration(value: Duration) -> Duration {
    value.min(MAX_DURATION)
}

/// Returns a time in milliseconds, at most [`MAX_DURATION`]
pub fn millis(value: u64) -> Duration {
    duration(Duration::from_millis(value))
}

/// Returns a time in seconds, at most [`MAX_DURATION`]; negative ones and NaN count as zero
pub fn seconds(value: f64) -> Duration {
    let seconds = value.clamp(0.0, MAX_DURATION.as_secs_f64());
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::ZERO)
}

/// Limits a count to [`MAX_COUNT`]
pub fn count(value: u32) -> u32 {
    value.min(MAX_COUNT)
}

/// Limits a rate or weight to [`MAX_RATIO`]; negative ones and NaN count as zero
pub fn ratio(value: f64) -> f64 {
    match value.is_nan() {
        true => 0.0,
        false => value.clamp(0.0, MAX_RATIO),
    }
}

#[cfg(test)]
mod tests;
