//! `edge`: one entry host on the users' platform.

use std::{fs, path::Path, thread, time::Duration};

use dunlinrock_edge::{host::Host, settings};
use dunlinrock_platform::{dialect, store};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::oneshot,
};

use crate::{
    args::Edge,
    exit::{Exit, Failure},
    logs,
    rt::{Signals, block_on},
};

/// Pause between two looks whether the settings file has changed: they may take a few seconds to be
/// in force, and a look is a read of a few hundred bytes.
const LOOK: Duration = Duration::from_secs(1);

/// Runs a host until a signal, then until its planned stop is over.
pub(crate) fn edge(args: &Edge) -> Result<(), Failure> {
    let settings = settings::open(&args.settings)?;
    logs::open_lines()?;
    let feed = store::open(settings.store, settings.listen.peers.ip());
    block_on(async {
        // Before the host starts: a signal during the start must begin a planned stop too.
        let mut signals = Signals::open()?;
        let mut hangup = signal(SignalKind::hangup()).map_err(anyhow::Error::from)?;
        let host = Host::spawn(settings, feed, dialect::open())?;
        let mut file = File::open(&args.settings);
        loop {
            tokio::select! {
                () = signals.next() => break,
                _ = hangup.recv() => file.read(&host),
                () = tokio::time::sleep(LOOK) => file.look(&host),
            }
        }
        host.leave();
        let (tell, ended) = oneshot::channel();
        thread::Builder::new()
            .name("stop".to_owned())
            .spawn(move || tell.send(host.wait()))
            .map_err(anyhow::Error::from)?;
        tokio::select! {
            ended = ended => match ended {
                Ok(ended) => Ok(ended?),
                Err(_) => Err(Failure::open(Exit::Failed, "the planned stop died")),
            },
            () = signals.next() => {
                Err(Failure::open(Exit::Failed, "ended at once by a second signal"))
            }
        }
    })?
}

/// The settings file of a running host.
struct File<'a> {
    path: &'a Path,
    /// Its text when it was last taken up or found wrong; empty if it could not be read.
    text: String,
}

impl File<'_> {
    fn open(path: &Path) -> File<'_> {
        let text = fs::read_to_string(path).unwrap_or_default();
        File { path, text }
    }

    /// Reads the file again if its text has changed: it may be replaced without a signal.
    fn look(&mut self, host: &Host) {
        // One that is just being replaced may be missing for a moment.
        let text = fs::read_to_string(self.path);
        if text.is_ok_and(|text| text != self.text) {
            self.read(host);
        }
    }

    /// Takes the file up, or says what is wrong with it; the settings in use then stay.
    fn read(&mut self, host: &Host) {
        self.text = fs::read_to_string(self.path).unwrap_or_default();
        match settings::open(self.path) {
            Ok(settings) => host.shared().reload(settings),
            Err(e) => {
                log::warn!(target: "host", event = "reload_failed", error:? = e; "the settings in use stay");
            }
        }
    }
}
