//! Reads what the responses of targets say about the targets.

use std::{sync::Arc, time::Duration};

use dunlinrock_decide::admit::direct::{Admission, Process};
use http::{HeaderMap, StatusCode};

use super::{Front, request_log::Kind, targets::TargetHandle};
use crate::{model::Reported, notices::process};

impl Front {
    /// Records what the head of a response says about its target, before the body is read: it holds
    /// even if the response breaks off.
    pub(super) fn record_notices(
        &self,
        handle: &TargetHandle,
        status: StatusCode,
        headers: &HeaderMap,
    ) {
        // Another process answers, at the address of the expected one.
        if status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        let dialect = &self.shared.dialect;
        match (dialect.parse_leaving)(headers) {
            Reported::Value(true) => self.record_leaving(process(&handle.target)),
            Reported::Malformed => self.shared.meters.count("leaving_malformed"),
            Reported::Value(false) | Reported::Absent => {}
        }
        if status != StatusCode::SERVICE_UNAVAILABLE {
            return;
        }
        match (dialect.parse_backoff)(headers) {
            Reported::Value(time) => self.record_backoff(handle, time),
            Reported::Malformed => self.shared.meters.count("backoff_malformed"),
            Reported::Absent => {}
        }
    }

    /// Records that a process has said that it is leaving, to this host or to the one at the other
    /// end of a forwarded request.
    pub(super) fn record_leaving(&self, process: Process) {
        let id = Arc::clone(&process.id);
        if self
            .shared
            .notices
            .record_leaving(process, self.shared.now())
        {
            self.shared.meters.count("targets_leaving");
            log::info!(
                target: "belief", event = "target_leaving", to = &*id;
                "the target says that it is leaving"
            );
        }
    }

    /// Whether a target has told this host that it is leaving.
    pub(super) fn is_leaving(&self, handle: &TargetHandle) -> bool {
        let now = self.shared.now();
        self.shared.notices.admission(&handle.target, 0, now) == Admission::Leaving
    }

    /// Whether a target takes another request of this host now, going by what it has said.
    pub(super) fn admission(&self, handle: &TargetHandle) -> Admission {
        let (in_flight, now) = (handle.in_flight(), self.shared.now());
        let notices = &self.shared.notices;
        notices.admission(&handle.target, in_flight, now)
    }

    /// Whether a request that was selected for a target must not be sent to it any more.
    pub(super) fn is_closed(&self, handle: &TargetHandle) -> bool {
        let now = self.shared.now();
        self.shared.notices.admission(&handle.target, 0, now) != Admission::Open
    }

    fn record_backoff(&self, handle: &TargetHandle, time: Duration) {
        let (target, now) = (&handle.target, self.shared.now());
        if !self.shared.notices.record_backoff(target, time, now) {
            return;
        }
        self.record_start_failure(&target.id);
        self.ramp_recovered(&target.id, now.saturating_add(time));
        self.shared.meters.count("target_backoffs");
        if self.may_log(Kind::Failure) {
            log::info!(
                target: "belief", event = "target_backoff", to = &*target.id,
                time_ms = time.as_millis() as u64; "the target wants no requests for a time"
            );
        }
    }
}
