//! Asks targets how fast they are before a request goes to them.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use dunlinrock_decide::steer::affinity::Question;
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::Full;

use super::{
    Front,
    access::Access,
    connection::{BufferedResponse, ExchangeError},
    no_target::NoTarget,
    select::{Criteria, SelectedTarget},
    targets::TargetHandle,
};
use crate::replica::View;

/// Number of targets that are asked for one request: its object's two homes.
const MAX_QUESTIONS: usize = 2;

impl Front {
    /// Selects a target, and asks the selected one how fast it is if that is worth it; a slow
    /// answer may move the request to its object's other home.
    pub(super) async fn select_asking(
        &self,
        view: &View,
        access: &Access,
        criteria: &Criteria<'_>,
    ) -> Result<SelectedTarget, NoTarget> {
        let mut selected = self.select_target(view, access, criteria)?;
        for _ in 0..MAX_QUESTIONS {
            let Some(timeout) = self.question(access, &selected) else {
                break;
            };
            selected.handle.cancel_selection();
            self.ask_pace(view, &selected, timeout).await;
            let asked = Rc::clone(&selected.handle);
            selected = self.select_target(view, access, criteria)?;
            if Rc::ptr_eq(&asked, &selected.handle) {
                break;
            }
        }
        Ok(selected)
    }

    /// Returns how long a selected target's answer is waited for; `None` if it is not asked.
    fn question(&self, access: &Access, selected: &SelectedTarget) -> Option<Duration> {
        let handle = &selected.handle;
        // A selection of these is limited, and cannot be taken back wholly.
        let is_limited = selected.is_cold || handle.rate.borrow().rate().is_some();
        if is_limited || !access.route.sticky || !handle.reports_pace() {
            return None;
        }
        let usual = {
            let routes = self.route_runs.borrow();
            routes.get(&access.route.name)?.times.usual()?
        };
        let way = *self.region_rtts.borrow().get(&selected.region)?;
        let age = handle.pace_age(self.shared.now());
        Question { age, way, usual }.timeout()
    }

    /// Asks a target for its load and pace, and records the answer.
    async fn ask_pace(&self, view: &View, selected: &SelectedTarget, timeout: Duration) {
        let handle = &selected.handle;
        let service = &handle.target.service;
        let config = view.config.as_ref();
        let Some(service) = config.and_then(|c| c.services.get(service)) else {
            return;
        };
        self.shared.meters.count("pace_questions");
        let asked = self.exchange_question(handle, &service.health);
        let asked = tokio::time::timeout(timeout, asked).await;
        let Ok(Ok(response)) = asked else {
            self.shared.meters.count("pace_unanswered");
            return;
        };
        if let Some(load) = (self.shared.dialect.parse_load)(&response.headers) {
            handle.record_load_at_rest(load, self.shared.now());
        }
    }

    /// Sends a health check on an idle connection, or on a new one, which the request then uses.
    async fn exchange_question(
        &self,
        handle: &Rc<TargetHandle>,
        path: &str,
    ) -> Result<BufferedResponse, ExchangeError> {
        let mut connection = match self.take_kept(handle, false) {
            Some(connection) => connection,
            None => self.open_connection(handle).await?,
        };
        let mut request = Request::new(Full::new(Bytes::new()));
        if let Ok(path) = path.parse() {
            *request.uri_mut() = path;
        }
        let headers = request.headers_mut();
        let address = HeaderValue::try_from(handle.target.address.to_string());
        headers.extend(address.ok().map(|address| (header::HOST, address)));
        if let Ok(id) = HeaderValue::try_from(&*handle.target.id) {
            headers.insert(&self.shared.dialect.expected_target, id);
        }
        let on_head =
            |status: StatusCode, headers: &_| self.record_notices(handle, status, headers);
        let exchanged = connection.exchange(request, &self.response_memory, on_head);
        let (response, is_reusable) = exchanged.await?;
        // A late second response to an earlier request has that one's id.
        let is_other = response
            .headers
            .contains_key(&self.shared.dialect.request_id);
        let is_own = !is_other && response.status != StatusCode::MISDIRECTED_REQUEST;
        if !is_own {
            let cause = "an answer to another request".to_owned();
            return Err(ExchangeError::Sent(cause));
        }
        if is_reusable {
            handle.keep_idle(connection);
        }
        Ok(response)
    }
}
