//! Loads a standalone configuration, its endpoint files and its expectations.

use std::path::{Path, PathBuf};

use crate::checker::SpannedString;
use crate::config_file::ConfigFile;
use crate::diagnostics::{Diagnostics, ReadFile, TextId};
use crate::evaluation::{self, Report};
use crate::expect::{self, Expectation, ExpectationsFile};
use crate::model::Config;
use crate::pool_endpoints::PoolEndpoints;
use crate::standalone::{self, Emptiness};

/// A checked configuration, with its expectations.
#[derive(Clone, Debug)]
pub struct Loaded {
    /// The configuration.
    pub config: Config,
    /// The endpoints that are known without discovery.
    pub endpoints: PoolEndpoints,
    expectations: Vec<Expectation>,
}

impl Loaded {
    /// Evaluates every expectation, without sending any request.
    #[must_use]
    pub fn evaluate_expectations(&self) -> Report {
        evaluation::evaluate(&self.config, &self.expectations)
    }
}

/// Reads a configuration and the files that it names, and checks them. Expectations are checked but not
/// evaluated.
///
/// # Errors
/// Returns all problems, each with file and line.
pub fn load(path: &Path, read: ReadFile<'_>) -> Result<Loaded, Diagnostics> {
    load_as(path, read, Emptiness::Forbidden)
}

/// Does the same as [`load`]; `emptiness` decides whether the configuration may be empty, as that of a new
/// tenant may.
pub(crate) fn load_as(path: &Path, read: ReadFile<'_>, emptiness: Emptiness) -> Result<Loaded, Diagnostics> {
    let mut diagnostics = Diagnostics::default();
    let Some(text) = diagnostics.read(path, read) else { return Err(diagnostics) };
    let Some(file) = diagnostics.parse::<ConfigFile>(text) else { return Err(diagnostics) };
    let resolve_path = |name: &str| path.parent().unwrap_or(Path::new("")).join(name);
    let expectation_files: Vec<SpannedString> = file.expectation_files().to_vec();
    let config = standalone::check(file, text, &resolve_path, emptiness, &mut diagnostics);
    let endpoints = config.as_ref().map(|config| PoolEndpoints::read(config, text, read, &mut diagnostics));
    let checked = config.zip(endpoints);
    let mut expectations = Vec::new();
    for name in &expectation_files {
        let Some(expectations_text) = read_named_file(text, name, &resolve_path, read, &mut diagnostics)
        else {
            continue;
        };
        let parsed = diagnostics.parse::<ExpectationsFile>(expectations_text);
        if let (Some(file), Some((config, endpoints))) = (parsed, &checked) {
            expectations.extend(expect::check(file, expectations_text, config, endpoints, &mut diagnostics));
        }
    }
    match checked {
        Some((config, endpoints)) if diagnostics.is_empty() => Ok(Loaded { config, endpoints, expectations }),
        _ => Err(diagnostics),
    }
}

/// Reads a file that a configuration names. A problem is reported at the position of the name.
fn read_named_file(
    text: TextId,
    name: &SpannedString,
    resolve_path: &dyn Fn(&str) -> PathBuf,
    read: ReadFile<'_>,
    diagnostics: &mut Diagnostics,
) -> Option<TextId> {
    let file_text = diagnostics.read(&resolve_path(name.get_ref()), read);
    if file_text.is_none() {
        diagnostics.relocate_last(text, name.span());
    }
    file_text
}
