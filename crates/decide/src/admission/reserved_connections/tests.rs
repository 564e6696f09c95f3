use super::ReservedConnections;
use crate::{DownstreamConnections, Settings};

fn rule(balancers: u32) -> ReservedConnections {
    ReservedConnections::new(&Settings { balancers, ..Settings::default() })
}

#[test]
fn the_last_connections_stay_free_and_more_of_them_for_lower_levels() {
    let connections = Some(DownstreamConnections { idle: 3, open: 100 });
    assert!(!rule(1).must_stay_free(connections, 0));
    assert!(rule(1).must_stay_free(connections, 1));
}

#[test]
fn nothing_is_reserved_in_a_large_fleet_or_without_a_count() {
    let connections = Some(DownstreamConnections { idle: 0, open: 100 });
    assert!(rule(1).must_stay_free(connections, 0));
    assert!(!rule(3).must_stay_free(connections, 0));
    assert!(!rule(1).must_stay_free(None, 0));
}
