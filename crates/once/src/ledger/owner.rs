//! The owner's side: answers to its claims and closes.

use dunlinrock_schema::once::{Closing, Verdict};

use super::{Ledger, Role};
use crate::{
    Action, Key,
    record::{Other, Record, State},
};

impl Ledger {
    pub(super) fn on_claim_answer(&mut self, key: &Key, verdict: Verdict, out: &mut Vec<Action>) {
        if self.role(key) != Role::Owner {
            return;
        }
        let Some(mut record) = self.table.take(key) else {
            return;
        };
        if record.state == State::Claiming {
            self.end_claim(key, &mut record, verdict, out);
        }
        self.put(key.clone(), record);
    }

    /// Takes the witness's word on a claim; anything but a grant closes the key for good.
    fn end_claim(
        &mut self,
        key: &Key,
        record: &mut Record,
        verdict: Verdict,
        out: &mut Vec<Action>,
    ) {
        record.pending = None;
        match verdict {
            Verdict::Granted => self.on_grant(key, record, out),
            Verdict::Taken => self.close_as(key, record, Other::Took, out),
            Verdict::Closed => self.close_as(key, record, Other::Never, out),
            Verdict::Ended | Verdict::Full => self.close_as(key, record, Other::Unsure, out),
        }
    }

    /// Sends the request, or closes the key where nobody waits whose request could be sent. The
    /// witness never runs what it granted, so that the key is then dead.
    pub(super) fn on_grant(&mut self, key: &Key, record: &mut Record, out: &mut Vec<Action>) {
        if record.waiters.is_empty() {
            self.close_as(key, record, Other::Never, out);
        } else {
            self.send(key, record, out);
        }
    }

    fn close_as(&mut self, key: &Key, record: &mut Record, other: Other, out: &mut Vec<Action>) {
        record.state = State::Closed(other);
        self.settle(key, record, out);
    }

    pub(super) fn on_close_answer(&mut self, key: &Key, closing: Closing, out: &mut Vec<Action>) {
        if self.role(key) != Role::Owner {
            return;
        }
        let Some(mut record) = self.table.take(key) else {
            return;
        };
        if record.state == State::Closed(Other::Unsure) {
            self.end_close(key, &mut record, closing, out);
        }
        self.put(key.clone(), record);
    }

    fn end_close(
        &mut self,
        key: &Key,
        record: &mut Record,
        closing: Closing,
        out: &mut Vec<Action>,
    ) {
        record.pending = None;
        match closing {
            Closing::Closed => self.close_as(key, record, Other::Never, out),
            Closing::Taken => self.close_as(key, record, Other::Took, out),
            Closing::Unknown => self.refuse_silent(record, out),
        }
    }
}
