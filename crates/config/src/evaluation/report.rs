//! The results of expectations.

use serde::Serialize;

/// The result of the evaluation of all expectations.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The number of expectations.
    pub expectations: usize,
    /// Pairs of expectations that no configuration can meet together.
    pub contradictions: Vec<Contradiction>,
    /// Expectations outside `contradictions` that this configuration does not meet.
    pub failures: Vec<Failure>,
}

/// Two expectations that no configuration can meet together.
#[derive(Clone, Debug, Serialize)]
pub struct Contradiction {
    /// The first expectation.
    pub first: Position,
    /// The second expectation; the same as the first if it contradicts itself.
    pub second: Position,
    /// The reason why both cannot be met.
    #[serde(rename = "why")]
    pub reason: String,
}

/// The position of an expectation or a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Position {
    /// The name of the expectation or route.
    pub name: String,
    /// The file that contains it.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
}

/// An expectation that is not met.
#[derive(Clone, Debug, Serialize)]
pub struct Failure {
    /// The expectation.
    #[serde(flatten)]
    pub position: Position,
    /// The expected routing, in words.
    pub expected: String,
    /// The routing under this configuration, in words.
    #[serde(rename = "would")]
    pub actual: String,
    /// The route that matches the request; `None` if no route does.
    pub route: Option<Position>,
}

impl std::fmt::Display for Position {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}: `{}`", self.file, self.line, self.name)
    }
}

impl std::fmt::Display for Contradiction {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.first == self.second {
            write!(f, "{} contradicts itself: {}", self.first, self.reason)
        } else {
            write!(f, "{} and {} contradict each other: {}", self.first, self.second, self.reason)
        }
    }
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: expected {}, but {}", self.position, self.expected, self.actual)?;
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

    /// One line with the first problem and the number of others, or with the number of expectations if all
    /// are met.
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
