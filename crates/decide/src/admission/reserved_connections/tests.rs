use super::ReservedConnections;
use crate::{DownstreamConnections, Settings};

fn rule(balancers: u32) -> ReservedConnections {
    ReservedConnections::new(&Settings { balancers, ..Settings::default() })
}

/// Guards the reserve for the highest level: a lower level must not take the connections that it needs.
#[test]
fn last_connections_stay_free_and_more_of_them_for_lower_levels() {
    let connections = Some(DownstreamConnections { idle: 3, open: 100 });
    assert!(!rule(1).must_stay_free(connections, 0));
    assert!(rule(1).must_stay_free(connections, 1));
}

/// Guards against needless shedding: in a larger fleet clients have other balancers, and without a count of
/// connections there is no shutdown.
#[test]
fn nothing_is_reserved_in_a_large_fleet_or_without_a_count() {
    let connections = Some(DownstreamConnections { idle: 0, open: 100 });
    assert!(rule(1).must_stay_free(connections, 0));
    assert!(!rule(3).must_stay_free(connections, 0));
    assert!(!rule(1).must_stay_free(None, 0));
}
