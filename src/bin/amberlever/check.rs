//! `amberlever check`: checks a configuration and evaluates its expectations, without sending anything.

use std::io::Write;
use std::path::Path;
use std::process::ExitCode;

use config::{Diagnostics, Document, DocumentError, HostedSettings, Loaded, Report, Tenants};

use crate::cli::Format;
use crate::{read, BAD_CONFIGURATION, FAILED_EXPECTATION};

pub fn run(path: &Path, format: Format) -> ExitCode {
    let loaded = match HostedSettings::load(path, &read) {
        Ok(Some((settings, document))) => return check_hosted(path, &settings, &document, format),
        Ok(None) => config::load(path, &read),
        Err(diagnostics) => Err(diagnostics),
    };
    let (output, code) = match loaded {
        Err(diagnostics) => (format_diagnostics(&diagnostics, format), BAD_CONFIGURATION),
        Ok(loaded) => {
            let report = loaded.evaluate_expectations();
            let code = if report.is_good() { 0 } else { FAILED_EXPECTATION };
            (format_report(path, &loaded, &report, format), code)
        }
    };
    let _ = std::io::stdout().write_all(output.as_bytes());
    ExitCode::from(code)
}

/// Checks the file of a hosted service and the tenants that it starts with.
fn check_hosted(path: &Path, settings: &HostedSettings, document: &Document, format: Format) -> ExitCode {
    let (output, code) = match Tenants::compile(&settings.shared, document, &Tenants::default()) {
        Ok(tenants) if format == Format::Json => {
            (format_json(&serde_json::json!({ "status": "good", "tenants": tenants.all.len() })), 0)
        }
        Ok(tenants) => (format!("{}: a hosted service, {} tenants\n", path.display(), tenants.all.len()), 0),
        Err(error) => {
            let (status, code) = match error {
                DocumentError::Configuration { .. } => ("configuration", BAD_CONFIGURATION),
                DocumentError::Expectations { .. } => ("expectation", FAILED_EXPECTATION),
            };
            let text = format!("{}: {error}\n", path.display());
            let object = serde_json::json!({ "status": status, "refused": error });
            (if format == Format::Json { format_json(&object) } else { text }, code)
        }
    };
    let _ = std::io::stdout().write_all(output.as_bytes());
    ExitCode::from(code)
}

fn format_diagnostics(diagnostics: &Diagnostics, format: Format) -> String {
    match format {
        Format::Json => {
            format_json(&serde_json::json!({ "status": "configuration", "faults": diagnostics.all() }))
        }
        Format::Text => {
            diagnostics.all().iter().map(config::Diagnostic::rendered).collect::<Vec<_>>().join("\n")
        }
    }
}

fn format_report(path: &Path, loaded: &Loaded, report: &Report, format: Format) -> String {
    let status = if report.is_good() { "good" } else { "expectation" };
    if format == Format::Json {
        return format_json(&serde_json::json!({
            "status": status,
            "expectations": report.expectations,
            "contradictions": report.contradictions,
            "failures": report.failures,
        }));
    }
    let mut output = String::new();
    for contradiction in &report.contradictions {
        output.push_str(&format!("contradiction: {contradiction}\n"));
    }
    for failure in &report.failures {
        output.push_str(&format!("failed: {failure}\n"));
    }
    let config = &loaded.config;
    let endpoints: usize = loaded.endpoints.pools.iter().map(Vec::len).sum();
    let routes = config.table.routes().len();
    let complaints = report.contradictions.len() + report.failures.len();
    output.push_str(&format!(
        "{}: {routes} routes, {} pools, {endpoints} nodes; {} expectations, {}\n",
        path.display(),
        config.pools.len(),
        report.expectations,
        if complaints == 0 { "all hold".to_owned() } else { format!("{complaints} complaints") },
    ));
    output
}

fn format_json(value: &serde_json::Value) -> String {
    format!("{value:#}\n")
}
