//! Checked model of "may this request be sent again": every order of sending, running, refusing,
//! crashing, closing, giving up and late copies for two once-only requests at two endpoints, also when
//! a caller sends a refused request again under its id.

use std::collections::{BTreeSet, VecDeque};

use crate::answer::{Distinction, Evidence, History, Verdict, judge};

const REQUESTS: usize = 2;
const ENDPOINTS: usize = 2;

/// Ids of the requests as answers state them
const IDS: [&str; REQUESTS] = ["0", "1"];

/// Number of copies of earlier answers in one history
const MAX_COPIES: u8 = 2;

/// Number of answers to other requests that the host skips on a connection
const MAX_SKIPPED: usize = 2;

/// Number of requests that callers send again in one history
const MAX_RETRIES: u8 = 2;

/// Decisions of the host
#[derive(Clone, Copy)]
struct Host {
    judge: fn(&Evidence<'_>) -> Verdict,
    /// Whether a request may be sent on a connection
    may_carry: fn(&History, &str) -> bool,
}

const HOST: Host = Host {
    judge,
    may_carry: |history, id| history.may_carry(Some(id)),
};

/// Answer to a request, or a copy of it
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Answer {
    request: usize,
    is_refusal: bool,
    states_id: bool,
    /// Only the first part, which the next answer continues
    is_cut: bool,
}

/// Endpoint and the host's connection to it
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Endpoint {
    is_open: bool,
    /// What the connection has carried
    history: History,
    /// Answers on their way to the host
    inbox: VecDeque<Answer>,
    /// Answers that were written on the connection
    written: Vec<Answer>,
    /// Request that arrived and is neither run nor refused
    pending: Option<usize>,
}

/// What the host told the caller
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Told {
    Served,
    NotRun,
    Unknown,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct State {
    endpoints: [Endpoint; ENDPOINTS],
    runs: [u8; REQUESTS],
    told: [Option<Told>; REQUESTS],
    /// Endpoints that the current request was sent to
    tried: [bool; ENDPOINTS],
    /// Endpoint whose answer the host awaits, and the number of answers skipped there
    awaits: Option<(usize, usize, Distinction)>,
    copies: u8,
    retries: u8,
}

impl State {
    /// Request that the host serves now
    fn current(&self) -> Option<usize> {
        self.told.iter().position(Option::is_none)
    }

    fn tell(&mut self, told: Told) {
        if let Some(request) = self.current() {
            self.told[request] = Some(told);
        }
        self.awaits = None;
        self.tried = Default::default();
    }

    /// Closes a connection; the endpoint may go on with what has arrived
    fn close(&mut self, endpoint: usize) {
        let endpoint = &mut self.endpoints[endpoint];
        endpoint.is_open = false;
        endpoint.inbox.clear();
        endpoint.written.clear();
    }

    fn fault(&self) -> Option<String> {
        if self.runs.iter().any(|runs| *runs > 1) {
            return Some(format!("runs twice: {self:?}"));
        }
        let is_lie = |request: usize| {
            let may_run = |endpoint: &Endpoint| endpoint.pending == Some(request);
            self.told[request] == Some(Told::NotRun)
                && (self.runs[request] > 0 || self.endpoints.iter().any(may_run))
        };
        (0..REQUESTS)
            .any(is_lie)
            .then(|| format!("told not run: {self:?}"))
    }

    /// Returns all states that may follow
    fn next(&self, host: Host) -> Vec<Self> {
        let mut states = Vec::new();
        let mut add = |change: &dyn Fn(&mut Self)| {
            let mut state = self.clone();
            change(&mut state);
            states.push(state);
        };
        match (self.current(), self.awaits) {
            (Some(request), None) => {
                for endpoint in (0..ENDPOINTS).filter(|endpoint| !self.tried[*endpoint]) {
                    add(&|state| state.send(request, endpoint, host));
                }
                if self.tried.iter().all(|tried| *tried) {
                    add(&|state| state.tell(Told::NotRun));
                }
            }
            (Some(request), Some((endpoint, skipped, distinction))) => {
                // The request times out, or the connection breaks.
                add(&|state| {
                    state.close(endpoint);
                    state.tell(Told::Unknown);
                });
                if !self.endpoints[endpoint].inbox.is_empty() {
                    add(&|state| state.read(request, endpoint, skipped, distinction, host));
                }
            }
            (None, _) => {}
        }
        for request in (0..REQUESTS).filter(|_| self.awaits.is_none()) {
            // The caller sends the request again under its id.
            if self.told[request] == Some(Told::NotRun) && self.retries < MAX_RETRIES {
                add(&|state| {
                    state.retries += 1;
                    state.told[request] = None;
                    state.tried = Default::default();
                });
            }
        }
        for endpoint in 0..ENDPOINTS {
            if let Some(request) = self.endpoints[endpoint].pending {
                for is_refusal in [false, true] {
                    add(&|state| state.answer(endpoint, request, is_refusal));
                }
                // It runs the request and ends without an answer.
                add(&|state| {
                    state.runs[request] += 1;
                    state.endpoints[endpoint].pending = None;
                });
            }
            if self.copies < MAX_COPIES && self.endpoints[endpoint].is_open {
                for earlier in &self.endpoints[endpoint].written {
                    for (states_id, is_cut) in
                        [(true, false), (false, false), (true, true), (false, true)]
                    {
                        let copy = Answer {
                            states_id,
                            is_cut,
                            ..*earlier
                        };
                        add(&|state| {
                            state.copies += 1;
                            state.endpoints[endpoint].inbox.push_back(copy);
                        });
                    }
                }
            }
        }
        states
    }

    fn send(&mut self, request: usize, index: usize, host: Host) {
        let endpoint = &mut self.endpoints[index];
        let id = IDS[request];
        let may_carry = (host.may_carry)(&endpoint.history, id);
        if !endpoint.is_open || !endpoint.inbox.is_empty() || !may_carry {
            // Bytes that came early close a kept connection.
            endpoint.inbox.clear();
            endpoint.written.clear();
            endpoint.is_open = true;
            endpoint.history = History::new();
        }
        let distinction = endpoint.history.distinction(Some(id));
        endpoint.history.record(Some(id));
        endpoint.pending = Some(request);
        self.tried[index] = true;
        self.awaits = Some((index, 0, distinction));
    }

    fn answer(&mut self, index: usize, request: usize, is_refusal: bool) {
        if !is_refusal {
            self.runs[request] += 1;
        }
        let answer = Answer {
            request,
            is_refusal,
            states_id: true,
            is_cut: false,
        };
        let endpoint = &mut self.endpoints[index];
        endpoint.pending = None;
        if endpoint.is_open {
            endpoint.inbox.push_back(answer);
            endpoint.written.push(answer);
        }
    }

    fn read(
        &mut self,
        request: usize,
        index: usize,
        skipped: usize,
        distinction: Distinction,
        host: Host,
    ) {
        let Some(answer) = self.endpoints[index].inbox.pop_front() else {
            return;
        };
        // A head that another one continues is malformed, and one without an end is awaited.
        if answer.is_cut {
            self.close(index);
            return self.tell(Told::Unknown);
        }
        let ids = [IDS[answer.request]];
        let verdict = (host.judge)(&Evidence {
            sent_id: Some(IDS[request]),
            stated_ids: if answer.states_id { &ids } else { &[] },
            distinction,
            skipped,
            status: if answer.is_refusal { 503 } else { 200 },
            refusals: usize::from(answer.is_refusal),
        });
        match verdict {
            Verdict::Own => self.tell(Told::Served),
            Verdict::NotRun => self.awaits = None,
            Verdict::Foreign if skipped < MAX_SKIPPED => {
                self.awaits = Some((index, skipped + 1, distinction));
            }
            Verdict::Foreign | Verdict::Unclear(_) => {
                self.close(index);
                self.tell(Told::Unknown);
            }
        }
    }
}

/// Returns the number of states, or what is wrong in one of them
fn explore(host: Host) -> Result<usize, String> {
    let mut seen = BTreeSet::from([State::default()]);
    let mut queue = VecDeque::from([State::default()]);
    while let Some(state) = queue.pop_front() {
        if let Some(fault) = state.fault() {
            return Err(fault);
        }
        for next in state.next(host) {
            if seen.insert(next.clone()) {
                queue.push_back(next);
            }
        }
    }
    Ok(seen.len())
}

// No order of events lets a once-only request run twice, or run although it was refused.
#[test]
fn once_only_request_is_sent_again_after_it_ran() {
    let states = explore(HOST).expect("no fault");
    println!("{states} states");
    assert!(states > 10_000, "{states} states only");
}

#[test]
fn model_finds_the_faults_of_weaker_decisions() {
    struct Case {
        name: &'static str,
        host: Host,
    }
    let cases = [
        Case {
            name: "an answer without an id is the own one",
            host: Host {
                judge: |evidence| {
                    judge(&Evidence {
                        distinction: Distinction::First,
                        skipped: 0,
                        ..*evidence
                    })
                },
                ..HOST
            },
        },
        Case {
            name: "ids are not looked at",
            host: Host {
                judge: |evidence| {
                    judge(&Evidence {
                        distinction: Distinction::First,
                        sent_id: None,
                        ..*evidence
                    })
                },
                ..HOST
            },
        },
        Case {
            name: "a connection carries an id again, which is believed",
            host: Host {
                judge: |evidence| {
                    let distinction = match evidence.distinction {
                        Distinction::Ambiguous => Distinction::Id,
                        distinction => distinction,
                    };
                    judge(&Evidence {
                        distinction,
                        ..*evidence
                    })
                },
                may_carry: |_, _| true,
            },
        },
    ];
    for case in cases {
        assert!(explore(case.host).is_err(), "{}", case.name);
    }
}

// Without a second connection, the answer to a repeated id proves nothing.
#[test]
fn repeated_id_on_its_connection_is_believed() {
    let host = Host {
        may_carry: |_, _| true,
        ..HOST
    };
    explore(host).expect("no fault");
}
