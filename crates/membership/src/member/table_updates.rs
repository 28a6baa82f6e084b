//! Calls of the SWIM library, and the resulting updates of the member table.

use foca::Timer;

use super::{LocalMember, MemberTimer, OWN_PROBE, Output, as_micros};
use crate::datagram::Message;
use crate::identity::{MemberIdentity, NameHash};
use crate::member_table::{MemberState, MembershipChange, Micros};
use crate::swim::{Swim, SwimNotification, SwimOutput};

impl LocalMember {
    /// Calls the library, processes its outputs, and updates the member table. `reported_by` is the source of the changes.
    pub(super) fn with_swim(
        &mut self,
        now: Micros,
        reported_by: &str,
        call: impl FnOnce(&mut Swim, &mut SwimOutput) -> Result<(), foca::Error>,
    ) {
        let mut output = SwimOutput::default();
        if let Err(error) = call(&mut self.swim, &mut output) {
            self.counters.rejected_by_swim += 1;
            tracing::trace!(%error, "message rejected by SWIM");
        }
        for (to, data) in output.datagrams {
            self.send(now, to.address, Message::Swim(data));
        }
        self.set_swim_timers(now, output.timers);
        let is_declared_down = self.apply_notifications(now, output.notifications, reported_by);
        self.apply_reports(now, reported_by);
        self.refresh_updated_facts(now);
        if std::mem::take(&mut self.shared.borrow_mut().is_suspected) {
            self.health.record_suspicion();
        }
        let conflict = self.shared.borrow_mut().conflict.take();
        if let Some(report) = conflict {
            self.handle_superseded(now, &report.holder, report.is_down);
        } else if is_declared_down {
            self.start_generation(now, 0);
        }
        self.update_digest(now);
    }

    /// Sets the library's timers. Those for probes and suspicions are delayed by a factor that grows with the local health
    /// score.
    fn set_swim_timers(
        &mut self,
        now: Micros,
        timers: Vec<(Timer<MemberIdentity>, std::time::Duration)>,
    ) {
        let factor = self.health.delay_factor();
        for (timer, delay) in timers {
            let delay = match timer {
                Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. } => delay * factor,
                Timer::ChangeSuspectToDown { .. } => {
                    // The library's own timeout does not depend on the size of the fleet.
                    let live_count = self.table.live_count();
                    self.settings.timing.suspicion_timeout(live_count) * factor
                }
                _ => delay,
            };
            let timer = MemberTimer::Swim {
                restarts: self.swim_restarts,
                timer,
            };
            self.timers.schedule(now, as_micros(delay), timer);
        }
    }

    /// Applies notifications of the library. Returns whether the local member was declared down.
    fn apply_notifications(
        &mut self,
        now: Micros,
        notifications: Vec<SwimNotification>,
        reported_by: &str,
    ) -> bool {
        let mut is_declared_down = false;
        for notification in notifications {
            match notification {
                SwimNotification::MemberChanged(identity) => {
                    self.refresh_member(now, &identity, reported_by);
                }
                SwimNotification::DeclaredDown => is_declared_down = !self.is_leaving,
            }
        }
        is_declared_down
    }

    /// Refreshes members whose state may have changed by the decoded messages: the library sends no notifications of
    /// suspicions and refutations.
    fn apply_reports(&mut self, now: Micros, reported_by: &str) {
        let reports = std::mem::take(&mut self.shared.borrow_mut().reported);
        let mut considered_down = Vec::new();
        for report in reports {
            if self.may_change_table(&report) {
                self.refresh_member(now, report.id(), reported_by);
            } else if report.state() != foca::State::Down
                && self
                    .table
                    .get(report.id().name.hash())
                    .is_some_and(|known| known.state == MemberState::Down)
            {
                considered_down.push(report.id().clone());
            }
        }
        self.notify_considered_down(now, considered_down);
    }

    /// Whether a report may change the table entry of its member.
    fn may_change_table(&self, report: &foca::Member<MemberIdentity>) -> bool {
        let Some(known) = self.table.get(report.id().name.hash()) else {
            return true;
        };
        let state_may_differ = match report.state() {
            foca::State::Alive => false,
            foca::State::Suspect => known.state == MemberState::Alive,
            foca::State::Down => known.state.is_live(),
        };
        known.identity != *report.id()
            || report.incarnation() > known.incarnation
            || state_may_differ
    }

    /// Updates the table entry of a member from the library's current state.
    pub(super) fn refresh_member(
        &mut self,
        now: Micros,
        identity: &MemberIdentity,
        reported_by: &str,
    ) {
        if identity.name == self.settings.name {
            return;
        }
        let found = self
            .swim
            .iter_membership_state()
            .find(|member| member.id().name == identity.name)
            .cloned();
        if let Some(member) = found {
            self.update_member(now, &member, reported_by);
        } else {
            let name = identity.name.hash();
            self.record_former_address(name);
            self.remove_member(name, reported_by);
        }
    }

    /// Updates members that the local member's own probe has just made suspect.
    pub(super) fn report_new_suspects(&mut self, now: Micros) {
        let suspects: Vec<_> = self
            .swim
            .iter_membership_state()
            .filter(|member| {
                member.state() == foca::State::Suspect && self.may_change_table(member)
            })
            .cloned()
            .collect();
        for member in suspects {
            self.update_member(now, &member, OWN_PROBE);
        }
        self.notice_limiter.expire(now);
        self.update_digest(now);
    }

    fn update_member(
        &mut self,
        now: Micros,
        member: &foca::Member<MemberIdentity>,
        reported_by: &str,
    ) {
        let identity = member.id();
        let state = match member.state() {
            foca::State::Alive => MemberState::Alive,
            foca::State::Suspect => MemberState::Suspect,
            foca::State::Down => MemberState::Down,
        };
        self.shared
            .borrow_mut()
            .known_generations
            .insert(identity.name.hash(), identity.generation);
        self.store_state(now, identity, member.incarnation(), state, reported_by);
    }

    /// Updates the table entries of members whose facts have changed.
    fn refresh_updated_facts(&mut self, now: Micros) {
        let updated = std::mem::take(&mut self.shared.borrow_mut().updated_facts);
        for name in updated {
            let Some(known) = self.table.get(name) else {
                continue;
            };
            let (identity, incarnation, state) =
                (known.identity.clone(), known.incarnation, known.state);
            let reported_by = identity.name.as_str();
            self.store_state(now, &identity, incarnation, state, reported_by);
        }
    }

    /// Stores the state of a member. A member that is down has left if its last facts announced the leave.
    fn store_state(
        &mut self,
        now: Micros,
        identity: &MemberIdentity,
        incarnation: u16,
        state: MemberState,
        reported_by: &str,
    ) {
        let shared = self.shared.borrow();
        let record = shared.facts.get(&identity.name.hash());
        let has_left = record.is_some_and(|record| record.announces_leave_of(identity.generation));
        let state = match state {
            MemberState::Down if has_left => MemberState::Left,
            state => state,
        };
        let change = self.table.update(now, identity, incarnation, state, record);
        drop(shared);
        if let Some(change) = change {
            self.report_change(identity, change.previous_state, Some(state), reported_by);
        }
    }

    pub(super) fn remove_member(&mut self, name: NameHash, reported_by: &str) {
        let Some(known) = self.table.remove(name) else {
            return;
        };
        self.shared.borrow_mut().remove(name);
        self.send_times.remove(name);
        self.notice_limiter.remove(name);
        self.report_change(&known.identity, Some(known.state), None, reported_by);
    }

    fn report_change(
        &mut self,
        identity: &MemberIdentity,
        previous_state: Option<MemberState>,
        new_state: Option<MemberState>,
        reported_by: &str,
    ) {
        self.outputs.push(Output::Changed(MembershipChange {
            name: identity.name.to_string(),
            address: identity.address,
            generation: identity.generation,
            previous_state,
            new_state,
            reported_by: reported_by.to_owned(),
        }));
    }

    /// Recomputes the digest of the view.
    pub(super) fn update_digest(&mut self, now: Micros) {
        let shared = self.shared.borrow();
        let sums = self
            .table
            .bucket_sums_with(&shared.identity, shared.own_facts());
        self.digest.update(now, &sums);
    }
}
