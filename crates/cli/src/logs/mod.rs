//! Logging to standard error or standard output.

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

/// Logs to standard error, in the format and at the level of the settings.
pub(crate) fn open(settings: &LogSettings) -> anyhow::Result<()> {
    let encoder: Box<dyn Encode> = match settings.format {
        LogSettingsFormat::Text => Box::new(Text),
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
        .context("the log's configuration")?;
    log4rs::init_config(config).context("starting the log")?;
    Ok(())
}

/// Logs structured lines to standard output without ever blocking on its reader.
pub(crate) fn open_lines() -> anyhow::Result<()> {
    let lines = Box::new(async_appender::AsyncAppender::spawn()?);
    let config = Config::builder()
        .appender(Appender::builder().build(CONSOLE, lines))
        .build(Root::builder().appender(CONSOLE).build(LevelFilter::Info))
        .context("the log's configuration")?;
    log4rs::init_config(config).context("starting the log")?;
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
struct Text;

impl Encode for Text {
    fn encode(&self, w: &mut dyn Write, record: &Record<'_>) -> anyhow::Result<()> {
        let time = std::time::SystemTime::now();
        let since = time
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default();
        write!(
            w,
            "{}.{:03} {:5} {}: {}",
            since.as_secs(),
            since.subsec_millis(),
            record.level(),
            record.target(),
            record.args()
        )?;
        record.key_values().visit(&mut Fields(w))?;
        writeln!(w)?;
        Ok(())
    }
}

struct Fields<'a>(&'a mut dyn Write);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}").map_err(Error::boxed)
    }
}
