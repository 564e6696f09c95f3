//! `amberlever check`: a configuration and its expectations, and nothing sent.

use std::io::Write;
use std::path::Path;
use std::process::ExitCode;

use config::{Diagnostics, Document, DocumentError, HostedSettings, Loaded, Report, Tenants};

use crate::cli::Format;
use crate::{read, BAD_CONFIGURATION, FAILED_EXPECTATION};

pub fn run(path: &Path, format: Format) -> ExitCode {
    let single = || config::load(path, &read);
    let loaded = match HostedSettings::load(path, &read) {
        Ok(Some((setup, document))) => return hosted(path, &setup, &document, format),
        Ok(None) => single(),
        Err(faults) => Err(faults),
    };
    let (said, code) = match loaded {
        Err(faults) => (faulty(&faults, format), BAD_CONFIGURATION),
        Ok(loaded) => {
            let report = loaded.evaluate_expectations();
            let code = if report.is_good() { 0 } else { FAILED_EXPECTATION };
            (played(path, &loaded, &report, format), code)
        }
    };
    let _ = std::io::stdout().write_all(said.as_bytes());
    ExitCode::from(code)
}

/// The file of a hosted service, and the tenants that it would start with.
fn hosted(path: &Path, setup: &HostedSettings, document: &Document, format: Format) -> ExitCode {
    let (said, code) = match Tenants::compile(&setup.shared, document, &Tenants::default()) {
        Ok(tenants) if format == Format::Json => {
            (json(&serde_json::json!({ "status": "good", "tenants": tenants.all.len() })), 0)
        }
        Ok(tenants) => (format!("{}: a hosted service, {} tenants\n", path.display(), tenants.all.len()), 0),
        Err(refused) => {
            let (status, code) = match refused {
                DocumentError::Configuration { .. } => ("configuration", BAD_CONFIGURATION),
                DocumentError::Expectations { .. } => ("expectation", FAILED_EXPECTATION),
            };
            let text = format!("{}: {refused}\n", path.display());
            let object = serde_json::json!({ "status": status, "refused": refused });
            (if format == Format::Json { json(&object) } else { text }, code)
        }
    };
    let _ = std::io::stdout().write_all(said.as_bytes());
    ExitCode::from(code)
}

fn faulty(faults: &Diagnostics, format: Format) -> String {
    match format {
        Format::Json => json(&serde_json::json!({ "status": "configuration", "faults": faults.all() })),
        Format::Text => faults.all().iter().map(config::Diagnostic::rendered).collect::<Vec<_>>().join("\n"),
    }
}

fn played(path: &Path, loaded: &Loaded, report: &Report, format: Format) -> String {
    let status = if report.is_good() { "good" } else { "expectation" };
    if format == Format::Json {
        return json(&serde_json::json!({
            "status": status,
            "expectations": report.expectations,
            "contradictions": report.contradictions,
            "failures": report.failures,
        }));
    }
    let mut said = String::new();
    for contradiction in &report.contradictions {
        said.push_str(&format!("contradiction: {contradiction}\n"));
    }
    for failure in &report.failures {
        said.push_str(&format!("failed: {failure}\n"));
    }
    let config = &loaded.config;
    let nodes: usize = loaded.endpoints.pools.iter().map(Vec::len).sum();
    let routes = config.table.routes().len();
    let bad = report.contradictions.len() + report.failures.len();
    said.push_str(&format!(
        "{}: {routes} routes, {} pools, {nodes} nodes; {} expectations, {}\n",
        path.display(),
        config.pools.len(),
        report.expectations,
        if bad == 0 { "all hold".to_owned() } else { format!("{bad} complaints") },
    ));
    said
}

fn json(value: &serde_json::Value) -> String {
    format!("{value:#}\n")
}
