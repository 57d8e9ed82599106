//! Faults of endpoints that last throughout a run, chosen by its seed.

use tanagerpier::platform::standin::endpoint::{Faults, RefusalCopies};

use super::Site;

/// Seed from which on one endpoint limits the requests of all hosts together throughout the run
pub const FIRST_LIMIT_SEED: u64 = 2000;

/// That endpoint, and the requests a second that it takes
pub const LIMITED_SERVER: usize = 0;
pub const LIMIT: (&str, f64) = ("3", 3.0);

/// Seed from which on, at even seeds, all endpoints refuse requests throughout the run and send copies of
/// the refusals
pub const FIRST_COPY_SEED: u64 = 3000;

/// Part of the requests that such endpoints refuse
const REFUSAL_RATIO: f64 = 0.4;

/// Replaces the faults of an endpoint, but for those that last throughout the run
pub fn set_faults(site: &Site, server: usize, faults: Faults) {
    let endpoint = &site.servers[server].endpoint;
    let lasting = endpoint.faults();
    endpoint.set_faults(Faults {
        server_limit: lasting.server_limit,
        refusal_ratio: lasting.refusal_ratio,
        refusal_copies: lasting.refusal_copies,
        ..faults
    });
}

/// Sets the faults that last throughout the run
pub fn start(site: &Site, seed: u64) {
    for (index, server) in site.servers.iter().enumerate() {
        let is_limited = index == LIMITED_SERVER && seed >= FIRST_LIMIT_SEED;
        let refusal_copies = match seed % 4 {
            0 if seed >= FIRST_COPY_SEED => RefusalCopies::SameAttempt,
            2 if seed >= FIRST_COPY_SEED => RefusalCopies::NextAnswer,
            _ => RefusalCopies::None,
        };
        let refuses = refusal_copies != RefusalCopies::None;
        server.endpoint.set_faults(Faults {
            server_limit: is_limited.then_some(LIMIT.0),
            refusal_ratio: if refuses { REFUSAL_RATIO } else { 0.0 },
            refusal_copies,
            ..Faults::default()
        });
    }
}
