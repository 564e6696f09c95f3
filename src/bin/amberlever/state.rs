//! `amberlever state`: shows and compares files of learned state, as text or JSON.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use learned_state::{DecodeError, LearnedSnapshot, PoolRecord, SkippedSections, StoredMean};
use serde_json::json;

use crate::cli::{Format, StateCommand};
use crate::{failed, BAD_CONFIGURATION};

const MICROS_PER_SECOND: f64 = 1e6;
const MICROS_PER_MILLISECOND: f64 = 1e3;

pub fn run(command: &StateCommand, format: Format) -> ExitCode {
    let text = match command {
        StateCommand::Show { file } => read(file).map(|file| show(&file, format)),
        StateCommand::Diff { before, after } => compare(before, after, format),
    };
    match text {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => failed(&error.to_string(), BAD_CONFIGURATION),
    }
}

/// The figures of a pool, endpoint, class, machine kind or zone, by name.
type Figures = BTreeMap<&'static str, f64>;
/// Figures by the name of the pool, endpoint, class, machine kind or zone that they describe.
type FiguresBySubject = BTreeMap<String, Figures>;

/// The content of a file of learned state.
struct StateFile {
    figures: FiguresBySubject,
    skipped: SkippedSections,
}

/// An error that prevents a file from being shown.
#[derive(Debug)]
enum StateFileError {
    /// The file cannot be read.
    Io { path: PathBuf, source: io::Error },
    /// The file is not one of learned state, or cannot be decoded.
    Decode { path: PathBuf, source: DecodeError },
}

impl fmt::Display for StateFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StateFileError::Io { path, source } => write!(f, "{}: {source}", path.display()),
            StateFileError::Decode { path, source } => write!(f, "{}: {source}", path.display()),
        }
    }
}

fn read(path: &Path) -> Result<StateFile, StateFileError> {
    let io_error = |source| StateFileError::Io { path: path.to_owned(), source };
    let decode_error = |source| StateFileError::Decode { path: path.to_owned(), source };
    // The size is checked before reading, since a file of another kind may have any size.
    let size = std::fs::metadata(path).map_err(io_error)?.len();
    if size > learned_state::MAX_FILE_BYTES as u64 {
        return Err(decode_error(DecodeError::TooLarge));
    }
    let bytes = std::fs::read(path).map_err(io_error)?;
    let (snapshot, skipped) = learned_state::decode(&bytes).map_err(decode_error)?;
    Ok(StateFile { figures: figures(&snapshot), skipped })
}

/// Joins the parts of a subject's name. They are escaped for the terminal, since a file may contain any
/// characters.
fn subject(parts: &[&str]) -> String {
    parts.iter().map(|part| part.escape_default().to_string()).collect::<Vec<_>>().join(" / ")
}

fn figures(snapshot: &LearnedSnapshot) -> FiguresBySubject {
    let mut all = FiguresBySubject::new();
    for pool in &snapshot.pools {
        all.insert(subject(&[&pool.name]), pool_figures(pool));
        insert_pool_means(&mut all, pool);
        insert_endpoints(&mut all, pool);
    }
    all
}

/// Keeps the figures that are known, which are those that are not NaN.
fn known(figures: impl IntoIterator<Item = (&'static str, f64)>) -> Figures {
    figures.into_iter().filter(|(_, value)| !value.is_nan()).collect()
}

fn pool_figures(pool: &PoolRecord) -> Figures {
    known([
        ("up_s", pool.uptime as f64 / MICROS_PER_SECOND),
        ("t1_a_server", pool.threshold_per_endpoint.unwrap_or(f64::NAN)),
        ("cursor", pool.cursor_position),
        ("baseline", pool.baseline_latency.unwrap_or(f64::NAN)),
    ])
}

/// Returns the figures of a mean: its value divided by `scale`, under this name, its weight and its age.
fn mean_figures(mean: &StoredMean, name: &'static str, scale: f64) -> Figures {
    let value = if mean.weight > 0.0 { mean.sum / mean.weight / scale } else { f64::NAN };
    known([(name, value), ("samples", mean.weight), ("age_s", mean.age as f64 / MICROS_PER_SECOND)])
}

fn insert_pool_means(all: &mut FiguresBySubject, pool: &PoolRecord) {
    for (class, mean) in pool.classes.iter().zip(&pool.typical_latency) {
        let figures = mean_figures(mean, "answer_ms", MICROS_PER_MILLISECOND);
        all.insert(subject(&[&pool.name, "class", class]), figures);
    }
    for kind in &pool.latency_by_machine_kind {
        let figures = mean_figures(&kind.mean, "times_the_pools", 1.0);
        all.insert(subject(&[&pool.name, "kind", &kind.name]), figures);
    }
    for zone in &pool.loss_by_zone {
        all.insert(subject(&[&pool.name, "zone", &zone.name]), mean_figures(&zone.mean, "lost", 1.0));
    }
}

fn insert_endpoints(all: &mut FiguresBySubject, pool: &PoolRecord) {
    for endpoint in &pool.endpoints {
        let figures = known([
            ("fails", f64::from(endpoint.consecutive_failures)),
            ("left_alone_s", endpoint.ejected_for as f64 / MICROS_PER_SECOND),
            ("cold_calls", endpoint.slow_start_tokens),
        ]);
        all.insert(subject(&[&pool.name, "node", &endpoint.name]), figures);
        for (class, mean) in pool.classes.iter().zip(&endpoint.latency_by_class) {
            let figures = mean_figures(mean, "times_the_pools", 1.0);
            all.insert(subject(&[&pool.name, "node", &endpoint.name, class]), figures);
        }
    }
}

fn number(value: f64) -> String {
    let text = format!("{value:.3}");
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}

fn show(file: &StateFile, format: Format) -> String {
    let SkippedSections { damaged, unknown, truncated } = file.skipped;
    if format == Format::Json {
        let faults = json!({ "damaged": damaged, "unknown": unknown, "cut": truncated });
        return json!({ "figures": file.figures, "faults": faults }).to_string() + "\n";
    }
    let width = file.figures.keys().map(|subject| subject.chars().count()).max().unwrap_or(0);
    let mut out = String::new();
    for (subject, figures) in &file.figures {
        let row: Vec<String> =
            figures.iter().map(|(name, value)| format!("{name} {}", number(*value))).collect();
        out += &format!("{subject:<width$}  {}\n", row.join(", "));
    }
    if file.skipped != SkippedSections::default() {
        let end = if truncated { ", and the file is truncated" } else { "" };
        out += &format!("{damaged} damaged and {unknown} unknown sections were skipped{end}\n");
    }
    out
}

/// A figure that differs between two files, with `None` if a file does not have it.
struct Difference<'a> {
    subject: &'a str,
    figure: &'static str,
    before: Option<f64>,
    after: Option<f64>,
}

fn compare(before: &Path, after: &Path, format: Format) -> Result<String, StateFileError> {
    let before = read(before)?;
    let after = read(after)?;
    Ok(show_differences(&differences(&before.figures, &after.figures), format))
}

fn differences<'a>(before: &'a FiguresBySubject, after: &'a FiguresBySubject) -> Vec<Difference<'a>> {
    let subjects: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let mut differences = Vec::new();
    for subject in subjects {
        let figures_before = before.get(subject);
        let figures_after = after.get(subject);
        let both = figures_before.into_iter().chain(figures_after);
        let names: BTreeSet<&'static str> = both.flat_map(|figures| figures.keys().copied()).collect();
        for figure in names {
            let value = |figures: Option<&Figures>| figures?.get(figure).copied();
            let before = value(figures_before);
            let after = value(figures_after);
            if before != after {
                differences.push(Difference { subject, figure, before, after });
            }
        }
    }
    differences
}

fn show_differences(differences: &[Difference<'_>], format: Format) -> String {
    if format == Format::Json {
        let row = |difference: &Difference<'_>| {
            json!({
                "of": difference.subject,
                "figure": difference.figure,
                "before": difference.before,
                "after": difference.after,
            })
        };
        return json!(differences.iter().map(row).collect::<Vec<_>>()).to_string() + "\n";
    }
    let value = |value: Option<f64>| value.map_or("none".to_owned(), number);
    let row = |difference: &Difference<'_>| {
        let Difference { subject, figure, before, after } = difference;
        format!("{subject}: {figure} {} -> {}\n", value(*before), value(*after))
    };
    differences.iter().map(row).collect()
}
