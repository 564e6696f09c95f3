//! BGP announcements: starts the speaker of the process and its API, and runs `amberlever bgp ...`.

use std::fmt::Write;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;

use admin::announce::AnnouncementControl;
use bgp::DataPlaneStatus;
use bgp_speaker::Speaker;
use config::{Bgp, Config};
use proxy::log::log_line;
use proxy::standalone::AddressAnnouncer;
use serde_json::{json, Value};

use crate::cli::{BgpCommand, Format};
use crate::{failed, seed};

/// Controls the speaker on behalf of the data plane and the admin API.
#[derive(Clone)]
struct SpeakerHandle(Speaker);

impl AddressAnnouncer for SpeakerHandle {
    fn update(&self, status: DataPlaneStatus) {
        self.0.update_data_plane(status);
    }

    fn reconfigure(&self, bgp: &Bgp) {
        self.0.reload(bgp.clone());
    }

    fn withdraw(&self) -> Pin<Box<dyn Future<Output = ()>>> {
        let speaker = self.0.clone();
        Box::pin(async move { speaker.shut_down().await })
    }

    fn withdraw_now(&self) {
        self.0.skip_shutdown_delay();
    }
}

impl AnnouncementControl for SpeakerHandle {
    fn status(&self) -> Pin<Box<dyn Future<Output = Value> + Send>> {
        let speaker = self.0.clone();
        Box::pin(async move { serde_json::to_value(speaker.status().await).unwrap_or_default() })
    }

    fn hold(&self, prefix: &str, held: bool) -> Pin<Box<dyn Future<Output = Result<(), String>> + Send>> {
        let (speaker, prefix) = (self.0.clone(), prefix.to_owned());
        Box::pin(async move {
            let net = prefix.parse().map_err(|_| format!("{prefix:?} is no prefix"))?;
            let found = speaker.hold(net, held).await;
            found.then_some(()).ok_or_else(|| format!("{prefix} is no address of this process"))
        })
    }
}

/// Starts the BGP speaker and its API. Returns `None` if the configuration announces no address.
///
/// # Errors
/// A one-line message if the speaker or its API cannot start.
pub fn start(config: &Config) -> Result<Option<Rc<dyn AddressAnnouncer>>, String> {
    let Some(bgp) = &config.bgp else { return Ok(None) };
    let listener = bgp.api.map(admin::serve::bind).transpose()?;
    let speaker = Speaker::start(bgp.clone(), seed(), |line| log_line(format_args!("{line}")))
        .map_err(|error| error.to_string())?;
    let handle = SpeakerHandle(speaker);
    if let Some(listener) = listener {
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let router = admin::announce::router(Arc::new(handle.clone()));
        admin::serve::serve(listener, router, config::MAX_OPERATOR_CONNECTIONS)?;
        log_line(format_args!("bgp: admin API listening on {address}"));
    }
    Ok(Some(Rc::new(handle)))
}

/// Runs a `bgp` command against the admin API of a running process.
pub fn run_command(api: SocketAddr, format: Format, command: &BgpCommand) -> ExitCode {
    let result = match command {
        BgpCommand::Show => request(api, "/v1/bgp", None).map(|status| match format {
            Format::Json => status.to_string() + "\n",
            Format::Text => format_status(&status),
        }),
        BgpCommand::Hold { prefix } => request(api, "/v1/bgp/hold", Some(json!({ "prefix": prefix })))
            .map(|_| format!("{prefix} is held: withdrawn until it is released\n")),
        BgpCommand::Release { prefix } => request(api, "/v1/bgp/release", Some(json!({ "prefix": prefix })))
            .map(|_| {
                format!("{prefix} is released: it is announced once it has been ready for its hold-up time\n")
            }),
    };
    match result {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => failed(&error, 1),
    }
}

fn request(api: SocketAddr, path: &str, body: Option<Value>) -> Result<Value, String> {
    let agent: ureq::Agent = ureq::Agent::config_builder().http_status_as_error(false).build().into();
    let url = format!("http://{api}{path}");
    let response = match body {
        None => agent.get(&url).call(),
        Some(body) => {
            agent.post(&url).header("content-type", "application/json").send(body.to_string().as_bytes())
        }
    };
    let mut response = response.map_err(|e| format!("{api}: {e}"))?;
    let text = response.body_mut().read_to_string().map_err(|e| format!("{api}: {e}"))?;
    let value: Value = serde_json::from_str(&text)
        .map_err(|_| format!("{api}: not the BGP admin API: the response is not JSON"))?;
    match value.get("error").and_then(Value::as_str) {
        Some(error) => Err(error.to_owned()),
        None if response.status() == 200 => Ok(value),
        None => Err(format!("{api}: unexpected status {}", response.status())),
    }
}

/// Formats the status as tables for a terminal.
fn format_status(status: &Value) -> String {
    let mut text = String::new();
    let list = |key: &str| status[key].as_array().cloned().unwrap_or_default();
    if status["dry_run"] == true {
        let _ = writeln!(text, "dry run: nothing is sent to any router\n");
    }
    let _ =
        writeln!(text, "{:<20} {:<10} {:>9} {:>6} {:>9}  why", "address", "state", "for", "flaps", "hold-up");
    for address in list("addresses") {
        let _ = writeln!(
            text,
            "{:<20} {:<10} {:>9} {:>6} {:>9}  {}",
            text_or_dash(&address["prefix"]),
            text_or_dash(&address["state"]),
            format_seconds(&address["for_s"]),
            address["flaps"],
            format_seconds(&address["hold_up_s"]),
            text_or_dash(&address["why"])
        );
    }
    let _ = writeln!(
        text,
        "\n{:<16} {:<22} {:>10} {:<12} {:>9} {:>6}",
        "peer", "address", "AS", "state", "for", "told"
    );
    for peer in list("peers") {
        let prefixes_sent = peer["told"].as_array().map_or(0, Vec::len);
        let _ = writeln!(
            text,
            "{:<16} {:<22} {:>10} {:<12} {:>9} {prefixes_sent:>6}",
            text_or_dash(&peer["name"]),
            text_or_dash(&peer["address"]),
            peer["as"],
            text_or_dash(&peer["state"]),
            format_seconds(&peer["for_s"])
        );
        if let Some(last) = peer["last_notification"].as_object() {
            let _ = writeln!(
                text,
                "    last NOTIFICATION, {} {} ago: {}",
                text_or_dash(&last["direction"]),
                format_seconds(&last["ago_s"]),
                text_or_dash(&last["what"])
            );
        }
    }
    text
}

fn text_or_dash(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}

fn format_seconds(value: &Value) -> String {
    value
        .as_f64()
        .map_or("-".to_owned(), |s| if s < 100.0 { format!("{s:.1} s") } else { format!("{s:.0} s") })
}
