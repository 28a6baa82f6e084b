//! The simulated hosts and the network to them: connects, set-ups, answers and the ends of tasks.

use std::collections::HashSet;

use super::*;

impl Simulation {
    pub(super) fn handle_connect(&mut self, key: ConnectionKey, host: usize) {
        let h = &self.hosts[host];
        if h.is_powered_off
            || self.partitioned_zones.contains(&h.zone)
            || self.placers[key.0].incarnation != key.1
        {
            return;
        }
        let input = if h.is_alive {
            Input::Connected(key.2)
        } else {
            Input::ConnectionLost(key.2, DisconnectReason::Refused)
        };
        if h.is_alive {
            let conn = Connection {
                host,
                host_incarnation: h.incarnation,
                unwritten: Vec::new(),
                closed_setups: HashSet::new(),
            };
            self.connections.insert(key, conn);
        }
        self.schedule(
            self.now + NETWORK_DELAY,
            Event::ToPlacer(key.0, key.1, input),
        );
    }

    pub(super) fn handle_host_input(&mut self, key: ConnectionKey, bytes: &[u8]) {
        let Some(conn) = self.connections.get(&key) else {
            return;
        };
        let (host, host_incarnation) = (conn.host, conn.host_incarnation);
        let zone = self.hosts[host].zone;
        if self.partitioned_zones.contains(&zone) {
            self.held_messages
                .push((zone, Event::HostReceives(key, bytes.to_vec())));
            return;
        }
        if self.hosts[host].is_powered_off {
            return;
        }
        if self.hosts[host].incarnation != host_incarnation || !self.hosts[host].is_alive {
            self.break_connection(key);
            return;
        }
        let sid = setup_id(bytes);
        match bytes[2] {
            // A set-up.
            1 if !conn.closed_setups.contains(&sid.0) => {
                let request = self.requests.get_mut(&sid.0).expect("a recorded request");
                assert!(
                    request.in_flight.is_none(),
                    "{sid} has two attempts in flight"
                );
                assert!(
                    !(request.answered && request.incarnation == key.1),
                    "{sid} was offered after its request was answered"
                );
                request.in_flight = Some(key);
                if self.hosts[host].started + WARM_UP_DURATION > self.now {
                    self.cold_host_arrivals
                        .entry((host, host_incarnation))
                        .or_default()
                        .push(self.now);
                }
                self.hosts[host].pending_offers.insert(sid.0);
                let is_slow = self.random_below(100) < 4;
                let answer_delay = if is_slow {
                    300 * MS + self.random_below(900 * MS)
                } else {
                    2 * MS + self.random_below(20 * MS)
                };
                self.schedule(
                    self.now + answer_delay,
                    Event::HostAnswers(key, host_incarnation, sid),
                );
            }
            // A close.
            12 => {
                self.hosts[host].pending_offers.remove(&sid.0);
                self.hosts[host].running.remove(&sid.0);
            }
            // A probe.
            52 => self.send_from_host(key, FromHost::Probed { is_healthy: true }),
            _ => {}
        }
    }

    pub(super) fn handle_host_answer(
        &mut self,
        key: ConnectionKey,
        incarnation: u32,
        sid: SetupId,
    ) {
        let Some(host) = self.connections.get(&key).map(|c| c.host) else {
            return;
        };
        let h = &mut self.hosts[host];
        if h.incarnation != incarnation || !h.is_alive || !h.pending_offers.remove(&sid.0) {
            return;
        }
        self.clear_in_flight(key, sid);
        let (roll, duration) = (
            self.random_below(100),
            8 * SECOND + self.random_below(10 * SECOND),
        );
        if roll < 3 {
            self.send_from_host(
                key,
                FromHost::Close {
                    id: sid,
                    cause: Cause::ERROR,
                    code: None,
                },
            );
        } else if roll < 6 {
            self.send_from_host(
                key,
                FromHost::Close {
                    id: sid,
                    cause: Cause::NO_CAPACITY,
                    code: Some(ReportCode::InsufficientCores),
                },
            );
        } else {
            self.hosts[host].running.insert(sid.0, (key.0, key.1));
            self.send_from_host(
                key,
                FromHost::Ready {
                    id: sid,
                    description: "there".into(),
                },
            );
            self.send_from_host(
                key,
                FromHost::Report {
                    id: sid,
                    code: ReportCode::Running,
                    value: 0.0,
                },
            );
            self.schedule(self.now + duration, Event::TaskEnds(host, incarnation, sid));
        }
    }

    pub(super) fn send_from_host(&mut self, key: ConnectionKey, message: FromHost) {
        let zone = self.connections.get(&key).map(|c| self.hosts[c.host].zone);
        let event = Event::ToPlacer(key.0, key.1, Input::HostMessage(key.2, message));
        match zone {
            Some(zone) if self.partitioned_zones.contains(&zone) => {
                self.held_messages.push((zone, event))
            }
            Some(_) => self.schedule(self.now + NETWORK_DELAY, event),
            None => {}
        }
    }

    /// Sends a host's message on the end of a task, on any connection to the placer that manages the task.
    pub(super) fn report_task_end(&mut self, host: usize, sid: SetupId, message: FromHost) {
        let Some(request) = self.requests.get(&sid.0) else {
            return;
        };
        let (placer, incarnation) = (request.placer, request.incarnation);
        let connection = self
            .connections
            .iter()
            .find(|(k, c)| k.0 == placer && k.1 == incarnation && c.host == host);
        if let Some((&key, _)) = connection {
            self.send_from_host(key, message);
        } else if let Some(request) = self.requests.get_mut(&sid.0) {
            // A real host would repeat the message on its next connection. This one does not, so the task counts as lost.
            request.lost_at = request.lost_at.or(Some(self.now));
        }
    }
}
