//! Addresses announced by BGP: the speaker beside the data plane, its API, and `amberlever bgp ...`.

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

/// The speaker, for the data plane and for the admin API.
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

/// Starts what a configuration announces, if it announces anything.
///
/// # Errors
/// Why it could not start, in a line.
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
        log_line(format_args!("bgp: operators on {address}"));
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
            .map(|_| format!("{prefix} is released: announced once it has been ready for its hold-up\n")),
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
    let value: Value =
        serde_json::from_str(&text).map_err(|_| format!("{api}: not an answer of this API"))?;
    match value.get("error").and_then(Value::as_str) {
        Some(error) => Err(error.to_owned()),
        None if response.status() == 200 => Ok(value),
        None => Err(format!("{api}: {}", response.status())),
    }
}

/// The status as a table for a terminal.
fn format_status(status: &Value) -> String {
    let mut text = String::new();
    let list = |key: &str| status[key].as_array().cloned().unwrap_or_default();
    if status["dry_run"] == true {
        let _ = writeln!(text, "dry run: nothing is told to any router\n");
    }
    let _ =
        writeln!(text, "{:<20} {:<10} {:>9} {:>6} {:>9}  why", "address", "state", "for", "flaps", "hold-up");
    for a in list("addresses") {
        let _ = writeln!(
            text,
            "{:<20} {:<10} {:>9} {:>6} {:>9}  {}",
            text_or_dash(&a["prefix"]),
            text_or_dash(&a["state"]),
            format_seconds(&a["for_s"]),
            a["flaps"],
            format_seconds(&a["hold_up_s"]),
            text_or_dash(&a["why"])
        );
    }
    let _ = writeln!(
        text,
        "\n{:<16} {:<22} {:>10} {:<12} {:>9} {:>6}",
        "peer", "address", "AS", "state", "for", "told"
    );
    for p in list("peers") {
        let told = p["told"].as_array().map_or(0, Vec::len);
        let _ = writeln!(
            text,
            "{:<16} {:<22} {:>10} {:<12} {:>9} {told:>6}",
            text_or_dash(&p["name"]),
            text_or_dash(&p["address"]),
            p["as"],
            text_or_dash(&p["state"]),
            format_seconds(&p["for_s"])
        );
        if let Some(last) = p["last_notification"].as_object() {
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
