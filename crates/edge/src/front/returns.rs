//! When refused callers come back, by the room that is expected at this host.

use std::{sync::Arc, time::Duration};

use dunlinrock_decide::{
    admit::direct::{Refusal, Return, ReturnBook},
    steer::hash::to_unit_f64,
};
use tokio::time::Instant;

use super::{
    Front,
    access::Access,
    attempt::OutboundRequest,
    request::{OTHER_HOST_RETRY_AFTER, RetryState},
    response::RequestEnd,
};

/// Returns a second that are asked back to a service before this host was served any.
const SERVICE_FLOOR: f64 = 10.0;

/// The same for all requests, before a configuration is known.
const UNCONFIGURED_FLOOR: f64 = 20.0;

/// Fraction of its remaining time that a caller waits before it comes back: a third try or an
/// answer needs the rest.
const PATIENCE_FRACTION: f64 = 1.0 / 3.0;

/// Returns how long a caller with this time left can wait before it comes back.
fn patience(left: Duration) -> Duration {
    left.mul_f64(PATIENCE_FRACTION)
}

impl Front {
    /// Opens the book of a service's returns.
    fn service_book(&self) -> ReturnBook {
        ReturnBook::open(SERVICE_FLOOR, to_unit_f64(self.name_hash))
    }

    /// Opens the book of returns of callers without a service: before a configuration is known, and
    /// without a token. `name_hash` is that of this host.
    pub(super) fn general_book(name_hash: u64) -> ReturnBook {
        ReturnBook::open(UNCONFIGURED_FLOOR, to_unit_f64(name_hash))
    }

    /// Returns the result of a request that is given up for want of room at a service's targets: a
    /// refusal that says when to come back, if it certainly has not run.
    pub(super) fn give_up_full(
        &self,
        (access, service): (&Access, &Arc<str>),
        outbound: &OutboundRequest,
        state: &RetryState,
        (cause, earliest, is_short): (&str, Duration, bool),
    ) -> RequestEnd {
        if state.may_have_run {
            return state.give_up(cause, Duration::ZERO);
        }
        let refusal = outbound.refusal(access.priority(), earliest, is_short);
        let booked = {
            let mut books = self.return_books.borrow_mut();
            let book = books.entry(Arc::clone(service));
            let book = book.or_insert_with(|| self.service_book());
            book.book(&refusal, self.shared.now())
        };
        state.give_up(cause, self.count_return(booked))
    }

    /// Returns when to come back to a host without a configuration.
    pub(super) fn unconfigured_return(&self, left: Duration) -> Duration {
        let refusal = Refusal {
            earliest: OTHER_HOST_RETRY_AFTER,
            patience: patience(left),
            priority: 0,
            is_short: true,
        };
        let mut book = self.general_book.borrow_mut();
        self.count_return(book.book(&refusal, self.shared.now()))
    }

    /// Returns when a caller without a token comes back. The tokens go to whoever asks first, so a
    /// later return finds no more of them.
    pub(super) fn return_without_token(
        &self,
        outbound: &OutboundRequest,
        priority: u8,
        earliest: Duration,
    ) -> Duration {
        let refusal = outbound.refusal(priority, earliest, false);
        let mut book = self.general_book.borrow_mut();
        self.count_return(book.book(&refusal, self.shared.now()))
    }

    /// Counts a booking, and returns the time that the caller is told.
    fn count_return(&self, booked: Return) -> Duration {
        match booked.is_booked {
            true => self.shared.meters.count("returns_booked"),
            false => self.shared.meters.count("returns_without_room"),
        }
        booked.after
    }

    /// Records that a target answered a request for a service.
    pub(super) fn record_served(&self, service: &Arc<str>) {
        let mut books = self.return_books.borrow_mut();
        let book = books.entry(Arc::clone(service));
        let book = book.or_insert_with(|| self.service_book());
        book.record_served(self.shared.now());
    }

    /// Returns how many places are kept for more urgent callers who come back to a service now.
    pub(super) fn room_kept(&self, service: &Arc<str>, priority: u8) -> u32 {
        let books = self.return_books.borrow();
        let book = books.get(service);
        book.map_or(0, |book| book.kept(priority, self.shared.now()))
    }

    /// Records that a request of this priority got room that was kept.
    pub(super) fn claim_room(&self, service: &Arc<str>, priority: u8) {
        let mut books = self.return_books.borrow_mut();
        if let Some(book) = books.get_mut(service) {
            book.claim(priority, self.shared.now());
        }
    }
}

impl OutboundRequest {
    /// Returns what decides when the request's caller comes back, if it is refused now.
    pub(super) fn refusal(&self, priority: u8, earliest: Duration, is_short: bool) -> Refusal {
        let left = self
            .caller_deadline
            .saturating_duration_since(Instant::now());
        Refusal {
            earliest,
            patience: patience(left),
            priority,
            is_short,
        }
    }
}
