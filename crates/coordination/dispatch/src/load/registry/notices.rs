//! Notices of back ends: from their responses to this node, and as reported by other nodes.

use super::{Registry, instance_digest};
use crate::LimitReport;
use crate::load::limit_notices::{BackEndRun, LimitNotices, NoticeOrigin};
use crate::load::limiter::{LimitNotice, combined_interval};
use crate::load::notices::Notice;
use eiderferry_routing::{InstanceId, PoolName};
use eiderferry_types::{Span, Timestamp};

impl Registry {
    /// Records that a run is shutting down. Returns whether that was unknown before.
    pub fn record_leaving(&mut self, instance: &InstanceId, started_unix_ms: Option<u64>) -> bool {
        let notice =
            self.record_notice(instance, started_unix_ms, |notice| notice.is_leaving = true);
        let is_new = notice.is_some_and(|before| !before.is_leaving);
        self.version += u64::from(is_new);
        is_new
    }

    /// Records until when a run wants no requests from this node.
    pub fn record_backoff(
        &mut self,
        instance: &InstanceId,
        started_unix_ms: Option<u64>,
        until: Timestamp,
    ) {
        self.record_notice(instance, started_unix_ms, |notice| {
            notice.back_off_until(until)
        });
    }

    /// Time until the first of a pool's back ends that are backing off accepts requests again.
    pub fn min_backoff(&self, pool: &PoolName, now: Timestamp) -> Option<Span> {
        let accepting = self.pool(pool).filter(|state| state.accepts_work());
        let backoffs = accepting.filter_map(|state| state.notice.remaining_backoff(now));
        backoffs.min()
    }

    /// Updates the notice of a run that started at `started_unix_ms`. Returns the previous
    /// notice; `None` if the back end is not listed, or another run has its name now.
    fn record_notice(
        &mut self,
        instance: &InstanceId,
        started_unix_ms: Option<u64>,
        change: impl FnOnce(&mut Notice),
    ) -> Option<Notice> {
        let state = self.states.get_mut(instance);
        let is_other_run = state
            .as_ref()
            .is_some_and(|state| !state.back_end.may_have_started(started_unix_ms));
        if is_other_run {
            return None;
        }
        self.notices.record(instance, started_unix_ms, change);
        let state = state?;
        let notice = self.notices.notice_of(&state.back_end);
        Some(std::mem::replace(&mut state.notice, notice))
    }

    /// Records a run's notice about its rate limit.
    pub fn record_limit(
        &mut self,
        instance: &InstanceId,
        started_unix_ms: Option<u64>,
        notice: LimitNotice,
        now: Timestamp,
    ) {
        let run = BackEndRun {
            back_end: instance_digest(instance),
            started_unix_ms,
        };
        self.record_limit_of(run, notice, NoticeOrigin::BackEnd, now);
    }

    /// Applies reports of rate limits from another node.
    pub fn apply_limit_reports(
        &mut self,
        reports: &[LimitReport],
        origin: NoticeOrigin,
        now: Timestamp,
    ) {
        for report in reports {
            let age = Span::from_milliseconds(u64::from(report.age_ms));
            let notice = LimitNotice {
                limit: report.limit,
                reported_at: now - age,
            };
            let run = BackEndRun {
                back_end: report.back_end,
                started_unix_ms: report.started_unix_ms,
            };
            self.record_limit_of(run, notice, origin, now);
        }
    }

    fn record_limit_of(
        &mut self,
        run: BackEndRun,
        notice: LimitNotice,
        origin: NoticeOrigin,
        now: Timestamp,
    ) {
        let state = self.by_digest_mut(run.back_end);
        if state.is_some_and(|state| !state.back_end.may_have_started(run.started_unix_ms)) {
            return;
        }
        let evicted = self.limit_notices.record(run, notice, origin, now);
        for changed in evicted.into_iter().chain([run.back_end]) {
            self.update_limiter(changed);
        }
    }

    fn update_limiter(&mut self, back_end: u32) {
        let instance = self.by_digest.get(&back_end);
        if let Some(state) = instance.and_then(|instance| self.states.get_mut(instance)) {
            let notice = self.limit_notices.notice_of(back_end, &state.back_end);
            state.limiter.set_notice(notice);
        }
    }

    /// The rate limit notices to be reported to other nodes.
    pub fn limit_notices(&self) -> &LimitNotices {
        &self.limit_notices
    }

    /// Listed back ends that have a limit or had one recently.
    pub fn rate_limited(&self) -> Vec<InstanceId> {
        let known = self.limit_notices.back_ends();
        let listed = known.filter_map(|digest| self.by_digest.get(&digest));
        listed.cloned().collect()
    }

    /// Removes limits that were lifted long ago, and old notices of back ends that are no longer
    /// listed.
    pub fn expire_limits(&mut self, now: Timestamp) {
        let listed = &self.by_digest;
        self.limit_notices
            .expire(|digest| !listed.contains_key(&digest), now);
    }

    /// Time in which the limited back ends of a pool together accept one request; `None` if no
    /// back end is limited.
    pub fn limited_interval(&self, pool: &PoolName) -> Option<Span> {
        let accepting = self.pool(pool).filter(|state| state.accepts_work());
        combined_interval(accepting.filter_map(|state| state.limiter.limit()))
    }
}
