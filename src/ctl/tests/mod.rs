//! Tests of the subcommands, alone and against a fake platform with injected faults.

mod decide;
mod fake;
mod submit;
