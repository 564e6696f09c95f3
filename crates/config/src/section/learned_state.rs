//! Section `[knowledge]`: storage of learned state, so that it survives a restart of the process.

use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;
use toml::Spanned;

use crate::checker::{Checker, SpannedString};

const DEFAULT_WRITE_INTERVAL_S: usize = 10;
const MAX_WRITE_INTERVAL_S: usize = 3600;
const DEFAULT_FILES: usize = 4;
const MAX_FILES: usize = 100;

/// Settings of the storage of learned state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LearnedStateSettings {
    /// The folder. Only one process at a time may write to it.
    pub folder: PathBuf,
    /// The interval between writes. At the end of the process, state is written as well.
    pub write_interval: Duration,
    /// The number of files that are retained, including the newest.
    pub files: usize,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Knowledge")]
pub(crate) struct LearnedStateFile {
    pub folder: SpannedString,
    pub every_s: Option<Spanned<usize>>,
    pub files: Option<Spanned<usize>>,
}

impl Checker<'_> {
    /// Checks the section. `resolve_path` resolves paths relative to the configuration file.
    pub(crate) fn learned_state(
        &mut self,
        section: &LearnedStateFile,
        resolve_path: &dyn Fn(&str) -> PathBuf,
    ) -> LearnedStateSettings {
        if section.folder.get_ref().is_empty() {
            self.report(section.folder.span(), "`folder`: must not be empty", None);
        }
        let interval_s =
            self.bounded("every_s", &section.every_s, DEFAULT_WRITE_INTERVAL_S, MAX_WRITE_INTERVAL_S);
        LearnedStateSettings {
            folder: resolve_path(section.folder.get_ref()),
            write_interval: Duration::from_secs(interval_s as u64),
            files: self.bounded("files", &section.files, DEFAULT_FILES, MAX_FILES),
        }
    }
}
