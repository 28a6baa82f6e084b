//! Name conflicts: two running processes use the same name. The generation with the higher precedence holds the name. The
//! other process is displaced: it does not participate, and checks every second whether the holder is still running.

use std::net::SocketAddr;

use super::{LocalMember, MemberTimer, Output, REPORTED_BY_SELF};
use crate::datagram::{Datagram, Message};
use crate::identity::MemberIdentity;
use crate::member_table::Micros;
use crate::name_conflict::{NameClaim, NameConflict};
use crate::view::Notice;

/// The time between claims that a displaced process sends to the holder of its name.
const NAME_CLAIM_INTERVAL: Micros = 1_000_000;
/// A holder that has not answered for this long is considered stopped.
const NAME_CONFLICT_TIMEOUT: Micros = 5_000_000;

impl LocalMember {
    /// Handles a datagram of another process that uses the local member's name.
    pub(super) fn handle_same_name_datagram(&mut self, now: Micros, datagram: &Datagram) {
        let (local, sender) = (self.identity(), &datagram.sender);
        if sender.address == local.address {
            // A datagram of the local member, possibly from an earlier generation.
            return;
        }
        match datagram.message {
            Message::Superseded {
                generation,
                address,
                is_down,
            } if generation >= local.generation => {
                let holder = MemberIdentity {
                    generation,
                    address,
                    ..local
                };
                self.handle_superseded(now, &holder, is_down);
            }
            _ if sender.precedence() > local.precedence() => {
                self.handle_superseded(now, sender, false);
            }
            Message::NameClaim => self.reject_claim(now, &local, sender.address),
            _ => {}
        }
    }

    /// Records a claim to the local member's name, and rejects it.
    fn reject_claim(&mut self, now: Micros, local: &MemberIdentity, claimant: SocketAddr) {
        let is_new = self.claimed_by(now) != Some(claimant);
        self.name_claim = Some(NameClaim {
            claimant,
            last_seen_at: now,
        });
        if is_new {
            self.outputs
                .push(Output::Notice(Notice::Claimed { by: claimant }));
        }
        let superseded = Message::Superseded {
            generation: local.generation,
            address: local.address,
            is_down: false,
        };
        self.send(now, claimant, superseded);
    }

    /// The process that claims the local member's name, if its last claim is recent. A displaced process repeats its claim
    /// for as long as it runs.
    pub(super) fn claimed_by(&self, now: Micros) -> Option<SocketAddr> {
        self.name_claim
            .as_ref()
            .filter(|claim| claim.is_current(now))
            .map(|claim| claim.claimant)
    }

    /// Handles a report that `holder` is the current generation of the local member's name, or, if `is_down`, that this
    /// generation was declared down.
    pub(super) fn handle_superseded(
        &mut self,
        now: Micros,
        holder: &MemberIdentity,
        is_down: bool,
    ) {
        let local = self.identity();
        // Reports of an earlier generation are outdated, and one that the current generation holds the name is redundant: it
        // answers a delayed datagram of an earlier generation.
        if holder.precedence() < local.precedence()
            || (holder.precedence() == local.precedence() && !is_down)
        {
            return;
        }
        if is_down || holder.address == local.address {
            // No other process holds the name, so the local member continues with a later generation.
            if self.name_conflict.is_none() {
                self.start_generation(now, holder.generation);
            }
            return;
        }
        let reported = NameConflict {
            holder: holder.clone(),
            last_seen_at: now,
        };
        if let Some(conflict) = &mut self.name_conflict {
            if conflict.holder.precedence() <= holder.precedence() {
                *conflict = reported;
            }
            return;
        }
        self.name_conflict = Some(reported);
        self.outputs
            .push(Output::Notice(Notice::Displaced { by: holder.address }));
        self.restart_swim();
        self.claim_name(now, holder.address);
    }

    /// Sends a claim to the holder of the name, and schedules a check for its answer.
    fn claim_name(&mut self, now: Micros, holder: SocketAddr) {
        self.send(now, holder, Message::NameClaim);
        self.timers
            .schedule(now, NAME_CLAIM_INTERVAL, MemberTimer::CheckNameConflict);
    }

    /// Claims the name again, or takes it over if the holder has stopped answering.
    pub(super) fn check_name_conflict(&mut self, now: Micros) {
        let Some(conflict) = &self.name_conflict else {
            return;
        };
        let holder = conflict.holder.clone();
        if conflict.last_seen_at + NAME_CONFLICT_TIMEOUT > now {
            return self.claim_name(now, holder.address);
        }
        self.name_conflict = None;
        self.outputs.push(Output::Notice(Notice::Reinstated));
        self.start_generation(now, holder.generation);
        // Adds the known live members to the new instance of the library, which then probes them.
        let members: Vec<_> = self
            .table
            .live()
            .cloned()
            .map(foca::Member::alive)
            .collect();
        self.with_swim(now, REPORTED_BY_SELF, |swim, output| {
            swim.apply_many(members.into_iter(), true, output)
        });
        self.contact_unknown_addresses(now, true);
    }
}
