//! Log records to the console.

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

/// Name of the one appender.
const CONSOLE: &str = "console";

/// Sends records to the standard error stream, as the settings say.
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

/// Sends records as structured lines to the standard output, without ever waiting for its reader.
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

/// One line a record: level, module, message, then its fields as `key=value`.
///
/// The pattern encoder of the library prints only fields that the pattern names, and each duty has
/// fields of its own.
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
