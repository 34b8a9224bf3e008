//! Validation of parsed values.

use std::collections::HashMap;
use std::hash::Hash;

use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use smallvec::SmallVec;

use crate::error::{Position, Problem};

/// Types whose values are validated after parsing.
pub trait Check {
    /// Reports all problems of the value.
    fn check(&self, problems: &mut Problems);
}

/// One step of a [`Path`], from an object or array to a value in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Step {
    /// Key of an object.
    Key(&'static str),
    /// Index in an array, counted from 0.
    Index(usize),
}

impl From<&'static str> for Step {
    fn from(key: &'static str) -> Self {
        Self::Key(key)
    }
}

impl From<usize> for Step {
    fn from(index: usize) -> Self {
        Self::Index(index)
    }
}

/// Keys and indices from the root of a file to a value.
pub type Path = SmallVec<[Step; 6]>;

/// Builds a [`Path`] from keys and indices.
#[macro_export]
macro_rules! path {
    ($($step:expr),* $(,)?) => {{
        let path: $crate::check::Path =
            [$($crate::check::Step::from($step)),*].into_iter().collect();
        path
    }};
}

/// Problems that are collected while a value is checked.
#[derive(Debug, Default)]
pub struct Problems {
    found: Vec<(Path, String)>,
}

impl Problems {
    /// Reports a problem of the value at `path`.
    pub fn report<M: Into<String>>(&mut self, path: Path, message: M) {
        self.found.push((path, message.into()));
    }

    /// Reports a name that is empty, too long or has characters that are not safe in metrics and URL
    /// paths.
    pub fn check_name(&mut self, path: Path, name: &str) {
        if name.is_empty() {
            self.report(path, "empty name; expected at least one character");
        } else if name.len() > MAX_NAME_BYTES {
            self.report(path, format!("expected at most {MAX_NAME_BYTES} bytes"));
        } else if name
            .chars()
            .any(|c| c.is_control() || c.is_whitespace() || c == '"')
        {
            self.report(
                path,
                "expected a name without spaces, quotes and control characters",
            );
        }
    }

    /// Reports a value that is not a SHA-256 in lower-case hexadecimal, the form in which keys are
    /// compared.
    pub fn check_sha256(&mut self, path: Path, hash: &str) {
        let valid = hash.len() == 64
            && hash
                .bytes()
                .all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte));
        if !valid {
            // The message does not contain the value, which may be the key itself.
            self.report(
                path,
                "expected a SHA-256 of 64 lower-case hexadecimal digits; \
                 `primrosepin keys api` prints a key and its SHA-256",
            );
        }
    }

    /// Reports each value that occurs at an earlier path; `what` names the kind of value in the message.
    pub fn check_unique<T, I>(&mut self, what: &str, values: I)
    where
        T: Eq + Hash,
        I: IntoIterator<Item = (Path, T)>,
    {
        let mut first: HashMap<T, Path> = HashMap::new();
        for (path, value) in values {
            if let Some(earlier) = first.get(&value) {
                let message = format!("{what} is already used at {}", format_path(earlier));
                self.report(path, message);
            } else {
                first.insert(value, path);
            }
        }
    }

    /// Returns whether no problem was reported.
    pub fn is_empty(&self) -> bool {
        self.found.is_empty()
    }

    /// Adds the position in the file to each problem.
    pub(crate) fn with_positions(self, text: &str, root: &Value<'_>) -> Vec<Problem> {
        self.found
            .into_iter()
            .map(|(path, message)| Problem {
                position: Some(Position::of(text, find_offset(root, &path))),
                message: if path.is_empty() {
                    message
                } else {
                    format!("{}: {message}", format_path(&path))
                },
            })
            .collect()
    }

    /// Returns the problems as messages with a path, for a value that was not read from a file.
    pub fn messages(&self) -> impl Iterator<Item = String> {
        self.found
            .iter()
            .map(|(path, message)| format!("{}: {message}", format_path(path)))
    }
}

/// Largest name, bytes. It is bounded because names are part of every heartbeat and metric.
const MAX_NAME_BYTES: usize = 128;

/// Formats a path like `zones[1].name`.
fn format_path(path: &[Step]) -> String {
    let steps = path.iter().enumerate();
    let texts = steps.map(|(depth, step)| match step {
        Step::Key(key) if depth == 0 => (*key).to_owned(),
        Step::Key(key) => format!(".{key}"),
        Step::Index(index) => format!("[{index}]"),
    });
    texts.collect()
}

/// Returns the byte offset of the value at a path. If the file does not have that value, returns the
/// offset of the innermost value on the path that it has.
fn find_offset(root: &Value<'_>, path: &[Step]) -> usize {
    let mut value = root;
    for step in path {
        let next = match (step, value) {
            (Step::Key(key), Value::Object(object)) => object.get(key).map(|p| &p.value),
            (Step::Index(index), Value::Array(array)) => array.elements.get(*index),
            _ => None,
        };
        match next {
            Some(next) => value = next,
            None => break,
        }
    }
    value.start()
}
