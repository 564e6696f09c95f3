//! Diagnostics of configuration files: file, line and column, message and help.
//!
//! [`Diagnostics`] keeps the texts of the files that were read, so that byte offsets become lines and
//! columns, and a diagnostic can quote its line.

use std::fmt::{self, Write};
use std::ops::Range;
use std::path::Path;

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Reads a file: its text, or the reason why it cannot be read.
pub type ReadFile<'a> = &'a dyn Fn(&Path) -> Result<String, String>;

/// The index of a file that has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TextId(usize);

/// A problem in a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Diagnostic {
    /// The name of the file.
    pub file: String,
    /// The line, from 1; 0 if the problem has no position, such as a file that cannot be read.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// The problem.
    pub message: String,
    /// A way to solve the problem.
    pub help: Option<String>,
    /// The line of the file, for quoting.
    #[serde(skip)]
    source: String,
    /// The number of characters to underline.
    #[serde(skip)]
    width: usize,
}

/// The problems found so far, and the files that were read.
#[derive(Clone, Debug, Default)]
pub struct Diagnostics {
    sources: Vec<SourceFile>,
    all: Vec<Diagnostic>,
}

/// A file that has been read.
#[derive(Clone, Debug)]
struct SourceFile {
    name: String,
    text: String,
    /// The byte offset of the start of each line.
    line_starts: Vec<usize>,
}

impl SourceFile {
    fn new(name: String, text: String) -> SourceFile {
        let line_starts =
            std::iter::once(0).chain(text.match_indices('\n').map(|(offset, _)| offset + 1)).collect();
        SourceFile { name, text, line_starts }
    }

    /// The line of a byte offset, from 1.
    fn line(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset).max(1)
    }
}

/// The maximum number of diagnostics; further ones are dropped.
const MAX_DIAGNOSTICS: usize = 50;

impl Diagnostics {
    /// Whether nothing was reported.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// The diagnostics, in the order in which they were reported.
    #[must_use]
    pub fn all(&self) -> &[Diagnostic] {
        &self.all
    }

    /// Reads a file. If this fails, reports it without a position and returns `None`.
    pub(crate) fn read(&mut self, path: &Path, read: ReadFile<'_>) -> Option<TextId> {
        let name = path.display().to_string();
        match read(path) {
            Ok(text) => {
                self.sources.push(SourceFile::new(name, text));
                Some(TextId(self.sources.len() - 1))
            }
            Err(error) => {
                let message = format!("cannot read {name}: {error}");
                self.all.push(Diagnostic { file: name, ..Diagnostic::without_position(&message) });
                None
            }
        }
    }

    /// Gives the last diagnostic, which reports an unreadable file, a position: that of the name of this file
    /// in the file that refers to it.
    pub(crate) fn relocate_last(&mut self, text: TextId, span: Range<usize>) {
        if let Some(diagnostic) = self.all.pop() {
            self.report(text, span, diagnostic.message, None);
        }
    }

    /// The content of a file.
    pub(crate) fn text(&self, text: TextId) -> &str {
        &self.sources[text.0].text
    }

    /// The name of a file.
    pub(crate) fn name(&self, text: TextId) -> &str {
        &self.sources[text.0].name
    }

    /// The line of a byte offset, from 1.
    pub(crate) fn line(&self, text: TextId, offset: usize) -> usize {
        self.sources[text.0].line(offset)
    }

    /// Reports a problem at a range of bytes of a file.
    pub(crate) fn report(
        &mut self,
        text: TextId,
        span: Range<usize>,
        message: impl Into<String>,
        help: Option<String>,
    ) {
        if self.all.len() >= MAX_DIAGNOSTICS {
            return;
        }
        let file = &self.sources[text.0];
        let source = &file.text;
        let start = span.start.min(source.len());
        let line_number = file.line(start);
        let line_start = file.line_starts[line_number - 1];
        let line = source[line_start..].lines().next().unwrap_or_default();
        let line_end = line_start + line.len();
        let column = source[line_start..start].chars().count() + 1;
        let end = span.end.clamp(start, line_end.max(start));
        self.all.push(Diagnostic {
            file: file.name.clone(),
            line: line_number,
            column,
            message: message.into(),
            help,
            source: line.to_owned(),
            width: source.get(start..end).map_or(1, |s| s.chars().count()).max(1),
        });
    }

    /// Parses TOML. If this fails, reports it with the key and returns `None`.
    pub(crate) fn parse<T: DeserializeOwned>(&mut self, text: TextId) -> Option<T> {
        let source = self.text(text);
        let error = match toml::from_str::<T>(source) {
            Ok(value) => return Some(value),
            Err(error) => error,
        };
        let span = error.span().unwrap_or(0..0);
        let error_text = error.message().lines().collect::<Vec<_>>().join(" ");
        let help = suggestion_for(&error_text);
        let message = match key_before(source, span.start) {
            "" => error_text,
            key => format!("`{key}`: {error_text}"),
        };
        self.report(text, span, message, help);
        None
    }
}

/// Help for an unknown field or variant: the most similar known name. serde's message quotes the unknown name
/// first and the known ones after it.
fn suggestion_for(error_text: &str) -> Option<String> {
    if !error_text.starts_with("unknown field") && !error_text.starts_with("unknown variant") {
        return None;
    }
    let quoted: Vec<&str> = error_text.split('`').skip(1).step_by(2).collect();
    let (unknown, known) = quoted.split_first()?;
    most_similar(unknown, known).map(|name| format!("did you mean `{name}`?"))
}

/// The key whose value begins at a byte offset; empty if there is no `=` before it in the line.
fn key_before(source: &str, offset: usize) -> &str {
    let offset = offset.min(source.len());
    let line_start = source[..offset].rfind('\n').map_or(0, |newline| newline + 1);
    let Some((before, _)) = source[line_start..offset].rsplit_once('=') else { return "" };
    before.rsplit([',', '{']).next().map(str::trim).unwrap_or_default()
}

/// The Jaro-Winkler similarity above which a name is suggested.
const MIN_SIMILARITY: f64 = 0.75;
/// The maximum number of names that are listed; of more names, help gives the number and an example.
const MAX_LISTED_NAMES: usize = 8;

/// The known name that is most similar to another; `None` if no name is similar enough.
fn most_similar<'a>(name: &str, known: &[&'a str]) -> Option<&'a str> {
    let similarity = |candidate: &&str| strsim::jaro_winkler(name, candidate);
    let best = known.iter().copied().max_by(|a, b| similarity(a).total_cmp(&similarity(b)))?;
    (similarity(&best) > MIN_SIMILARITY).then_some(best)
}

/// Help for an unknown name: a similar one, or the known ones.
pub(crate) fn suggest(name: &str, known: &[&str]) -> String {
    match most_similar(name, known) {
        Some(known) => format!("did you mean `{known}`?"),
        None if known.is_empty() => "there is none yet; define one".to_owned(),
        None if known.len() > MAX_LISTED_NAMES => {
            format!("there are {}, such as `{}`", known.len(), known[0])
        }
        None => format!("there are `{}`", known.join("`, `")),
    }
}

impl fmt::Display for Diagnostic {
    /// Writes one line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "{}:{}:{}: ", self.file, self.line, self.column)?;
        }
        f.write_str(&self.message)?;
        self.help.iter().try_for_each(|help| write!(f, " ({help})"))
    }
}

impl Diagnostic {
    /// A diagnostic without a position.
    pub(crate) fn without_position(message: &str) -> Diagnostic {
        Diagnostic {
            file: String::new(),
            line: 0,
            column: 0,
            message: message.to_owned(),
            help: None,
            source: String::new(),
            width: 0,
        }
    }

    /// The diagnostic in several lines, with the quoted line of the file.
    #[must_use]
    pub fn rendered(&self) -> String {
        let mut rendered = format!("error: {}\n", self.message);
        if self.line > 0 {
            let number = self.line.to_string();
            let gap = " ".repeat(number.len());
            let before = " ".repeat(self.column - 1);
            let _ = writeln!(rendered, "{gap}--> {}:{}:{}", self.file, self.line, self.column);
            let _ = writeln!(rendered, "{gap} |\n{number} | {}", self.source.replace('\t', " "));
            let _ = writeln!(rendered, "{gap} | {before}{}", "^".repeat(self.width));
            if let Some(help) = &self.help {
                let _ = writeln!(rendered, "{gap} = help: {help}");
            }
        }
        rendered
    }
}

impl fmt::Display for Diagnostics {
    /// Writes one line with the first diagnostic and the number of others.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some((first, more)) = self.all.split_first() {
            write!(f, "{first}")?;
            if !more.is_empty() {
                write!(f, " (and {} more; `amberlever check` shows all)", more.len())?;
            }
        }
        Ok(())
    }
}
