//! Owner of a key: answers to its claim and close requests.

use dunlinrock_schema::once::{Closing, Verdict};

use super::{Ledger, Role};
use crate::{
    Action, Key,
    record::{PeerStatus, Record, State},
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

    /// Applies the witness's verdict on a claim; any verdict but a grant closes the key
    /// permanently.
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
            Verdict::Taken => self.close(key, record, PeerStatus::Claimed, out),
            Verdict::Closed => self.close(key, record, PeerStatus::WillNotRun, out),
            Verdict::Ended | Verdict::Full => self.close(key, record, PeerStatus::Unknown, out),
        }
    }

    /// Dispatches the request, or closes the key if no attempt waits. The witness never runs a
    /// request whose claim it granted, so the key is then permanently closed.
    pub(super) fn on_grant(&mut self, key: &Key, record: &mut Record, out: &mut Vec<Action>) {
        if record.waiters.is_empty() {
            self.close(key, record, PeerStatus::WillNotRun, out);
        } else {
            self.dispatch(key, record, out);
        }
    }

    fn close(&mut self, key: &Key, record: &mut Record, peer: PeerStatus, out: &mut Vec<Action>) {
        record.state = State::Closed(peer);
        self.resolve(key, record, out);
    }

    pub(super) fn on_close_answer(&mut self, key: &Key, closing: Closing, out: &mut Vec<Action>) {
        if self.role(key) != Role::Owner {
            return;
        }
        let Some(mut record) = self.table.take(key) else {
            return;
        };
        if record.state == State::Closed(PeerStatus::Unknown) {
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
            Closing::Closed => self.close(key, record, PeerStatus::WillNotRun, out),
            Closing::Taken => self.close(key, record, PeerStatus::Claimed, out),
            Closing::Unknown => self.refuse_timeout(record, out),
        }
    }
}
