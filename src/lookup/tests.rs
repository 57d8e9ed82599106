use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;
use crate::config;
use crate::member::HostInfo;

fn listed(zone: &str, index: usize) -> HostInfo {
    let address: SocketAddr = ([127, 0, 0, 1], 1000).into();
    HostInfo {
        host: format!("{zone}-{index}").into(),
        zone: zone.into(),
        peer: address,
        caller: address,
        operator: None,
        leaving: false,
    }
}

/// Zones `r0-a`, `r0-b`, `r1-a`... with 1,000 blocks for each region
fn document(regions: u32) -> Document {
    let mut document = Document::default();
    for number in 0..regions {
        let region = RegionId::from(format!("r{number}"));
        for zone in ["a", "b"] {
            let name = format!("{region}-{zone}").into();
            let region = region.clone();
            document.zones.insert(name, config::Zone { region });
        }
        document.blocks.push(config::BlockRange {
            first: number * 1000,
            last: number * 1000 + 999,
            region,
        });
    }
    document
}

fn view(hosts: &[(&str, usize)], leaving: &[&str]) -> View {
    let mut entries = Vec::new();
    for (zone, count) in hosts {
        entries.extend((0..*count).map(|index| listed(zone, index)));
    }
    for entry in &mut entries {
        entry.leaving = leaving.contains(&entry.host.as_str());
    }
    let own = entries[0].clone();
    let mut view = View::new(Instant::now(), own);
    view.apply_list(Instant::now(), &entries);
    if entries[0].leaving {
        view.leave(Instant::now());
    }
    view
}

fn zone_of(host: &HostId) -> &str {
    host.rsplit_once('-').expect("names end in an index").0
}

#[test]
fn offers_hosts_of_the_block() {
    struct Case {
        what: &'static str,
        hosts: &'static [(&'static str, usize)],
        leaving: &'static [&'static str],
        block: BlockId,
        cut: bool,
        first: &'static [&'static str],
        count: usize,
    }
    let cases = [
        Case {
            what: "both zones of the block's region",
            hosts: &[("r0-a", 2), ("r0-b", 2), ("r1-a", 2), ("r1-b", 2)],
            leaving: &[],
            block: 1500,
            cut: false,
            first: &["r1-a", "r1-b"],
            count: 3,
        },
        Case {
            what: "the last block of a range",
            hosts: &[("r0-a", 1), ("r1-a", 3)],
            leaving: &[],
            block: 1999,
            cut: false,
            first: &["r1-a"],
            count: 3,
        },
        Case {
            what: "no host in the region: the own zone",
            hosts: &[("r0-a", 2), ("r2-a", 2)],
            leaving: &[],
            block: 1500,
            cut: false,
            first: &["r0-a"],
            count: 3,
        },
        Case {
            what: "a leaving host is not offered",
            hosts: &[("r0-a", 1), ("r1-a", 2)],
            leaving: &["r1-a-0"],
            block: 1500,
            cut: false,
            first: &["r1-a"],
            count: 2,
        },
        Case {
            what: "cut off: the own zone first",
            hosts: &[("r0-a", 1), ("r1-a", 2)],
            leaving: &[],
            block: 1500,
            cut: true,
            first: &["r0-a"],
            count: 3,
        },
        Case {
            what: "a block without a range",
            hosts: &[("r0-a", 2), ("r1-a", 2)],
            leaving: &[],
            block: 99_999,
            cut: false,
            first: &["r0-a", "r1-a"],
            count: 3,
        },
    ];
    for case in cases {
        let view = view(case.hosts, case.leaving);
        let table = Table::new(&document(3), &view, &"r0-a".into()).with_own_zone_first(case.cut);
        let offered = table.hosts(case.block);
        assert_eq!(offered.len(), case.count, "{}: {offered:?}", case.what);
        let first = zone_of(&offered[0]);
        assert!(case.first.contains(&first), "{}: {offered:?}", case.what);
        for leaving in case.leaving {
            assert!(!offered.iter().any(|host| host == leaving), "{}", case.what);
        }
    }
}

#[test]
fn blocks_spread_by_live_hosts() {
    let view = view(&[("r0-a", 9), ("r0-b", 3)], &[]);
    let table = Table::new(&document(1), &view, &"r0-a".into());
    let mut counts: BTreeMap<HostId, usize> = BTreeMap::new();
    let blocks: usize = 12_000;
    for block in 0..blocks {
        let host = table.hosts(u32::try_from(block).expect("small")).remove(0);
        *counts.entry(host).or_default() += 1;
    }
    let mean = blocks / 12;
    for (host, count) in counts {
        let fair = mean * 4 / 5..mean * 6 / 5;
        assert!(fair.contains(&count), "{host} got {count} of about {mean}");
    }
}

#[test]
fn a_cache_follows_configuration_and_hosts() {
    let document = document(1);
    let own = "r0-a".into();
    let mut cache = Cache::new();
    let before = view(&[("r0-a", 2)], &[]);
    assert!(cache.refresh(1, &document, &before, &own, false));
    assert!(!cache.refresh(1, &document, &before, &own, false));
    assert!(cache.refresh(2, &document, &before, &own, false));
    assert!(cache.refresh(2, &document, &before, &own, true));
    let after = view(&[("r0-a", 2)], &["r0-a-1"]);
    assert!(cache.refresh(2, &document, &after, &own, true));
    assert_eq!(cache.table().hosts(7), vec![HostId::from("r0-a-0")]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_host_that_goes_moves_only_its_blocks(gone in 0..6_usize, block in 0..1000_u32) {
        let whole = view(&[("r0-a", 3), ("r0-b", 3)], &[]);
        let name = if gone < 3 { format!("r0-a-{gone}") } else { format!("r0-b-{}", gone - 3) };
        let less = view(&[("r0-a", 3), ("r0-b", 3)], &[name.as_str()]);
        let document = document(1);
        let own = "r0-a".into();
        let before = Table::new(&document, &whole, &own).hosts(block);
        let after = Table::new(&document, &less, &own).hosts(block);
        prop_assert!(!after.iter().any(|host| host == name.as_str()));
        let kept_zone = zone_of(&before[0]) == zone_of(&after[0]);
        let other_zone_shrank = zone_of(&before[0]) != zone_of(&HostId::from(name.as_str()));
        if before[0] != name.as_str() && (kept_zone || other_zone_shrank) {
            prop_assert_eq!(&before[0], &after[0]);
        }
    }

    #[test]
    fn ranges_are_found_by_binary_search(
        cuts in prop::collection::btree_set(0..10_000_u32, 2..40),
        block in 0..10_100_u32,
    ) {
        let cuts: Vec<u32> = cuts.into_iter().collect();
        let mut document = Document::default();
        for (index, pair) in cuts.chunks_exact(2).enumerate() {
            document.blocks.push(config::BlockRange {
                first: pair[0],
                last: pair[1],
                region: format!("r{index}").into(),
            });
        }
        let plain = document.blocks.iter().find(|r| r.first <= block && block <= r.last);
        prop_assert_eq!(region_of_block(&document, block), plain.map(|range| &range.region));
    }
}
