//! Sections `[[class]]`: classes of requests.

use decide::{DeduplicationGroup, Semantics};
use serde::Deserialize;
use toml::Spanned;

use crate::checker::{Checker, SpannedString};

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// The name.
    pub name: String,
    /// The parameters for the balancer.
    pub parameters: decide::Class,
}

// Written by hand, because `decide::Class` does not implement `PartialEq`.
impl PartialEq for Class {
    fn eq(&self, other: &Self) -> bool {
        let parameters = |class: &Class| {
            let parameters = &class.parameters;
            (
                parameters.latency_objective,
                parameters.deadline,
                parameters.priority_weight.to_bits(),
                parameters.late_answer_value.to_bits(),
                parameters.semantics,
            )
        };
        self.name == other.name && parameters(self) == parameters(other)
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Class")]
pub(crate) struct ClassFile {
    pub name: SpannedString,
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: Spanned<u64>,
    pub deadline_ms: Spanned<u64>,
    #[serde(rename = "worth", default = "default_priority_weight")]
    pub priority_weight: Spanned<f64>,
    #[serde(rename = "late_worth", default = "default_late_answer_value")]
    pub late_answer_value: Spanned<f64>,
    pub semantics: Spanned<SemanticsFile>,
    #[serde(rename = "dedup_group")]
    pub deduplication_group: Option<Spanned<DeduplicationGroupFile>>,
    #[serde(rename = "dedup_window_ms")]
    pub deduplication_window_ms: Option<Spanned<u64>>,
}

fn default_priority_weight() -> Spanned<f64> {
    Spanned::new(0..0, 1.0)
}

fn default_late_answer_value() -> Spanned<f64> {
    Spanned::new(0..0, 0.0)
}

#[derive(Clone, Copy, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case", expecting = "enum Semantics")]
pub(crate) enum SemanticsFile {
    Idempotent,
    Deduplicated,
    AtMostOnce,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "kebab-case", expecting = "enum Group")]
pub(crate) enum DeduplicationGroupFile {
    All,
    Zone,
    Cell,
}

impl From<DeduplicationGroupFile> for DeduplicationGroup {
    fn from(group: DeduplicationGroupFile) -> Self {
        match group {
            DeduplicationGroupFile::All => DeduplicationGroup::All,
            DeduplicationGroupFile::Zone => DeduplicationGroup::Zone,
            DeduplicationGroupFile::Cell => DeduplicationGroup::Cell,
        }
    }
}

impl Checker<'_> {
    pub(crate) fn class(&mut self, section: &ClassFile) -> Class {
        let latency_objective = self.milliseconds("aim_ms", &section.latency_objective_ms, 1);
        let deadline = self.milliseconds("deadline_ms", &section.deadline_ms, 1);
        if deadline < latency_objective {
            let help = "a deadline is at least the aim".to_owned();
            let message = format!("`deadline_ms`: {} is before the aim", section.deadline_ms.get_ref());
            self.report(section.deadline_ms.span(), message, Some(help));
        }
        let semantics = self.semantics(section);
        let parameters = decide::Class {
            latency_objective,
            deadline,
            priority_weight: self.number("worth", &section.priority_weight, 0.0..=1e9),
            late_answer_value: self.number("late_worth", &section.late_answer_value, 0.0..=1.0),
            semantics,
        };
        Class { name: section.name.get_ref().clone(), parameters }
    }

    fn semantics(&mut self, section: &ClassFile) -> Semantics {
        match section.semantics.get_ref() {
            SemanticsFile::Idempotent => {
                self.forbid_deduplication_keys(section);
                Semantics::Idempotent
            }
            SemanticsFile::AtMostOnce => {
                self.forbid_deduplication_keys(section);
                Semantics::AtMostOnce
            }
            SemanticsFile::Deduplicated => self.deduplicated(section),
        }
    }

    fn deduplicated(&mut self, section: &ClassFile) -> Semantics {
        let (Some(group), Some(window)) = (&section.deduplication_group, &section.deduplication_window_ms)
        else {
            let message = "`semantics`: deduplicated by whom, and for how long?";
            let help = "add dedup_group = \"all\", \"zone\" or \"cell\" and dedup_window_ms".to_owned();
            self.report(section.semantics.span(), message, Some(help));
            return Semantics::AtMostOnce;
        };
        let group = DeduplicationGroup::from(*group.get_ref());
        let window = self.milliseconds("dedup_window_ms", window, 0);
        Semantics::Deduplicated { group, window }
    }

    fn forbid_deduplication_keys(&mut self, section: &ClassFile) {
        let group = section.deduplication_group.as_ref().map(Spanned::span);
        let window = section.deduplication_window_ms.as_ref().map(Spanned::span);
        if let Some(span) = group.or(window) {
            let help = "leave it out, or write semantics = \"deduplicated\"".to_owned();
            self.report(span, "only deduplicated classes have a group and a window", Some(help));
        }
    }
}
