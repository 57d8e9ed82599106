use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;
use crate::config;
use crate::member::HostInfo;

fn host_info(zone: &str, index: usize) -> HostInfo {
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

/// Returns a configuration with zones `r0-a`, `r0-b`, `r1-a`, ... and 1,000 blocks per region
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
        entries.extend((0..*count).map(|index| host_info(zone, index)));
    }
    for entry in &mut entries {
        entry.leaving = leaving.contains(&entry.host.as_str());
    }
    let own_host = entries[0].clone();
    let mut view = View::new(Instant::now(), own_host);
    view.apply_list(Instant::now(), &entries);
    if entries[0].leaving {
        view.leave(Instant::now());
    }
    view
}

fn zone_of(host: &HostId) -> &str {
    host.rsplit_once('-').expect("host name ends in an index").0
}

#[test]
fn lookup_returns_hosts_of_the_block() {
    struct Case {
        name: &'static str,
        hosts: &'static [(&'static str, usize)],
        leaving: &'static [&'static str],
        block: BlockId,
        own_zone_first: bool,
        expected_first_zones: &'static [&'static str],
        expected_count: usize,
    }
    let cases = [
        Case {
            name: "both zones of the block's region",
            hosts: &[("r0-a", 2), ("r0-b", 2), ("r1-a", 2), ("r1-b", 2)],
            leaving: &[],
            block: 1500,
            own_zone_first: false,
            expected_first_zones: &["r1-a", "r1-b"],
            expected_count: 3,
        },
        Case {
            name: "last block of a range",
            hosts: &[("r0-a", 1), ("r1-a", 3)],
            leaving: &[],
            block: 1999,
            own_zone_first: false,
            expected_first_zones: &["r1-a"],
            expected_count: 3,
        },
        Case {
            name: "no host in the region: own zone",
            hosts: &[("r0-a", 2), ("r2-a", 2)],
            leaving: &[],
            block: 1500,
            own_zone_first: false,
            expected_first_zones: &["r0-a"],
            expected_count: 3,
        },
        Case {
            name: "leaving host",
            hosts: &[("r0-a", 1), ("r1-a", 2)],
            leaving: &["r1-a-0"],
            block: 1500,
            own_zone_first: false,
            expected_first_zones: &["r1-a"],
            expected_count: 2,
        },
        Case {
            name: "no other zone reachable: own zone first",
            hosts: &[("r0-a", 1), ("r1-a", 2)],
            leaving: &[],
            block: 1500,
            own_zone_first: true,
            expected_first_zones: &["r0-a"],
            expected_count: 3,
        },
        Case {
            name: "block outside all ranges",
            hosts: &[("r0-a", 2), ("r1-a", 2)],
            leaving: &[],
            block: 99_999,
            own_zone_first: false,
            expected_first_zones: &["r0-a", "r1-a"],
            expected_count: 3,
        },
    ];
    for case in cases {
        let view = view(case.hosts, case.leaving);
        let table = Table::new(&document(3), &view, &"r0-a".into())
            .with_own_zone_first(case.own_zone_first);
        let selected = table.hosts(case.block);
        assert_eq!(
            selected.len(),
            case.expected_count,
            "{}: {selected:?}",
            case.name
        );
        let first_zone = zone_of(&selected[0]);
        assert!(
            case.expected_first_zones.contains(&first_zone),
            "{}: {selected:?}",
            case.name
        );
        for leaving in case.leaving {
            assert!(
                !selected.iter().any(|host| host == leaving),
                "{}",
                case.name
            );
        }
    }
}

#[test]
fn blocks_are_distributed_in_proportion_to_live_hosts() {
    let view = view(&[("r0-a", 9), ("r0-b", 3)], &[]);
    let table = Table::new(&document(1), &view, &"r0-a".into());
    let mut counts: BTreeMap<HostId, usize> = BTreeMap::new();
    let blocks: usize = 12_000;
    for block in 0..blocks {
        let host = table
            .hosts(u32::try_from(block).expect("block number fits into u32"))
            .remove(0);
        *counts.entry(host).or_default() += 1;
    }
    let mean = blocks / 12;
    for (host, count) in counts {
        let accepted = mean * 4 / 5..mean * 6 / 5;
        assert!(
            accepted.contains(&count),
            "{host} has {count} blocks, expected about {mean}"
        );
    }
}

#[test]
fn cache_is_rebuilt_after_configuration_or_hosts_change() {
    let document = document(1);
    let own_zone = "r0-a".into();
    let mut cache = Cache::new();
    let before = view(&[("r0-a", 2)], &[]);
    assert!(cache.refresh(1, &document, &before, &own_zone, false));
    assert!(!cache.refresh(1, &document, &before, &own_zone, false));
    assert!(cache.refresh(2, &document, &before, &own_zone, false));
    assert!(cache.refresh(2, &document, &before, &own_zone, true));
    let after = view(&[("r0-a", 2)], &["r0-a-1"]);
    assert!(cache.refresh(2, &document, &after, &own_zone, true));
    assert_eq!(cache.table().hosts(7), vec![HostId::from("r0-a-0")]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn removing_a_host_moves_only_its_blocks(removed_index in 0..6_usize, block in 0..1000_u32) {
        let all_hosts = view(&[("r0-a", 3), ("r0-b", 3)], &[]);
        let removed = if removed_index < 3 { format!("r0-a-{removed_index}") } else { format!("r0-b-{}", removed_index - 3) };
        let remaining_hosts = view(&[("r0-a", 3), ("r0-b", 3)], &[removed.as_str()]);
        let document = document(1);
        let own_zone = "r0-a".into();
        let before = Table::new(&document, &all_hosts, &own_zone).hosts(block);
        let after = Table::new(&document, &remaining_hosts, &own_zone).hosts(block);
        prop_assert!(!after.iter().any(|host| host == removed.as_str()));
        let is_same_zone = zone_of(&before[0]) == zone_of(&after[0]);
        let is_from_another_zone = zone_of(&before[0]) != zone_of(&HostId::from(removed.as_str()));
        if before[0] != removed.as_str() && (is_same_zone || is_from_another_zone) {
            prop_assert_eq!(&before[0], &after[0]);
        }
    }

    #[test]
    fn region_of_block_agrees_with_a_linear_search(
        boundaries in prop::collection::btree_set(0..10_000_u32, 2..40),
        block in 0..10_100_u32,
    ) {
        let boundaries: Vec<u32> = boundaries.into_iter().collect();
        let mut document = Document::default();
        for (index, pair) in boundaries.chunks_exact(2).enumerate() {
            document.blocks.push(config::BlockRange {
                first: pair[0],
                last: pair[1],
                region: format!("r{index}").into(),
            });
        }
        let expected_range = document.blocks.iter().find(|range| range.first <= block && block <= range.last);
        prop_assert_eq!(region_of_block(&document, block), expected_range.map(|range| &range.region));
    }
}
