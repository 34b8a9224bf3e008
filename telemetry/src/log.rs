//! Log lines on standard error, or buffered on standard output.

use std::fmt::Arguments;
use std::io::{self, Write};
use std::str::FromStr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime};

use eyre::{WrapErr, eyre};
use fern::{Dispatch, FormatCallback};
use humantime::format_rfc3339_millis;
use log::kv::{self, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde_json::Map;

pub use primrosepin_config::settings::LogForm as Form;

/// Libraries whose lines below `warn` are left out unless the level is `trace`: they write a line for
/// each packet or connection.
const VERBOSE_LIBRARIES: [&str; 7] = [
    "actix_http",
    "actix_server",
    "awc",
    "h2",
    "quinn",
    "quinn_proto",
    "rustls",
];

/// Starts to write log lines of `level` and above to standard error.
///
/// The first set-up in a process stays in force: servers that run together share it.
pub fn init(level: &str, form: Form) -> eyre::Result<()> {
    let dispatch = dispatch(level, form)?.chain(std::io::stderr());
    // An error means that a logger is already set, by an earlier server or by a test.
    if let Err(error) = dispatch.apply() {
        log::debug!("log set-up skipped: {error}");
    }
    Ok(())
}

/// Bytes of lines that wait for standard output; further lines are dropped and counted.
const BUFFER_BYTES: usize = 512 * 1024;

/// Interval at which lines are written to standard output.
const FLUSH: Duration = Duration::from_millis(200);

/// Lines that wait for standard output.
#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Takes lines without blocking: they are written by a thread of their own.
#[derive(Debug, Clone, Default)]
pub struct Output(Arc<Mutex<Buffer>>);

impl Write for Output {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut buffer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() + buf.len() > BUFFER_BYTES {
            buffer.dropped += 1;
        } else {
            buffer.bytes.extend_from_slice(buf);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Output {
    /// Writes the lines that wait. Called again before the process ends.
    pub fn write_out<W>(&self, mut to: W) -> io::Result<()>
    where
        W: Write,
    {
        let mut buffer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let Buffer { bytes, dropped } = std::mem::take(&mut *buffer);
        drop(buffer);
        if dropped > 0 {
            writeln!(
                to,
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"count\":{dropped}}}"
            )?;
        }
        to.write_all(&bytes)?;
        to.flush()
    }
}

/// Starts to write log lines of `level` and above to standard output. No caller waits for the output: lines
/// that find no room are dropped and counted.
pub fn init_buffered(level: &str, form: Form) -> eyre::Result<Output> {
    let output = Output::default();
    let sink: Box<dyn Write + Send> = Box::new(output.clone());
    if let Err(error) = dispatch(level, form)?.chain(sink).apply() {
        log::debug!("log set-up skipped: {error}");
    }
    let writer = output.clone();
    thread::Builder::new().name("log".into()).spawn(move || {
        loop {
            thread::sleep(FLUSH);
            // Nobody reads the output any more; lines are then counted as dropped.
            if writer.write_out(io::stdout().lock()).is_err() {
                return;
            }
        }
    })?;
    Ok(output)
}

/// Returns the filter and line form without an output.
pub fn dispatch(level: &str, form: Form) -> eyre::Result<Dispatch> {
    let level = LevelFilter::from_str(level)
        .wrap_err_with(|| eyre!("log level must be error, warn, info, debug or trace"))?;
    let mut dispatch = Dispatch::new().level(level);
    if level < LevelFilter::Trace {
        for library in VERBOSE_LIBRARIES {
            dispatch = dispatch.level_for(library, level.min(LevelFilter::Warn));
        }
    }
    Ok(match form {
        Form::Human => dispatch.format(format_human),
        Form::Json => dispatch.format(format_json),
    })
}

/// `2026-01-31T12:00:00.000Z INFO  primrosepin_entry::server message key=value`
fn format_human(out: FormatCallback<'_>, message: &Arguments<'_>, record: &Record<'_>) {
    let mut pairs = HumanPairs(String::new());
    // The visitor never fails.
    drop(record.key_values().visit(&mut pairs));
    out.finish(format_args!(
        "{} {:5} {} {}{}",
        format_rfc3339_millis(SystemTime::now()),
        record.level(),
        record.target(),
        one_line(&message.to_string()),
        pairs.0
    ));
}

/// One JSON object; the keys of the record are next to `time`, `level`, `target` and `message`.
fn format_json(out: FormatCallback<'_>, message: &Arguments<'_>, record: &Record<'_>) {
    let mut pairs = JsonPairs(Map::new());
    // The visitor never fails.
    drop(record.key_values().visit(&mut pairs));
    let mut line = pairs.0;
    line.insert(
        "time".into(),
        format_rfc3339_millis(SystemTime::now()).to_string().into(),
    );
    line.insert("level".into(), record.level().as_str().into());
    line.insert("target".into(), record.target().into());
    line.insert("message".into(), message.to_string().into());
    out.finish(format_args!("{}", serde_json::Value::Object(line)));
}

/// Keeps a record on one line, so that text from outside cannot look like another record.
fn one_line(text: &str) -> String {
    if text.contains(char::is_control) {
        let escape = |c: char| {
            if c.is_control() {
                c.escape_default().to_string()
            } else {
                c.to_string()
            }
        };
        text.chars().map(escape).collect()
    } else {
        text.to_owned()
    }
}

struct HumanPairs(String);

impl<'kvs> VisitSource<'kvs> for HumanPairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let value = one_line(&value.to_string());
        self.0.push(' ');
        self.0.push_str(key.as_str());
        self.0.push('=');
        self.0.push_str(&value);
        Ok(())
    }
}

struct JsonPairs(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for JsonPairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let value = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_i64() {
            number.into()
        } else if let Some(number) = value.to_f64() {
            number.into()
        } else if let Some(boolean) = value.to_bool() {
            boolean.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}
