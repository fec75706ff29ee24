//! `edge`: one entry host on the users' platform.

use std::{fs, path::Path, thread, time::Duration};

use anyhow::Context;
use dunlinrock_edge::{
    host::Host,
    settings::{self, Settings},
};
use dunlinrock_platform::{dialect, store};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::oneshot,
};

use crate::{
    args::Edge,
    exit::{CliError, Exit},
    logs,
    runtime::{Signals, block_on},
};

/// Pause between two looks whether the settings file has changed: they may take a few seconds to be
/// in force, and a look is a read of a few hundred bytes.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a host until a signal, then until its planned stop is over.
pub(crate) fn edge(args: &Edge) -> Result<(), CliError> {
    let mut file = SettingsFile::open(&args.settings)?;
    let settings = file.settings()?;
    logs::open_lines()?;
    let feed = store::open(settings.store, settings.listen.peers.ip());
    block_on(async {
        // Before the host starts: a signal during the start must begin a planned stop too.
        let mut signals = Signals::open()?;
        let mut hangup = signal(SignalKind::hangup()).map_err(anyhow::Error::from)?;
        let host = Host::spawn(settings, feed, dialect::open())?;
        loop {
            tokio::select! {
                () = signals.next() => break,
                _ = hangup.recv() => file.reload(&host),
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
                Err(_) => Err(CliError::open(Exit::Failed, "the planned stop died")),
            },
            () = signals.next() => {
                Err(CliError::open(Exit::Failed, "ended at once by a second signal"))
            }
        }
    })?
}

/// The settings file of a running host.
struct SettingsFile<'a> {
    path: &'a Path,
    /// Its text when it was last read.
    text: String,
}

impl SettingsFile<'_> {
    /// Reads the file once, for the host's start and for the first look. Read for each, a change between
    /// the two would pass for what the host started with, and never be taken up.
    fn open(path: &Path) -> anyhow::Result<SettingsFile<'_>> {
        let text =
            fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))?;
        Ok(SettingsFile { path, text })
    }

    /// What it says.
    fn settings(&self) -> anyhow::Result<Settings> {
        let at = || format!("settings file {}", self.path.display());
        settings::parse(&self.text).with_context(at)
    }

    /// Reads the file and takes it up if its text has changed: it may be replaced without a signal.
    fn poll(&mut self, host: &Host) {
        // One that is just being replaced may be missing for a moment.
        if let Ok(text) = fs::read_to_string(self.path)
            && text != self.text
        {
            self.apply(text, host);
        }
    }

    /// Takes the file up whether it has changed or not, as somebody asked for it.
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
    log::warn!(target: "host", event = "reload_failed", error:? = error; "the settings in use stay");
}
