//! `amberlever state`: files of what was learned, for people and for tools.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::process::ExitCode;

use learned_state::{Faults, Mean, Snapshot};
use serde_json::json;

use crate::cli::{Format, StateCommand};
use crate::{failed, BAD_CONFIGURATION};

pub fn run(command: &StateCommand, format: Format) -> ExitCode {
    let told = match command {
        StateCommand::Show { file } => read(file).map(|(figures, faults)| show(&figures, faults, format)),
        StateCommand::Diff { before, after } => read(before)
            .and_then(|(before, _)| Ok((before, read(after)?.0)))
            .map(|(before, after)| diff(&before, &after, format)),
    };
    match told {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(fault) => failed(&fault, BAD_CONFIGURATION),
    }
}

/// What a thing is called, and its figures by name.
type Figures = BTreeMap<String, BTreeMap<&'static str, f64>>;

fn read(path: &Path) -> Result<(Figures, Faults), String> {
    let fault = |why: String| format!("{}: {why}", path.display());
    // A file that is no such file may be of any size.
    let size = std::fs::metadata(path).map_err(|e| fault(e.to_string()))?.len();
    if size > learned_state::MOST_BYTES as u64 {
        return Err(fault(learned_state::Unreadable::TooLarge.to_string()));
    }
    let bytes = std::fs::read(path).map_err(|e| fault(e.to_string()))?;
    let (snapshot, faults) = learned_state::read(&bytes).map_err(|e| fault(e.to_string()))?;
    Ok((figures(&snapshot), faults))
}

/// Names come from elsewhere: nothing in them reaches a terminal as it is.
fn called(parts: &[&str]) -> String {
    parts.iter().map(|part| part.escape_default().to_string()).collect::<Vec<_>>().join(" / ")
}

fn figures(snapshot: &Snapshot) -> Figures {
    let mut all = Figures::new();
    let mut put = |name: String, figures: &[(&'static str, f64)]| {
        all.insert(name, figures.iter().copied().filter(|(_, x)| !x.is_nan()).collect());
    };
    let mean = |m: &Mean, unit: &'static str, scale: f64| {
        let of = if m.weight > 0.0 { m.sum / m.weight / scale } else { f64::NAN };
        [(unit, of), ("samples", m.weight), ("age_s", m.age as f64 / 1e6)]
    };
    for pool in &snapshot.pools {
        let own = [
            ("up_s", pool.up_for as f64 / 1e6),
            ("t1_a_server", pool.threshold.unwrap_or(f64::NAN)),
            ("cursor", pool.cursor),
            ("baseline", pool.baseline.unwrap_or(f64::NAN)),
        ];
        put(called(&[&pool.name]), &own);
        for (class, m) in pool.classes.iter().zip(&pool.usual) {
            put(called(&[&pool.name, "class", class]), &mean(m, "answer_ms", 1e3));
        }
        for (kind, m) in &pool.kinds {
            put(called(&[&pool.name, "kind", kind]), &mean(m, "times_the_pools", 1.0));
        }
        for (zone, m) in &pool.zones {
            put(called(&[&pool.name, "zone", zone]), &mean(m, "lost", 1.0));
        }
        for node in &pool.nodes {
            let own = [
                ("fails", f64::from(node.fails)),
                ("left_alone_s", node.out_for as f64 / 1e6),
                ("cold_calls", node.cold_tokens),
            ];
            put(called(&[&pool.name, "node", &node.name]), &own);
            for (class, m) in pool.classes.iter().zip(&node.classes) {
                put(called(&[&pool.name, "node", &node.name, class]), &mean(m, "times_the_pools", 1.0));
            }
        }
    }
    all
}

fn number(x: f64) -> String {
    let text = format!("{x:.3}");
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}

fn show(all: &Figures, faults: Faults, format: Format) -> String {
    if format == Format::Json {
        let faults = json!({ "damaged": faults.damaged, "unknown": faults.unknown, "cut": faults.cut });
        return json!({ "figures": all, "faults": faults }).to_string() + "\n";
    }
    let width = all.keys().map(|name| name.chars().count()).max().unwrap_or(0);
    let mut out = String::new();
    for (name, figures) in all {
        let row: Vec<String> = figures.iter().map(|(what, x)| format!("{what} {}", number(*x))).collect();
        out += &format!("{name:<width$}  {}\n", row.join(", "));
    }
    if faults != Faults::default() {
        let Faults { damaged, unknown, cut } = faults;
        let end = if cut { ", and it is cut off" } else { "" };
        out += &format!("{damaged} damaged and {unknown} unknown sections were passed over{end}\n");
    }
    out
}

/// A figure that differs.
struct Row<'a> {
    of: &'a str,
    what: &'static str,
    before: Option<f64>,
    after: Option<f64>,
}

fn rows<'a>(before: &'a Figures, after: &'a Figures) -> Vec<Row<'a>> {
    let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let mut rows = Vec::new();
    for of in names {
        let (was, is) = (before.get(of), after.get(of));
        let all: BTreeSet<&'static str> = was.into_iter().chain(is).flat_map(|f| f.keys().copied()).collect();
        for what in all {
            let figure = |figures: Option<&BTreeMap<&'static str, f64>>| figures?.get(what).copied();
            let (before, after) = (figure(was), figure(is));
            if before != after {
                rows.push(Row { of, what, before, after });
            }
        }
    }
    rows
}

fn diff(before: &Figures, after: &Figures, format: Format) -> String {
    let rows = rows(before, after);
    if format == Format::Json {
        let row = |r: &Row<'_>| json!({ "of": r.of, "figure": r.what, "before": r.before, "after": r.after });
        return json!(rows.iter().map(row).collect::<Vec<_>>()).to_string() + "\n";
    }
    let told = |x: Option<f64>| x.map_or("none".to_owned(), number);
    let row = |r: &Row<'_>| format!("{}: {} {} -> {}\n", r.of, r.what, told(r.before), told(r.after));
    rows.iter().map(row).collect()
}
