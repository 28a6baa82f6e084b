//! Authentication of received datagrams, and their dispatch by sender and message.

use super::LocalMember;
use crate::datagram::{Datagram, Message};
use crate::identity::MemberIdentity;
use crate::keys::DatagramError;
use crate::member_table::Micros;

/// How long challenges to a sender contain the same nonce. Responses with it are accepted for one more period. Both
/// periods together are shorter than the minimum of [`crate::Timing::removal_delay`]: a recorded response of an earlier
/// generation can no longer be replayed once that generation is removed from the table.
const NONCE_PERIOD: Micros = 5_000_000;
/// Maximum number of members that are notified in one call that they are considered down.
const MAX_DOWN_NOTICES: usize = 32;

impl LocalMember {
    /// Handles a received datagram. A datagram that cannot be authenticated or decoded is counted and ignored.
    pub fn handle_datagram(&mut self, now: Micros, bytes: &[u8]) {
        self.detect_pause(now);
        self.counters.received += 1;
        let datagram = match self.settings.keys.decode_verified(bytes) {
            Ok(datagram) => datagram,
            Err(error) => return self.count_rejected(error),
        };
        if datagram.sender.name == self.settings.name {
            return self.handle_same_name_datagram(now, &datagram);
        }
        if self.is_recent(&datagram) && self.name_conflict.is_none() {
            self.handle_message(now, datagram);
        }
    }

    fn count_rejected(&mut self, error: DatagramError) {
        let counter = match error {
            DatagramError::TooLong => &mut self.counters.oversize,
            DatagramError::UnknownVersion => &mut self.counters.unknown_version,
            DatagramError::Unauthenticated => &mut self.counters.unauthenticated,
            DatagramError::Malformed => &mut self.counters.malformed,
        };
        *counter += 1;
    }

    /// Whether a datagram was not delayed for long, by its sender's active time. Records the send time of a known sender.
    fn is_recent(&mut self, datagram: &Datagram) -> bool {
        let Datagram {
            sender, sent_at, ..
        } = datagram;
        if self.send_times.is_stale(sender, *sent_at) {
            self.counters.stale += 1;
            return false;
        }
        if self.table.get(sender.name.hash()).is_some() {
            self.send_times.record(sender, *sent_at);
        }
        true
    }

    fn handle_message(&mut self, now: Micros, datagram: Datagram) {
        let Datagram {
            sender, message, ..
        } = datagram;
        if let Message::Superseded {
            generation,
            address,
            is_down,
        } = message
        {
            // Accepted even from a member that is considered down, so that the parts of a partitioned fleet can rejoin.
            let holder = MemberIdentity {
                generation,
                address,
                name: self.settings.name.clone(),
            };
            return self.handle_superseded(now, &holder, is_down);
        }
        let Some(known) = self.table.get(sender.name.hash()) else {
            return self.handle_unknown_sender(now, &sender, message);
        };
        let is_live = known.state.is_live();
        let has_ended = known.identity.precedence() > sender.precedence()
            || (known.identity == sender && !is_live);
        if has_ended {
            let known = known.identity.clone();
            return self.notify_superseded(now, &sender, &known, is_live);
        }
        self.handle_known_sender(now, &sender, message);
    }

    /// Notifies a sender that its generation has ended.
    fn notify_superseded(
        &mut self,
        now: Micros,
        sender: &MemberIdentity,
        known: &MemberIdentity,
        is_live: bool,
    ) {
        self.counters.superseded += 1;
        if self.notice_limiter.try_notify(now, sender.name.hash()) {
            let superseded = Message::Superseded {
                generation: known.generation,
                address: known.address,
                is_down: !is_live,
            };
            self.send(now, sender.address, superseded);
        }
    }

    fn handle_known_sender(&mut self, now: Micros, sender: &MemberIdentity, message: Message) {
        let reported_by = sender.name.as_str();
        match message {
            Message::Swim(data) => {
                self.with_swim(now, reported_by, |swim, output| {
                    swim.handle_data(&data, output)
                });
            }
            Message::DigestExchange {
                bucket_digests,
                is_reply,
            } => {
                let own_digests = self.send_differences(now, sender.address, &bucket_digests);
                if !is_reply && own_digests != bucket_digests {
                    self.reply_to_exchange(now, sender, own_digests);
                }
            }
            Message::MemberUpdates(updates) => self.apply_member_updates(now, reported_by, updates),
            Message::Challenge(nonce) => self.answer_challenge(now, sender, nonce),
            Message::ChallengeResponse { bucket_digests, .. } => {
                self.send_differences(now, sender.address, &bucket_digests);
            }
            Message::Superseded { .. } | Message::NameClaim => {}
        }
    }

    /// Handles a message of an unknown sender, which becomes a member once it has answered a challenge.
    fn handle_unknown_sender(&mut self, now: Micros, sender: &MemberIdentity, message: Message) {
        match message {
            Message::ChallengeResponse {
                nonce,
                bucket_digests,
            } if self.is_valid_nonce(now, sender, nonce) => {
                self.admit(now, sender, &bucket_digests);
            }
            Message::Challenge(nonce) => self.answer_challenge(now, sender, nonce),
            _ if self.notice_limiter.try_notify(now, sender.name.hash()) => {
                self.counters.challenged += 1;
                let challenge = Message::Challenge(self.nonce(now, sender));
                self.send(now, sender.address, challenge);
            }
            _ => {}
        }
    }

    /// Adds a sender that has answered a challenge to the members.
    fn admit(&mut self, now: Micros, sender: &MemberIdentity, bucket_digests: &[u32]) {
        if self.table.len() >= self.settings.timing.max_members {
            self.shared.borrow_mut().over_capacity += 1;
            return;
        }
        let member = foca::Member::alive(sender.clone());
        self.with_swim(now, sender.name.as_str(), |swim, output| {
            swim.apply_many(std::iter::once(member), true, output)
        });
        let own_digests = self.send_differences(now, sender.address, bucket_digests);
        self.reply_to_exchange(now, sender, own_digests);
    }

    fn reply_to_exchange(
        &mut self,
        now: Micros,
        sender: &MemberIdentity,
        bucket_digests: Vec<u32>,
    ) {
        let reply = Message::DigestExchange {
            bucket_digests,
            is_reply: true,
        };
        self.send(now, sender.address, reply);
    }

    fn answer_challenge(&mut self, now: Micros, sender: &MemberIdentity, nonce: u64) {
        let response = Message::ChallengeResponse {
            nonce,
            bucket_digests: self.bucket_digests(),
        };
        self.send(now, sender.address, response);
    }

    /// Whether a nonce is the current or the previous one, because a response may arrive just after the nonce has changed.
    fn is_valid_nonce(&self, now: Micros, sender: &MemberIdentity, nonce: u64) -> bool {
        nonce == self.nonce(now, sender)
            || nonce == self.nonce(now.saturating_sub(NONCE_PERIOD), sender)
    }

    /// The nonce for challenges to a sender, which only a process that receives the local member's current messages can
    /// return. It changes every [`NONCE_PERIOD`] and with each generation of either side.
    fn nonce(&self, now: Micros, sender: &MemberIdentity) -> u64 {
        let local = self.identity();
        let text = format!(
            "{} {} {} {} {}",
            local.name,
            local.generation,
            sender.name,
            sender.generation,
            now / NONCE_PERIOD
        );
        self.settings.keys.nonce(text.as_bytes())
    }

    /// Notifies members that others consider alive, and the local member considers down in the same generation, so that
    /// they start a new generation. The parts of a partitioned fleet thus rejoin faster than by random exchanges
    /// between pairs of members.
    pub(super) fn notify_considered_down(&mut self, now: Micros, members: Vec<MemberIdentity>) {
        for member in members.into_iter().take(MAX_DOWN_NOTICES) {
            if self.notice_limiter.try_notify(now, member.name.hash()) {
                let superseded = Message::Superseded {
                    generation: member.generation,
                    address: member.address,
                    is_down: true,
                };
                self.send(now, member.address, superseded);
            }
        }
    }
}
