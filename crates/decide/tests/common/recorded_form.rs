//! Texts of actions and learned state, from which the recorded digests are computed. They are written out and
//! not derived with `Debug`, so that renaming types, variants and fields does not change them.

use decide::learned::{DecayedMean, LearnedEndpoint, LearnedState};
use decide::{Action, EndpointId, RequestId};

/// The text of an action, which is its `Debug` output at the time of the first recording.
pub fn recorded_form(action: &Action) -> String {
    match action {
        Action::Send {
            request: RequestId(request), endpoint: EndpointId(backend), deadline: until, ..
        } => {
            format!("Send {{ request: RequestId({request}), backend: BackendId({backend}), until: {until} }}")
        }
        Action::Reject { request: RequestId(request), retry_after } => {
            format!("Refuse {{ request: RequestId({request}), retry_after: {retry_after} }}")
        }
        Action::Fail(RequestId(request)) => format!("Fail(RequestId({request}))"),
        Action::Cancel { request: RequestId(request), attempt } => {
            format!("Cancel {{ request: RequestId({request}), attempt: {attempt} }}")
        }
        Action::Timer { at, token } => format!("Timer {{ at: {at}, token: {token} }}"),
        Action::PollDiscovery => "Subscribe".to_owned(),
        Action::HealthCheck(EndpointId(backend)) => format!("Probe(BackendId({backend}))"),
        Action::SendGossip { to, payload } => format!("Tell {{ to: {to}, payload: {payload:?} }}"),
        Action::Log(line) => format!("Log({line:?})"),
    }
}

/// The text of a learned state, with all bits of every number.
pub fn recorded_form_of_learned(learned: &LearnedState) -> String {
    let endpoints: Vec<String> = learned.endpoints.iter().map(endpoint_form).collect();
    let typical: Vec<String> = learned.typical_latency.iter().map(mean_form).collect();
    let baseline = learned.baseline_latency.map_or("none".to_owned(), number_form);
    format!(
        "age {} up_for {} servers [{}] kinds [{}] zones [{}] usual [{}] pool {} threshold {} cursor {} baseline {}",
        learned.age,
        learned.uptime,
        endpoints.join(" "),
        named_means_form(&learned.latency_by_machine_kind),
        named_means_form(&learned.loss_by_zone),
        typical.join(" "),
        mean_form(&learned.pool_latency),
        number_form(learned.threshold_per_endpoint),
        number_form(learned.cursor_position),
        baseline,
    )
}

fn endpoint_form(endpoint: &LearnedEndpoint) -> String {
    let classes: Vec<String> = endpoint.classes.iter().map(mean_form).collect();
    let uptime = endpoint.uptime.map_or("none".to_owned(), |time| time.to_string());
    format!(
        "(id {} up_for {} classes [{}] fails {} out_for {} cold_tokens {})",
        endpoint.id.0,
        uptime,
        classes.join(" "),
        endpoint.consecutive_failures,
        endpoint.ejected_for,
        number_form(endpoint.slow_start_tokens),
    )
}

fn named_means_form(means: &[(usize, DecayedMean)]) -> String {
    let forms: Vec<String> = means.iter().map(|(name, mean)| format!("{name} {}", mean_form(mean))).collect();
    forms.join(" ")
}

fn mean_form(mean: &DecayedMean) -> String {
    format!("(sum {} weight {} age {})", number_form(mean.sum), number_form(mean.weight), mean.age)
}

/// The bits of a number in hexadecimal. All NaNs have the same text, because the compiler is free to set
/// their sign bit.
fn number_form(x: f64) -> String {
    if x.is_nan() {
        "nan".to_owned()
    } else {
        format!("{:016x}", x.to_bits())
    }
}
