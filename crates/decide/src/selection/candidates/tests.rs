use std::collections::BTreeSet;

use super::{Candidates, ReadyEndpoints, SAMPLE_SIZE};
use crate::endpoint_table::EndpointTable;
use crate::index::EndpointIndex;
use crate::{Endpoint, EndpointId, Settings};

fn ready(count: u32, settings: &Settings) -> ReadyEndpoints {
    let mut table = EndpointTable::default();
    for id in 0..count {
        table.update(0, &Endpoint { id: EndpointId(id), ..Endpoint::default() }, 1);
    }
    let mut ready = ReadyEndpoints::default();
    ready.rebuild(&table, settings);
    ready
}

/// Guards against an endpoint in no subset, which would get only randomly drawn requests.
#[test]
fn subsets_of_all_balancers_cover_the_pool() {
    let subset = |rank| ready(30, &Settings { balancers: 10, rank, ..Settings::default() }).subset;
    let covered: BTreeSet<EndpointIndex> = (0..10).flat_map(subset).collect();
    assert_eq!(covered.len(), 30);
    assert_eq!(subset(0).len(), 6, "each endpoint is in two subsets");
}

/// Guards the group: with different subsets, balancers would gossip about endpoints that the others do not
/// use.
#[test]
fn gossip_group_shares_one_subset() {
    let of = |rank| ready(30, &Settings { balancers: 10, rank, gossip_allowed: true, ..Settings::default() });
    let first = of(0);
    for &peer in &first.gossip_peers {
        assert_eq!(of(peer).subset, first.subset);
    }
    assert!(!first.gossip_peers.contains(&0));
}

/// Guards against a sample of a small or filtered pool, which could miss its best endpoint.
#[test]
fn all_endpoints_of_a_small_pool_are_ranked() {
    let settings = Settings { balancers: 1, ..Settings::default() };
    let small = ready(SAMPLE_SIZE as u32, &settings);
    assert_eq!(Candidates::new(&small, None).max_positions(), SAMPLE_SIZE);
    let large = ready(200, &Settings { balancers: 100, ..settings });
    let candidates = Candidates::new(&large, None);
    assert!(candidates.max_positions() > candidates.always_read());
    let filtered = Candidates::new(&large, Some(&large.all[..3]));
    assert_eq!([filtered.always_read(), filtered.max_positions()], [3, 3]);
}
