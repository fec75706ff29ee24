//! `serve`: runs one entry host.

use std::thread;

use dunlinrock_config::settings;
use dunlinrock_node::Host;
use tokio::sync::oneshot;

use crate::{
    args::Serve,
    exit::{CliError, Exit},
    logs,
    runtime::block_on,
    signals::{HeldSignals, Signal, Signals},
};

/// Runs a host until a signal, then until its graceful shutdown has ended.
pub(crate) fn serve(args: &Serve, held: HeldSignals) -> Result<(), CliError> {
    block_on(async {
        // Installed first, so that a signal during the start causes a graceful shutdown too.
        let mut signals = Signals::open(held)?;
        let settings = settings::load(&args.settings)?;
        logs::open(&settings.log.clone().unwrap_or_default())?;
        let mut host = Host::spawn(settings.clone())?;
        loop {
            let earlier = tokio::select! {
                signal = signals.next() => match signal {
                    Signal::Stop => break,
                    Signal::Hangup => {
                        log_ignored_hangup();
                        continue;
                    }
                },
                earlier = host.higher_incarnation() => earlier,
            };
            let ended = tokio::task::spawn_blocking(|| host.wait());
            ended.await.map_err(anyhow::Error::from)??;
            host = Host::spawn_above(settings.clone(), earlier)?;
        }
        log::info!("graceful shutdown begins; a second signal ends the host at once");
        host.start_shutdown();
        let (done_tx, done_rx) = oneshot::channel();
        thread::Builder::new()
            .name("stop".to_owned())
            .spawn(move || done_tx.send(host.wait()))
            .map_err(anyhow::Error::from)?;
        tokio::select! {
            done = done_rx => match done {
                Ok(result) => Ok(result.map(|_| ())?),
                Err(_) => Err(CliError::open(Exit::Failed, "the graceful shutdown panicked")),
            },
            () = signals.stop() => {
                Err(CliError::open(Exit::Failed, "ended at once by a second signal"))
            }
        }
    })?
}

/// A hangup must not end the host: it would break off running requests without a drain.
fn log_ignored_hangup() {
    log::warn!(
        "SIGHUP ignored: settings are read at the start; to apply changes, stop the host with SIGTERM and start it again"
    );
}
