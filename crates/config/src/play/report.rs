//! The report on expectations.

use serde::Serialize;

/// The result of the evaluation of all expectations.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The number of expectations.
    pub expectations: usize,
    /// Pairs that no configuration can meet together.
    pub contradictions: Vec<Contradiction>,
    /// Others that this configuration does not meet.
    pub failures: Vec<Failure>,
}

/// Two expectations that no configuration can meet together.
#[derive(Clone, Debug, Serialize)]
pub struct Contradiction {
    /// One of them, with file and line.
    pub first: Place,
    /// The other; the same where it contradicts itself.
    pub second: Place,
    /// Why.
    pub why: String,
}

/// The position of an expectation or a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Place {
    /// Its name.
    pub name: String,
    /// Its file.
    pub file: String,
    /// Its line.
    pub line: usize,
}

/// An expectation that is not met.
#[derive(Clone, Debug, Serialize)]
pub struct Failure {
    /// Which.
    #[serde(flatten)]
    pub place: Place,
    /// What was expected.
    pub expected: String,
    /// What would happen.
    pub would: String,
    /// The responsible route; none where no route matches.
    pub route: Option<Place>,
}

impl std::fmt::Display for Place {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}: `{}`", self.file, self.line, self.name)
    }
}

impl std::fmt::Display for Contradiction {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.first == self.second {
            write!(f, "{} contradicts itself: {}", self.first, self.why)
        } else {
            write!(f, "{} and {} contradict each other: {}", self.first, self.second, self.why)
        }
    }
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: expected {}, but {}", self.place, self.expected, self.would)?;
        match &self.route {
            Some(route) => write!(f, " (by route `{}`, {}:{})", route.name, route.file, route.line),
            None => Ok(()),
        }
    }
}

impl Report {
    /// Whether all expectations are met.
    #[must_use]
    pub fn is_good(&self) -> bool {
        self.contradictions.is_empty() && self.failures.is_empty()
    }

    /// The first problem in a line, and the number of others.
    #[must_use]
    pub fn summary(&self) -> String {
        let first = self.contradictions.first().map(ToString::to_string);
        let Some(first) = first.or_else(|| self.failures.first().map(ToString::to_string)) else {
            return format!("{} expectations hold", self.expectations);
        };
        match self.contradictions.len() + self.failures.len() - 1 {
            0 => first,
            more => format!("{first} (and {more} more; `amberlever check` shows all)"),
        }
    }
}
