//! `edge`: runs one entry host on the users' platform.

use std::{fs, path::Path, thread, time::Duration};

use anyhow::Context;
use dunlinrock_edge::{
    host::Host,
    settings::{self, Settings},
};
use dunlinrock_platform::{dialect, store};
use tokio::sync::oneshot;

use crate::{
    args::Edge,
    exit::{CliError, Exit},
    logs,
    runtime::block_on,
    signals::{HeldSignals, Signal, Signals},
};

/// Interval at which the settings file is polled for changes. New settings may take a few seconds
/// to become active, and each poll reads only a few hundred bytes.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a host until a signal, then until its graceful shutdown has ended.
pub(crate) fn edge(args: &Edge, held: HeldSignals) -> Result<(), CliError> {
    block_on(async {
        // Installed first, so that a signal during the start causes a graceful shutdown or a reload
        // once the host runs.
        let mut signals = Signals::open(held)?;
        let mut file = SettingsFile::open(&args.settings)?;
        let settings = file.settings()?;
        logs::open_lines()?;
        let feed = store::open(settings.store, settings.listen.peers.ip());
        let host = Host::spawn(settings, feed, dialect::open())?;
        loop {
            tokio::select! {
                signal = signals.next() => match signal {
                    Signal::Stop => break,
                    Signal::Hangup => file.reload(&host),
                },
                () = tokio::time::sleep(POLL_INTERVAL) => file.poll(&host),
            }
        }
        host.start_shutdown();
        let (done_tx, done_rx) = oneshot::channel();
        thread::Builder::new()
            .name("stop".to_owned())
            .spawn(move || done_tx.send(host.join()))
            .map_err(anyhow::Error::from)?;
        tokio::select! {
            done = done_rx => match done {
                Ok(result) => Ok(result?),
                Err(_) => Err(CliError::open(Exit::Failed, "the graceful shutdown panicked")),
            },
            () = signals.stop() => {
                Err(CliError::open(Exit::Failed, "ended at once by a second signal"))
            }
        }
    })?
}

/// The settings file of a running host.
struct SettingsFile<'a> {
    path: &'a Path,
    /// Content when the file was last read.
    text: String,
}

impl SettingsFile<'_> {
    /// Reads the file once, for both the host's start and the first poll. With two reads, a change
    /// in between would be taken for the settings that the host started with, and never be applied.
    fn open(path: &Path) -> anyhow::Result<SettingsFile<'_>> {
        let text =
            fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))?;
        Ok(SettingsFile { path, text })
    }

    /// Parses the settings.
    fn settings(&self) -> anyhow::Result<Settings> {
        let at = || format!("settings file {}", self.path.display());
        settings::parse(&self.text).with_context(at)
    }

    /// Reads the file and applies it if its content has changed, as it may be replaced without a
    /// signal.
    fn poll(&mut self, host: &Host) {
        // The file may be missing for a moment while it is being replaced.
        if let Ok(text) = fs::read_to_string(self.path)
            && text != self.text
        {
            self.apply(text, host);
        }
    }

    /// Applies the file whether it has changed or not, since an operator asked for a reload.
    fn reload(&mut self, host: &Host) {
        match fs::read_to_string(self.path) {
            Ok(text) => self.apply(text, host),
            Err(e) => log_reload_failure(&e.into()),
        }
    }

    fn apply(&mut self, text: String, host: &Host) {
        match settings::parse(&text) {
            Ok(settings) => host.shared().reload(settings),
            Err(e) => log_reload_failure(&e),
        }
        self.text = text;
    }
}

fn log_reload_failure(error: &anyhow::Error) {
    log::warn!(target: "host", event = "reload_failed", error:? = error; "the current settings remain active");
}
