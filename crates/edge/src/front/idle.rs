//! How many connections to targets a host holds, and which it keeps idle.

use std::{cell::Cell, rc::Rc};

use super::connection::TargetConnection;

/// Connections to targets that a host holds.
#[derive(Debug)]
pub(super) struct ConnectionCounter {
    open: Cell<u32>,
    idle: Cell<u32>,
    /// Idle ones that may be kept, at all targets together.
    max_idle: u32,
}

impl ConnectionCounter {
    /// Opens a count of which up to `most` may be kept idle.
    pub(super) fn open(max_idle: u32) -> Rc<ConnectionCounter> {
        Rc::new(ConnectionCounter {
            open: Cell::new(0),
            idle: Cell::new(0),
            max_idle,
        })
    }

    /// Connections that are open.
    pub(super) fn count(&self) -> u32 {
        self.open.get()
    }
}

/// Counts a connection while it is open.
#[derive(Debug)]
pub(super) struct OpenGuard(Rc<ConnectionCounter>);

impl OpenGuard {
    pub(super) fn count(counter: &Rc<ConnectionCounter>) -> OpenGuard {
        counter.open.set(counter.open.get() + 1);
        OpenGuard(Rc::clone(counter))
    }

    pub(super) fn counter(&self) -> &Rc<ConnectionCounter> {
        &self.0
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// A connection that is kept idle.
#[derive(Debug)]
pub(super) struct IdleConnection {
    connection: TargetConnection,
    permit: IdlePermit,
}

impl IdleConnection {
    /// Keeps a connection, unless as many are kept as may be.
    pub(super) fn keep(connection: TargetConnection) -> Option<IdleConnection> {
        let counter = Rc::clone(connection.counter());
        let permit = IdlePermit::take(counter)?;
        Some(IdleConnection { connection, permit })
    }

    /// Gives the connection back.
    pub(super) fn take(self) -> TargetConnection {
        drop(self.permit);
        self.connection
    }
}

/// Counts a kept connection.
#[derive(Debug)]
struct IdlePermit(Rc<ConnectionCounter>);

impl IdlePermit {
    fn take(counter: Rc<ConnectionCounter>) -> Option<IdlePermit> {
        if counter.idle.get() >= counter.max_idle {
            return None;
        }
        counter.idle.set(counter.idle.get() + 1);
        Some(IdlePermit(counter))
    }
}

impl Drop for IdlePermit {
    fn drop(&mut self) {
        self.0.idle.set(self.0.idle.get() - 1);
    }
}
