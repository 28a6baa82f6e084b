//! Reads lists of hosts and members in steps, and applies their changes.
//!
//! Each tick does a bounded amount of this work, so that a long list, or one in which everything has changed, never
//! delays decisions. Hosts whose state got worse are published first.

use maplethread_config::ReadConsistency;
use rand_pcg::rand_core::Rng;

use super::{ConsulSource, MICROS_PER_MS, MIN_READ_INTERVAL, QueryKind, Update};
use crate::Micros;
use crate::catalogue::{
    HostList, HostListReader, ListDifferences, ListFormat, ListReader, MemberFormat,
    MemberListReader,
};
use crate::json_rows::{RowError, Rows, STEP_BUDGET};
use crate::list_validator::{Assessment, HostLoss, RejectionReason};
use crate::response::{ResponseMeta, next_blocking_index};

/// Cost of publishing one host, in the units of [`STEP_BUDGET`], including the placer's work on the update.
const HOST_UPDATE_COST: usize = 20;
/// Maximum number of invalid entries of a list that are logged individually.
const MAX_LOGGED_ENTRIES: usize = 5;

/// A response waiting to be read.
pub(super) struct PendingResponse {
    pub(super) kind: QueryKind,
    pub(super) meta: ResponseMeta,
    pub(super) body: Vec<u8>,
}

/// The read that returned a host list.
#[derive(Clone, Copy)]
pub(super) struct HostRead {
    kind: QueryKind,
    meta: ResponseMeta,
}

/// The list that is being read.
pub(super) enum ActiveRead {
    Hosts(HostRead, HostListReader),
    /// A complete list waiting to be assessed.
    HostsComplete(HostRead, HostList),
    Members(MemberListReader),
}

/// The result of a reader's step.
enum Progress<F: ListFormat> {
    Incomplete(ListReader<F>),
    Complete(Result<F::List, RowError>, Rows<F::Row>),
}

fn step<F: ListFormat>(mut reader: ListReader<F>, budget: &mut usize, format: &F) -> Progress<F> {
    match reader.step(budget, format) {
        Ok(false) => Progress::Incomplete(reader),
        result => {
            let (list, rows) = reader.finish();
            Progress::Complete(result.map(|_| list), rows)
        }
    }
}

impl ConsulSource {
    /// Whether responses are waiting to be read, or changes to be published.
    pub fn has_pending_work(&self) -> bool {
        self.active_read.is_some()
            || !self.unread_responses.is_empty()
            || self.hosts.unpublished_count() > 0
    }

    /// Reads and publishes everything that is waiting, without a limit on the time: a caller that was paused must not
    /// decide on outdated data.
    pub fn catch_up(&mut self, now: Micros) {
        while self.has_pending_work() {
            self.process_lists(now);
        }
    }

    /// Reads lists and publishes changes, up to the cost limit of one step.
    pub(super) fn process_lists(&mut self, now: Micros) {
        let mut budget = STEP_BUDGET;
        while budget > 0 && self.has_pending_work() {
            let unpublished = self.hosts.unpublished_count();
            if unpublished > 0 {
                let count = unpublished.min(budget.div_ceil(HOST_UPDATE_COST));
                let changed = self.hosts.publish_next(now, count);
                self.push_hosts(changed);
                budget = budget.saturating_sub(count * HOST_UPDATE_COST);
                continue;
            }
            match self.active_read.take() {
                Some(read) => self.continue_reading(now, read, &mut budget),
                None => self.start_reading(),
            }
        }
    }

    fn start_reading(&mut self) {
        let Some(response) = self.unread_responses.pop_front() else {
            return;
        };
        let PendingResponse { kind, meta, body } = response;
        let max_hosts = self.known_names.max_entries;
        self.active_read = Some(if kind == QueryKind::Members {
            let previous = std::mem::take(&mut self.last_member_rows);
            // The pool has more members than hosts: servers, and nodes of other services.
            ActiveRead::Members(MemberListReader::new(body, previous, max_hosts * 4))
        } else {
            let previous = std::mem::take(&mut self.last_host_rows);
            let reader = HostListReader::new(body, previous, max_hosts);
            ActiveRead::Hosts(HostRead { kind, meta }, reader)
        });
    }

    fn continue_reading(&mut self, now: Micros, read: ActiveRead, budget: &mut usize) {
        match read {
            ActiveRead::Hosts(read, reader) => match step(reader, budget, &self.known_names) {
                Progress::Incomplete(reader) => {
                    self.active_read = Some(ActiveRead::Hosts(read, reader));
                }
                Progress::Complete(result, rows) => {
                    self.last_host_rows = rows;
                    match result {
                        Ok(list) => {
                            self.active_read = Some(ActiveRead::HostsComplete(read, list));
                        }
                        Err(error) => self.record_failure(now, read.kind, &error.into()),
                    }
                }
            },
            // Comparing the list with the accepted one, and freeing the latter, costs about as much as reading
            // unchanged rows.
            ActiveRead::HostsComplete(read, list)
                if *budget < list.entries.len().min(STEP_BUDGET) =>
            {
                self.active_read = Some(ActiveRead::HostsComplete(read, list));
                *budget = 0;
            }
            ActiveRead::HostsComplete(read, list) => {
                *budget = budget.saturating_sub(list.entries.len());
                self.handle_host_list(now, read, list);
                self.calls.record_success(read.kind);
            }
            ActiveRead::Members(reader) => match step(reader, budget, &MemberFormat) {
                Progress::Incomplete(reader) => {
                    self.active_read = Some(ActiveRead::Members(reader));
                }
                Progress::Complete(result, rows) => {
                    self.last_member_rows = rows;
                    match result {
                        Ok(members) => {
                            self.hosts.apply_members(members);
                            let interval = self.config.member_read_interval_ms * MICROS_PER_MS;
                            self.calls.schedule(QueryKind::Members, now + interval);
                            self.calls.record_success(QueryKind::Members);
                        }
                        Err(error) => {
                            self.record_failure(now, QueryKind::Members, &error.into());
                        }
                    }
                }
            },
        }
    }

    /// Processes the response to a read of the index. A different index counts as a change, whether higher or lower.
    pub(super) fn handle_index_response(&mut self, now: Micros, meta: ResponseMeta) {
        let has_changed = meta.index != self.blocking_index;
        self.index_watch.record_index(has_changed);
        if has_changed {
            self.calls.schedule(QueryKind::Health, now);
        } else {
            self.last_response_at = Some(now);
            self.report.unchanged_answers += 1;
            self.calls
                .schedule(QueryKind::Health, now + MIN_READ_INTERVAL);
        }
    }

    fn handle_host_list(&mut self, now: Micros, read: HostRead, list: HostList) {
        let differences = self.hosts.differences(&list);
        if read.kind == QueryKind::Health {
            self.schedule_next_read(now, read.meta, &list, &differences);
        } else {
            self.calls.schedule(read.kind, Micros::MAX);
        }
        self.report_invalid_entries(&list);
        let is_consistent = read.kind == QueryKind::Confirm
            || self.config.consistency == ReadConsistency::Consistent;
        let loss = HostLoss {
            known: self.hosts.len(),
            missing: differences.removed_count,
        };
        match self
            .list_validator
            .assess(now, read.meta, is_consistent, &list, loss)
        {
            Assessment::Accept => self.accept_list(now, list),
            Assessment::Confirm => {
                tracing::warn!(
                    listed = list.entries.len(),
                    have = self.hosts.len(),
                    "large loss of hosts; waiting for confirmation by a leader"
                );
                self.hosts.apply_degradations(&list);
                self.unconfirmed_list = Some(list);
                self.request_confirmation(now);
            }
            Assessment::Reject(reason) => self.reject_list(now, read, reason),
        }
    }

    fn schedule_next_read(
        &mut self,
        now: Micros,
        meta: ResponseMeta,
        list: &HostList,
        differences: &ListDifferences,
    ) {
        // The server ignores the filter, as it has sent a full list in response to a read of the index.
        if std::mem::take(&mut self.is_index_only) {
            self.index_watch.disable();
        }
        let is_missed_change = meta.index == self.blocking_index
            && list.invalid_entries.is_empty()
            && !differences.is_empty();
        let jitter = (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        self.index_watch
            .record_full_read(now, is_missed_change, jitter);
        self.blocking_index = next_blocking_index(self.blocking_index, meta.index);
        self.calls
            .schedule(QueryKind::Health, now + MIN_READ_INTERVAL);
    }

    fn report_invalid_entries(&mut self, list: &HostList) {
        let invalid = &list.invalid_entries;
        for entry in invalid.iter().take(MAX_LOGGED_ENTRIES) {
            tracing::debug!(%entry, "invalid catalogue entry");
        }
        if invalid.len() != self.report.bad_entries {
            self.report.bad_entries = invalid.len();
            if let Some(first) = invalid.first() {
                tracing::warn!(count = invalid.len(), %first, "catalogue entries that can't be used");
            }
        }
    }

    fn reject_list(&mut self, now: Micros, read: HostRead, reason: RejectionReason) {
        self.report.rejected_answers += 1;
        tracing::debug!(
            %reason,
            index = read.meta.index,
            highest = self.list_validator.highest_index(),
            "catalogue list rejected"
        );
        if read.kind == QueryKind::Health {
            // Reads from another server without blocking, and consistently from the leader in case the index of all
            // servers went back.
            self.calls.fail_over(read.kind);
            self.blocking_index = 0;
            self.calls.schedule(read.kind, now + 4 * MIN_READ_INTERVAL);
            self.request_confirmation(now);
        }
    }

    fn request_confirmation(&mut self, now: Micros) {
        let is_unread = self
            .unread_responses
            .iter()
            .any(|response| response.kind == QueryKind::Confirm);
        if !is_unread && self.calls.prepare_confirmation(now) {
            self.start_query(now, QueryKind::Confirm);
        }
    }

    /// Accepts a list as the current one.
    pub(super) fn accept_list(&mut self, now: Micros, list: HostList) {
        self.unconfirmed_list = None;
        self.report.accepted_answers += 1;
        self.last_response_at = Some(now);
        self.hosts.apply_list(list);
        if !std::mem::replace(&mut self.has_list, true) {
            // The first list is published as a whole, even if it is empty.
            let changed = self.hosts.publish_next(now, usize::MAX);
            self.push_hosts(changed);
            if self.hosts.len() == 0 {
                self.updates.push(Update::Hosts(Vec::new()));
            }
        }
    }
}
