//! Converts the endpoints that are listed in the configuration to the form in which discovery lists them.

use config::{EndpointList, EndpointSpec, EndpointState, ListedEndpoint, ListedState};

/// Converts the endpoints of a pool in the configuration to a full endpoint list.
pub(super) fn from_config(nodes: &[EndpointSpec]) -> EndpointList {
    EndpointList { version: 0, is_full: true, endpoints: nodes.iter().map(listed_endpoint).collect() }
}

fn listed_endpoint(node: &EndpointSpec) -> ListedEndpoint {
    ListedEndpoint {
        name: node.name.clone(),
        address: node.address,
        zone: node.zone.clone(),
        machine_kind: node.machine_kind.clone(),
        cell: node.cell,
        state: match node.state {
            EndpointState::Ready => ListedState::Serving,
            EndpointState::Draining => ListedState::Draining,
            EndpointState::Gone => ListedState::Deleted,
        },
        weight: node.weight,
        started_unix_ms: node.started_unix_ms,
    }
}
