//! The text by which recorded figures know actions and learned figures. It is literal, and not `Debug`, so that
//! renamed types, variants and fields do not change it.

use decide::learned::{DecayedMean, LearnedEndpoint, LearnedState};
use decide::{Action, EndpointId, RequestId};

/// An action in the text that `Debug` gave it when the first figures were recorded.
pub fn recorded_form(action: &Action) -> String {
    match action {
        Action::Send { request: RequestId(request), endpoint: EndpointId(backend), deadline: until } => {
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

/// What a balancer has learned, every number to its last bit.
pub fn recorded_form_of_learned(learned: &LearnedState) -> String {
    let servers: Vec<String> = learned.endpoints.iter().map(server_form).collect();
    let usual: Vec<String> = learned.typical_latency.iter().map(mean_form).collect();
    let baseline = learned.baseline_latency.map_or("none".to_owned(), number_form);
    format!(
        "age {} up_for {} servers [{}] kinds [{}] zones [{}] usual [{}] pool {} threshold {} cursor {} baseline {}",
        learned.age,
        learned.uptime,
        servers.join(" "),
        named_means_form(&learned.latency_by_machine_kind),
        named_means_form(&learned.loss_by_zone),
        usual.join(" "),
        mean_form(&learned.pool_latency),
        number_form(learned.threshold_per_endpoint),
        number_form(learned.cursor_position),
        baseline,
    )
}

fn server_form(server: &LearnedEndpoint) -> String {
    let classes: Vec<String> = server.classes.iter().map(mean_form).collect();
    let up_for = server.uptime.map_or("none".to_owned(), |span| span.to_string());
    format!(
        "(id {} up_for {} classes [{}] fails {} out_for {} cold_tokens {})",
        server.id.0,
        up_for,
        classes.join(" "),
        server.consecutive_failures,
        server.ejected_for,
        number_form(server.slow_start_tokens),
    )
}

fn named_means_form(means: &[(usize, DecayedMean)]) -> String {
    let forms: Vec<String> = means.iter().map(|(name, mean)| format!("{name} {}", mean_form(mean))).collect();
    forms.join(" ")
}

fn mean_form(mean: &DecayedMean) -> String {
    format!("(sum {} weight {} age {})", number_form(mean.sum), number_form(mean.weight), mean.age)
}

/// The bits of a number. All that are not a number are alike: their sign bit is the compiler's choice.
fn number_form(x: f64) -> String {
    if x.is_nan() {
        "nan".to_owned()
    } else {
        format!("{:016x}", x.to_bits())
    }
}
