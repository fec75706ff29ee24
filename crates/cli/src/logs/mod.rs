//! Installs the process's logger, which writes to standard error or standard output.

mod async_appender;

use anyhow::Context;
use dunlinrock_schema::settings::{LogSettings, LogSettingsFormat, LogSettingsLevel};
use log::{
    LevelFilter, Record,
    kv::{Error, Key, Value, VisitSource},
};
use log4rs::{
    append::console::{ConsoleAppender, Target},
    config::{Appender, Config, Root},
    encode::{Encode, Write, json::JsonEncoder},
};

/// Name of the only appender.
const CONSOLE: &str = "console";

/// Installs a logger that writes to standard error, in the format and at the level of the settings.
pub(crate) fn open(settings: &LogSettings) -> anyhow::Result<()> {
    let encoder: Box<dyn Encode> = match settings.format {
        LogSettingsFormat::Text => Box::new(TextEncoder),
        LogSettingsFormat::Json => Box::new(JsonEncoder::new()),
    };
    let console = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(encoder)
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build(CONSOLE, Box::new(console)))
        .build(
            Root::builder()
                .appender(CONSOLE)
                .build(level(settings.level)),
        )
        .context("creating the log configuration")?;
    log4rs::init_config(config).context("installing the logger")?;
    Ok(())
}

/// Installs a logger that writes JSON lines to standard output, and drops lines rather than block
/// when the reader is slow.
pub(crate) fn open_lines() -> anyhow::Result<()> {
    let lines = Box::new(async_appender::AsyncAppender::spawn()?);
    let config = Config::builder()
        .appender(Appender::builder().build(CONSOLE, lines))
        .build(Root::builder().appender(CONSOLE).build(LevelFilter::Info))
        .context("creating the log configuration")?;
    log4rs::init_config(config).context("installing the logger")?;
    Ok(())
}

fn level(level: LogSettingsLevel) -> LevelFilter {
    match level {
        LogSettingsLevel::Error => LevelFilter::Error,
        LogSettingsLevel::Warn => LevelFilter::Warn,
        LogSettingsLevel::Info => LevelFilter::Info,
        LogSettingsLevel::Debug => LevelFilter::Debug,
        LogSettingsLevel::Trace => LevelFilter::Trace,
    }
}

/// Encoder that writes one line per record: time, level, module, message, and its fields as
/// `key=value`.
///
/// The library's pattern encoder prints only fields that the pattern names, but records have
/// different fields.
#[derive(Debug)]
struct TextEncoder;

impl Encode for TextEncoder {
    fn encode(&self, w: &mut dyn Write, record: &Record<'_>) -> anyhow::Result<()> {
        let time = std::time::SystemTime::now();
        let since_epoch = time
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default();
        write!(
            w,
            "{}.{:03} {:5} {}: {}",
            since_epoch.as_secs(),
            since_epoch.subsec_millis(),
            record.level(),
            record.target(),
            record.args()
        )?;
        record.key_values().visit(&mut Fields(w))?;
        writeln!(w)?;
        Ok(())
    }
}

/// Writes the fields of a record as ` key=value`.
struct Fields<'a>(&'a mut dyn Write);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}").map_err(Error::boxed)
    }
}
