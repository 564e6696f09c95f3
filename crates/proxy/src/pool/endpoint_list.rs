//! Converts the endpoints that are listed in the configuration to the form in which discovery lists them.

use config::{EndpointList, EndpointSpec, EndpointState, ListedEndpoint, ListedState};

/// Converts the endpoints of a pool in the configuration to a full endpoint list.
pub(super) fn from_config(specs: &[EndpointSpec]) -> EndpointList {
    EndpointList { version: 0, is_full: true, endpoints: specs.iter().map(listed_endpoint).collect() }
}

fn listed_endpoint(spec: &EndpointSpec) -> ListedEndpoint {
    ListedEndpoint {
        name: spec.name.clone(),
        address: spec.address,
        zone: spec.zone.clone(),
        machine_kind: spec.machine_kind.clone(),
        cell: spec.cell,
        state: match spec.state {
            EndpointState::Ready => ListedState::Serving,
            EndpointState::Draining => ListedState::Draining,
            EndpointState::Gone => ListedState::Deleted,
        },
        weight: spec.weight,
        started_unix_ms: spec.started_unix_ms,
    }
}
