//! What it costs the hosts of a region that half of its endpoints name limits within one second.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, Member, Report, load_report_interval};
use crate::gateway::datagram::{self, LimitNews, Message};
use crate::gateway::limit::wire::{Answer, Ask, Message as Question};
use crate::gateway::limit::{decode_statement, encode_news};
use crate::id::HostId;
use crate::limit::{Register, Statement, Verdict};
use crate::util::stable_hash;

const REGION: &str = "bne";

/// Bytes of the headers of a datagram
const HEADER_BYTES: usize = 28;

/// Requests a second that a host serves, and endpoints that a request asks at most
const REQUESTS_PER_SECOND: f64 = 12.0;
const ASKED: f64 = 3.0;

/// Processor time for which each call is repeated, in nanoseconds
const MIN_NANOS: u64 = 300_000_000;

#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    /// Hosts of a region
    hosts: usize,
    /// Endpoints of a region with limits, half of them all
    limited: usize,
}

fn host_name(number: usize) -> String {
    format!(
        "edge-{REGION}-{}-{}",
        ["a", "b", "c"][number % 3],
        number / 3
    )
}

fn endpoint_id(number: usize) -> String {
    format!("i-{:010x}", stable_hash(&number) >> 24)
}

fn run(number: usize) -> u64 {
    stable_hash(&(endpoint_id(number), 1_800_000_000_000_u64))
}

fn fleet(hosts: usize) -> Fleet {
    let mut fleet = Fleet::new(host_name(0).as_str().into());
    let members = (0..hosts).map(|number| {
        let address = format!("10.4.{}.{}:8160", number / 200, number % 200 + 1);
        let address = address.parse().expect("an address");
        Member {
            host: host_name(number).as_str().into(),
            zone: "a".into(),
            region: REGION.into(),
            caller: address,
            peer: address,
            control: None,
            incarnation: 1,
            weight: 1.0,
            revision: 1,
        }
    });
    fleet.replace(Instant::now(), members.collect());
    fleet
}

fn report(limits: Vec<LimitNews>) -> Message {
    let report = Report {
        host: host_name(0).as_str().into(),
        region: REGION.into(),
        ..Report::default()
    };
    Message {
        report,
        watermarks: Default::default(),
        suspects: Vec::new(),
        cannot_read_store: false,
        region_demand: Default::default(),
        reads_store: false,
        store_reader: None,
        held: 0,
        limits,
        sequence: 1,
    }
}

/// Returns the processor time of this thread in nanoseconds
fn processor_nanos() -> u64 {
    let times =
        std::fs::read_to_string("/proc/thread-self/schedstat").expect("times of the thread");
    let running = times.split(' ').next().expect("a first field");
    running.parse().expect("a number of nanoseconds")
}

/// Returns the mean processor time of a call in microseconds
fn micros(mut call: impl FnMut(usize)) -> f64 {
    let start = processor_nanos();
    let mut calls = 0;
    loop {
        call(calls);
        calls += 1;
        // The times are exact to some milliseconds.
        if calls.is_power_of_two() || calls % 4096 == 0 {
            let elapsed = processor_nanos() - start;
            if elapsed >= MIN_NANOS {
                return elapsed as f64 / 1e3 / calls as f64;
            }
        }
    }
}

fn statement(now: Instant, number: usize) -> Statement {
    Statement {
        rate: Some(0.5 + number as f64 / 7.0),
        heard_at: now,
    }
}

fn register(now: Instant, limited: usize) -> Register {
    let mut register = Register::new();
    (0..limited).for_each(|number| {
        register.record(now, run(number), statement(now, number));
    });
    register
}

/// Returns the number of endpoints that each host owns
fn owned_counts(case: Case, fleet: &Fleet, now: Instant) -> Vec<usize> {
    let electorate = fleet.electorate(now, REGION, false, |_| false);
    let mut counts: BTreeMap<HostId, usize> = BTreeMap::new();
    for number in 0..case.hosts {
        counts.insert(host_name(number).as_str().into(), 0);
    }
    for number in 0..case.limited {
        let owner = electorate.owner(&endpoint_id(number)).expect("a host");
        *counts.entry(owner.host).or_default() += 1;
    }
    counts.into_values().collect()
}

fn measure(case: Case) {
    let now = Instant::now() + Duration::from_secs(1000);
    let fleet = fleet(case.hosts);
    let counts = owned_counts(case, &fleet, now);
    let most_owned = counts.iter().copied().max().unwrap_or_default();
    let mean_owned = case.limited as f64 / case.hosts as f64;
    let mut known = register(now, case.limited);

    let learn = micros(|_| {
        black_box(register(now, case.limited));
    });
    let choose = micros(|number| {
        let electorate = fleet.electorate(now, REGION, false, |_| false);
        black_box(electorate.owner(&endpoint_id(number)));
    });
    // As for a report: all choices, then what is owned.
    let own = host_name(0);
    let ids: Vec<String> = (0..case.limited).map(endpoint_id).collect();
    let tell = micros(|_| {
        let electorate = fleet.electorate(now, REGION, false, |_| false);
        let chosen = (0..case.limited).filter(|number| {
            let owner = electorate.owner(&ids[*number]);
            owner.is_some_and(|owner| owner.host == own.as_str())
        });
        let chosen: Vec<u64> = chosen.map(run).collect();
        let news = encode_news(now, known.news(now, |run| chosen.contains(&run)));
        black_box(datagram::encode(&report(news)));
    });
    let news_of = |count: usize| {
        let news = (0..count).map(|number| (run(number), Some(0.5 + number as f64 / 7.0), 700));
        news.collect::<Vec<LimitNews>>()
    };
    let without = datagram::encode(&report(Vec::new())).len();
    let size_of = |count: usize| datagram::encode(&report(news_of(count))).len() - without;
    let sum: usize = counts.iter().map(|count| size_of(*count)).sum();
    let bytes = sum as f64 / case.hosts as f64;
    let most_bytes = size_of(most_owned);
    let received = datagram::encode(&report(news_of(mean_owned.ceil() as usize)));
    let hear = micros(|_| {
        let message = datagram::decode(&received).expect("a report");
        for (run, rate, age) in &message.limits {
            known.record(now, *run, decode_statement(now, (*rate, *age)));
        }
    });
    let ask = Question::Ask(Ask {
        host: host_name(0).as_str().into(),
        number: u64::MAX / 3,
        endpoint: endpoint_id(0).as_str().into(),
        run: run(0),
        statement: (Some(1.5), 700),
        wants_permit: true,
    });
    let answer = Question::Answer(Answer {
        host: host_name(1).as_str().into(),
        number: u64::MAX / 3,
        verdict: Verdict::Exhausted(Duration::from_millis(437)),
        statement: Some((Some(1.5), 700)),
    });
    let size = |message: &Question| postcard::to_stdvec(message).expect("plain data").len() + 1;
    let owner_since = now - Duration::from_secs(60);
    let decide = micros(|number| {
        let number = number % case.limited;
        black_box(known.decide(now, run(number), owner_since));
    });

    let interval = load_report_interval(case.hosts - 1).as_secs_f64();
    let receivers = (case.hosts - 1) as f64;
    let report_bytes = bytes * receivers / interval;
    let report_micros = (tell + hear * receivers) / interval;
    let question_bytes = (size(&ask) + size(&answer) + 2 * HEADER_BYTES) as f64;
    let asked_per_second = REQUESTS_PER_SECOND * ASKED;
    let question_micros = asked_per_second * (choose + choose + decide);
    println!(
        "{}: {} hosts, {} limited, {mean_owned:.1} owned, {most_owned} at most",
        case.name, case.hosts, case.limited
    );
    println!(
        "  learned {learn:.0} us in all; an owner chosen {choose:.1} us; a report {tell:.0} us, \
         heard {hear:.1} us; decided {decide:.2} us"
    );
    println!(
        "  the first second: {} tellings, {:.1} kB, {:.1} ms",
        case.limited,
        (case.limited * (size(&ask) + HEADER_BYTES)) as f64 / 1e3,
        (case.limited as f64 * choose + learn) / 1e3
    );
    println!(
        "  reports: {bytes:.0} B each, {most_bytes} B of the busiest owner, {:.1} kB/s, {:.2} % of a core",
        report_bytes / 1e3,
        report_micros / 1e4
    );
    println!(
        "  permits: {} and {} B, {:.1} kB/s, {:.2} % of a core",
        size(&ask),
        size(&answer),
        asked_per_second * question_bytes / 1e3,
        question_micros / 1e4
    );
}

// Prints the figures of the capacity page; run alone.
#[test]
#[ignore = "measurement, prints figures of docs/CAPACITY.md"]
fn cost_of_limits_at_half_of_the_endpoints() {
    let cases = [
        Case {
            name: "195 hosts, 990 endpoints",
            hosts: 65,
            limited: 165,
        },
        Case {
            name: "2,700 hosts, 13,708 endpoints",
            hosts: 104,
            limited: 264,
        },
    ];
    cases.into_iter().for_each(measure);
}
