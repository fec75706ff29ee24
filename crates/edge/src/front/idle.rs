//! Counts a host's connections to targets, and limits how many stay idle.

use std::{cell::Cell, rc::Rc};

use super::connection::TargetConnection;

/// Number of connections to targets.
#[derive(Debug)]
pub(super) struct ConnectionCounter {
    open: Cell<u32>,
    idle: Cell<u32>,
    /// Maximum number of idle ones, over all targets.
    max_idle: u32,
}

impl ConnectionCounter {
    /// Creates a counter that allows up to `max_idle` idle connections.
    pub(super) fn open(max_idle: u32) -> Rc<ConnectionCounter> {
        Rc::new(ConnectionCounter {
            open: Cell::new(0),
            idle: Cell::new(0),
            max_idle,
        })
    }

    /// Returns the number of open connections.
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

/// A pooled idle connection.
#[derive(Debug)]
pub(super) struct IdleConnection {
    connection: TargetConnection,
    permit: IdlePermit,
}

impl IdleConnection {
    /// Pools a connection, unless the limit of idle ones is reached.
    pub(super) fn keep(connection: TargetConnection) -> Option<IdleConnection> {
        let counter = Rc::clone(connection.counter());
        let permit = IdlePermit::take(counter)?;
        Some(IdleConnection { connection, permit })
    }

    /// Takes the connection out of the pool.
    pub(super) fn take(self) -> TargetConnection {
        drop(self.permit);
        self.connection
    }
}

/// Counts an idle connection until it is dropped.
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
