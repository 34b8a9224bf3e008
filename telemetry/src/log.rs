//! Logging to standard error, or through a buffer to standard output.

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

/// Libraries that log every packet or connection. Their records below `warn` are dropped unless the
/// configured level is `trace`.
const VERBOSE_LIBRARIES: [&str; 7] = [
    "actix_http",
    "actix_server",
    "awc",
    "h2",
    "quinn",
    "quinn_proto",
    "rustls",
];

/// Sets up logging to standard error for records of `level` and above.
///
/// Servers in one process share the logger: only the first call takes effect.
pub fn init(level: &str, form: Form) -> eyre::Result<()> {
    let dispatch = dispatch(level, form)?.chain(std::io::stderr());
    // Fails only if a logger is already installed, by another server in this process or by a test.
    if let Err(error) = dispatch.apply() {
        log::debug!("logger is already installed: {error}");
    }
    Ok(())
}

/// Maximum size of the buffered output; lines beyond it are dropped and counted.
const MAX_BUFFERED_BYTES: usize = 512 * 1024;

/// Interval at which buffered lines are written to standard output.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);

/// Lines not yet written to standard output.
#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    /// Number of lines dropped because the buffer was full.
    dropped: u64,
}

/// In-memory log buffer. Writing to it does not wait for standard output; a separate thread flushes it.
#[derive(Debug, Clone, Default)]
pub struct Output(Arc<Mutex<Buffer>>);

impl Write for Output {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut buffer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() + buf.len() > MAX_BUFFERED_BYTES {
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
    /// Writes the buffered lines to `writer`. Must also be called before the process exits, so that the last
    /// lines are not lost.
    pub fn flush_to<W>(&self, mut writer: W) -> io::Result<()>
    where
        W: Write,
    {
        let mut buffer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let Buffer { bytes, dropped } = std::mem::take(&mut *buffer);
        drop(buffer);
        if dropped > 0 {
            writeln!(
                writer,
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"count\":{dropped}}}"
            )?;
        }
        writer.write_all(&bytes)?;
        writer.flush()
    }
}

/// Sets up buffered logging to standard output for records of `level` and above. Logging never waits for the
/// output: lines that do not fit into the buffer are dropped and counted.
pub fn init_buffered(level: &str, form: Form) -> eyre::Result<Output> {
    let output = Output::default();
    let sink: Box<dyn Write + Send> = Box::new(output.clone());
    if let Err(error) = dispatch(level, form)?.chain(sink).apply() {
        log::debug!("logger is already installed: {error}");
    }
    let buffered = output.clone();
    thread::Builder::new().name("log".into()).spawn(move || {
        loop {
            thread::sleep(FLUSH_INTERVAL);
            // Standard output is closed. Further lines fill the buffer and are then counted as dropped.
            if buffered.flush_to(io::stdout().lock()).is_err() {
                return;
            }
        }
    })?;
    Ok(output)
}

/// Returns a dispatch with the level filter and the line format, but without an output.
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

/// Formats a record like `2026-01-31T12:00:00.000Z INFO  primrosepin_entry::server message key=value`.
fn format_human(out: FormatCallback<'_>, message: &Arguments<'_>, record: &Record<'_>) {
    let mut pairs = HumanPairs(String::new());
    // `visit_pair` never returns an error.
    drop(record.key_values().visit(&mut pairs));
    out.finish(format_args!(
        "{} {:5} {} {}{}",
        format_rfc3339_millis(SystemTime::now()),
        record.level(),
        record.target(),
        escape_control(&message.to_string()),
        pairs.0
    ));
}

/// Formats a record as one JSON object; its keys stand next to `time`, `level`, `target` and `message`.
fn format_json(out: FormatCallback<'_>, message: &Arguments<'_>, record: &Record<'_>) {
    let mut pairs = JsonPairs(Map::new());
    // `visit_pair` never returns an error.
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

/// Escapes control characters, so that untrusted text cannot forge another log record.
fn escape_control(text: &str) -> String {
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
        let value = escape_control(&value.to_string());
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
