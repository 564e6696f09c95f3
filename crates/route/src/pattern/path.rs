//! Patterns of paths.

use std::fmt;

use super::PatternError;
use crate::normalize;

/// A pattern of the paths that a route matches: `/a/b` matches that path only, `/a/{x}` any single non-empty
/// segment in place of `{x}`, and `/a/*` all paths that begin with `/a/`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PathPattern {
    pub(crate) segments: Vec<Segment>,
    /// Whether the pattern ends in `/*`.
    pub(crate) is_prefix: bool,
}

/// A segment of a path pattern.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Segment {
    /// Matches this text only.
    Literal(String),
    /// A parameter with this name, which matches any text that is not empty.
    Parameter(String),
}

/// The specificity of a segment; the smallest value is the most specific.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum SegmentRank {
    Literal,
    Parameter,
    OpenEnd,
}

impl Segment {
    fn parse(text: &str) -> Result<Segment, PatternError> {
        let parameter = text.strip_prefix('{').and_then(|rest| rest.strip_suffix('}'));
        match parameter {
            Some(name) if is_parameter_name(name) => Ok(Segment::Parameter(name.to_owned())),
            Some(_) => {
                Err(PatternError(format!("{text:?} names no part; write letters, digits, - or _ in braces")))
            }
            None if text.contains(['{', '}', '*']) => Err(PatternError(format!(
                "{text:?}: braces hold a whole segment, and a star is the whole of the last one"
            ))),
            None => Ok(Segment::Literal(text.to_owned())),
        }
    }

    /// The name of the parameter; `None` for a literal.
    fn parameter(&self) -> Option<&str> {
        match self {
            Segment::Literal(_) => None,
            Segment::Parameter(name) => Some(name),
        }
    }

    fn matches(&self, text: &str) -> bool {
        match self {
            Segment::Literal(literal) => literal == text,
            Segment::Parameter(_) => !text.is_empty(),
        }
    }

    fn rank(&self) -> SegmentRank {
        match self {
            Segment::Literal(_) => SegmentRank::Literal,
            Segment::Parameter(_) => SegmentRank::Parameter,
        }
    }
}

fn is_parameter_name(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_".contains(&byte))
}

impl Default for PathPattern {
    /// A pattern that matches any path.
    fn default() -> Self {
        PathPattern { segments: Vec::new(), is_prefix: true }
    }
}

impl PathPattern {
    /// Parses a pattern.
    ///
    /// # Errors
    /// If the text is no valid pattern, returns a message that states the fault and, if known, the correct
    /// form.
    pub fn parse(text: &str) -> Result<PathPattern, PatternError> {
        let Some(rest) = text.strip_prefix('/') else {
            return Err(PatternError(format!("a path begins with a slash; write \"/{text}\"")));
        };
        let mut raw_segments: Vec<&str> = rest.split('/').collect();
        let is_prefix = raw_segments.last() == Some(&"*");
        if is_prefix {
            raw_segments.pop();
        }
        let segments = parse_segments(&raw_segments)?;
        let pattern = PathPattern { segments, is_prefix };
        pattern.check_normal_form()?;
        Ok(pattern)
    }

    /// Checks that the pattern can match a path in normal form; otherwise no request would match.
    fn check_normal_form(&self) -> Result<(), PatternError> {
        let example = self.example();
        match normalize::path(&example) {
            Err(error) => Err(PatternError(error.to_string())),
            Ok(normal) if normal != example => Err(PatternError(format!(
                "no request has this path, since paths are brought into a normal form; write {normal:?}"
            ))),
            Ok(_) => Ok(()),
        }
    }

    /// Returns a path that would match if it were in normal form.
    fn example(&self) -> String {
        let segments: Vec<&str> = self
            .segments
            .iter()
            .map(|segment| match segment {
                Segment::Literal(text) => text.as_str(),
                Segment::Parameter(_) => "x",
            })
            .collect();
        let mut example = format!("/{}", segments.join("/"));
        if self.is_prefix && !segments.is_empty() {
            example.push('/');
        }
        example
    }

    /// Whether a path in normal form matches.
    #[must_use]
    pub fn matches(&self, path: &str) -> bool {
        let mut path_segments = path.strip_prefix('/').unwrap_or(path).split('/');
        let has_segments = self
            .segments
            .iter()
            .all(|segment| path_segments.next().is_some_and(|text| segment.matches(text)));
        has_segments && self.is_prefix == path_segments.next().is_some()
    }

    /// The value of a parameter in a path that matches; `None` if the pattern has no parameter of this name.
    #[must_use]
    pub fn parameter<'a>(&self, path: &'a str, name: &str) -> Option<&'a str> {
        let index = self.segments.iter().position(|segment| segment.parameter() == Some(name))?;
        path.strip_prefix('/')?.split('/').nth(index)
    }

    /// Whether the pattern has a parameter of this name.
    #[must_use]
    pub fn has_parameter(&self, name: &str) -> bool {
        self.segments.iter().any(|segment| segment.parameter() == Some(name))
    }

    /// The specificity of each segment, and of the open end if there is one.
    pub(crate) fn ranks(&self) -> Vec<SegmentRank> {
        let open_end = self.is_prefix.then_some(SegmentRank::OpenEnd);
        self.segments.iter().map(Segment::rank).chain(open_end).collect()
    }

    /// The text of the pattern without the names of its parameters: equal for patterns that match the same
    /// paths.
    pub(crate) fn shape(&self) -> String {
        self.to_text(|_| "{}".to_owned())
    }

    fn to_text(&self, format_parameter: impl Fn(&str) -> String) -> String {
        let mut text = String::new();
        for segment in &self.segments {
            text.push('/');
            match segment {
                Segment::Literal(literal) => text.push_str(literal),
                Segment::Parameter(name) => text.push_str(&format_parameter(name)),
            }
        }
        text.push_str(if self.is_prefix { "/*" } else { "" });
        text
    }
}

fn parse_segments(raw_segments: &[&str]) -> Result<Vec<Segment>, PatternError> {
    let mut segments: Vec<Segment> = Vec::with_capacity(raw_segments.len());
    for raw_segment in raw_segments {
        let segment = Segment::parse(raw_segment)?;
        if let Some(name) = segment.parameter() {
            if segments.iter().any(|earlier| earlier.parameter() == Some(name)) {
                return Err(PatternError(format!("two parts are named {name:?}")));
            }
        }
        segments.push(segment);
    }
    if segments.len() >= normalize::MAX_SEGMENTS {
        return Err(PatternError(format!("more than {} segments", normalize::MAX_SEGMENTS - 1)));
    }
    Ok(segments)
}

impl fmt::Display for PathPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.to_text(|name| format!("{{{name}}}")))
    }
}
