//! How many connections to targets a host holds, and which it keeps idle.

use std::{cell::Cell, rc::Rc};

use super::connection::Link;

/// Connections to targets that a host holds.
#[derive(Debug)]
pub(super) struct Links {
    open: Cell<u32>,
    kept: Cell<u32>,
    /// Idle ones that may be kept, at all targets together.
    most: u32,
}

impl Links {
    /// Opens a count of which up to `most` may be kept idle.
    pub(super) fn open(most: u32) -> Rc<Links> {
        Rc::new(Links {
            open: Cell::new(0),
            kept: Cell::new(0),
            most,
        })
    }

    /// Connections that are open.
    pub(super) fn count(&self) -> u32 {
        self.open.get()
    }
}

/// Counts a connection while it is open.
#[derive(Debug)]
pub(super) struct Open(Rc<Links>);

impl Open {
    pub(super) fn count(links: &Rc<Links>) -> Open {
        links.open.set(links.open.get() + 1);
        Open(Rc::clone(links))
    }

    pub(super) fn links(&self) -> &Rc<Links> {
        &self.0
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// A connection that is kept idle.
#[derive(Debug)]
pub(super) struct Kept {
    link: Link,
    place: KeptPlace,
}

impl Kept {
    /// Keeps a connection, unless as many are kept as may be.
    pub(super) fn keep(link: Link) -> Option<Kept> {
        let links = Rc::clone(link.links());
        let place = KeptPlace::take(links)?;
        Some(Kept { link, place })
    }

    /// Gives the connection back.
    pub(super) fn take(self) -> Link {
        drop(self.place);
        self.link
    }
}

/// Counts a kept connection.
#[derive(Debug)]
struct KeptPlace(Rc<Links>);

impl KeptPlace {
    fn take(links: Rc<Links>) -> Option<KeptPlace> {
        if links.kept.get() >= links.most {
            return None;
        }
        links.kept.set(links.kept.get() + 1);
        Some(KeptPlace(links))
    }
}

impl Drop for KeptPlace {
    fn drop(&mut self) {
        self.0.kept.set(self.0.kept.get() - 1);
    }
}
