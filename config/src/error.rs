//! Errors of a file, with line and column.

use std::fmt;

/// Position in a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
}

impl Position {
    /// Returns the position of a byte offset; an offset past the end gives the end of the text.
    pub fn of(text: &str, offset: usize) -> Self {
        let mut end = offset.min(text.len());
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        let before = &text[..end];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Self {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }
}

/// One problem of a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Position in the file; none if the file cannot be read.
    pub position: Option<Position>,
    /// Description of the problem and of the expected value. It never contains the value of a key or
    /// hash, since an operator may have put a secret there by mistake.
    pub message: String,
}

/// All problems of a file, ordered by position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    file: String,
    problems: Vec<Problem>,
}

impl Error {
    /// Creates an error with one problem.
    pub fn new<F, M>(file: F, position: Option<Position>, message: M) -> Self
    where
        F: Into<String>,
        M: Into<String>,
    {
        Self::with_problems(
            file,
            vec![Problem {
                position,
                message: message.into(),
            }],
        )
    }

    /// Creates an error with several problems; sorts them by position.
    pub fn with_problems<F: Into<String>>(file: F, mut problems: Vec<Problem>) -> Self {
        problems.sort_by_key(|problem| problem.position);
        Self {
            file: file.into(),
            problems,
        }
    }

    /// Returns the name of the file as shown in the error.
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Returns the problems, ordered by position; at least one.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }
}

/// Writes one line for each problem, `FILE:LINE:COLUMN: MESSAGE`.
impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{}:", self.file)?;
            if let Some(Position { line, column }) = problem.position {
                write!(f, "{line}:{column}:")?;
            }
            write!(f, " {}", problem.message)?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}
