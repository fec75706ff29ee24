//! `edge`: one entry host on the users' platform.

use std::thread;

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
        loop {
            tokio::select! {
                () = signals.next() => break,
                _ = hangup.recv() => reload(args),
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

/// Checks the settings again. Those in use stay: each of them is an identity, an address or a bound
/// that a running host has already promised, and a changed one takes effect with the next start.
fn reload(args: &Edge) {
    match settings::open(&args.settings) {
        Ok(_) => log::info!(target: "host", event = "reload"; "the settings are sound"),
        Err(e) => {
            log::warn!(target: "host", event = "reload_failed", error:? = e; "the settings in use stay");
        }
    }
}
