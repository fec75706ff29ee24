//! Binds the listening addresses of a host.

use std::net::{SocketAddr, TcpListener};

use anyhow::Context;

/// Binds the address of a setting.
pub(super) fn bind(setting: &str, address: &str) -> anyhow::Result<TcpListener> {
    let parsed: SocketAddr = address
        .parse()
        .with_context(|| format!("`{setting} = \"{address}\"` in the settings is not IP:PORT"))?;
    let listener = TcpListener::bind(parsed).with_context(|| {
        format!("cannot listen for {setting} on {address}; is another process using the port?")
    })?;
    listener.set_nonblocking(true).context("the listener")?;
    Ok(listener)
}
