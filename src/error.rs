//! Errors that terminate a program, and their exit codes.

use displaydoc::Display;

/// Exit code when a change is rejected or a checked guarantee does not hold
pub const EXIT_REFUSED: u8 = 1;

/// Exit code for invalid arguments, settings or input files
pub const EXIT_USAGE: u8 = 2;

/// Exit code when a dependency outside the program fails
pub const EXIT_UNAVAILABLE: u8 = 3;

/// Exit code when a change takes effect only in part
pub const EXIT_PARTIAL: u8 = 4;

/// Error that terminates a program
#[derive(Debug, Display)]
pub enum Error {
    /// {0}
    Usage(String),
    /// {0}
    Refused(String),
    /// {0}
    Unavailable(String),
    /// {0}
    Partial(String),
}

impl std::error::Error for Error {}

impl Error {
    /// Returns the exit code of the process
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => EXIT_USAGE,
            Self::Refused(_) => EXIT_REFUSED,
            Self::Unavailable(_) => EXIT_UNAVAILABLE,
            Self::Partial(_) => EXIT_PARTIAL,
        }
    }
}
