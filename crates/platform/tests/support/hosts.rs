//! Hosts and the network to them: connections, offers, answers and the ends of tasks.

use std::collections::HashSet;

use super::*;

impl World {
    pub(super) fn handle_connect(&mut self, key: ConnectionKey, host: usize) {
        let h = &self.hosts[host];
        if h.is_silent
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
                withdrawn: HashSet::new(),
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
        let (host, old) = (conn.host, conn.host_incarnation);
        let zone = self.hosts[host].zone;
        if self.partitioned_zones.contains(&zone) {
            self.held_messages
                .push((zone, Event::HostReceives(key, bytes.to_vec())));
            return;
        }
        if self.hosts[host].is_silent {
            return;
        }
        if self.hosts[host].incarnation != old || !self.hosts[host].is_alive {
            self.break_connection(key);
            return;
        }
        let sid = setup_id(bytes);
        match bytes[2] {
            1 if !conn.withdrawn.contains(&sid.0) => {
                let ask = self.requests.get_mut(&sid.0).expect("an owner sent it");
                assert!(ask.in_flight.is_none(), "{sid} has two attempts out");
                assert!(
                    !(ask.answered && ask.incarnation == key.1),
                    "{sid} is sent on after its answer"
                );
                ask.in_flight = Some(key);
                if self.hosts[host].started + WARM_UP > self.now {
                    self.cold_host_arrivals
                        .entry((host, old))
                        .or_default()
                        .push(self.now);
                }
                self.hosts[host].waiting.insert(sid.0);
                let slow = self.draw(100) < 4;
                let after = if slow {
                    300 * MS + self.draw(900 * MS)
                } else {
                    2 * MS + self.draw(20 * MS)
                };
                self.schedule(self.now + after, Event::HostAnswers(key, old, sid));
            }
            12 => {
                self.hosts[host].waiting.remove(&sid.0);
                self.hosts[host].running.remove(&sid.0);
            }
            52 => self.send_from_host(key, FromHost::Probed { is_healthy: true }),
            _ => {}
        }
    }

    pub(super) fn handle_host_answer(&mut self, key: ConnectionKey, life: u32, sid: SetupId) {
        let Some(host) = self.connections.get(&key).map(|c| c.host) else {
            return;
        };
        let h = &mut self.hosts[host];
        if h.incarnation != life || !h.is_alive || !h.waiting.remove(&sid.0) {
            return;
        }
        self.clear_in_flight(key, sid);
        let (lot, lasts) = (self.draw(100), 8 * S + self.draw(10 * S));
        if lot < 3 {
            self.send_from_host(
                key,
                FromHost::Close {
                    id: sid,
                    cause: Cause::ERROR,
                    code: None,
                },
            );
        } else if lot < 6 {
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
                    figure: 0.0,
                },
            );
            self.schedule(self.now + lasts, Event::TaskEnds(host, life, sid));
        }
    }

    pub(super) fn send_from_host(&mut self, key: ConnectionKey, says: FromHost) {
        let zone = self.connections.get(&key).map(|c| self.hosts[c.host].zone);
        let event = Event::ToPlacer(key.0, key.1, Input::HostMessage(key.2, says));
        match zone {
            Some(zone) if self.partitioned_zones.contains(&zone) => {
                self.held_messages.push((zone, event))
            }
            Some(_) => self.schedule(self.now + NETWORK_DELAY, event),
            None => {}
        }
    }

    /// What a host has to say of a task, on any connection of the placer that it belongs to.
    pub(super) fn report_task_end(&mut self, host: usize, sid: SetupId, says: FromHost) {
        let Some(ask) = self.requests.get(&sid.0) else {
            return;
        };
        let (placer, life) = (ask.placer, ask.incarnation);
        let open = self
            .connections
            .iter()
            .find(|(k, c)| k.0 == placer && k.1 == life && c.host == host);
        if let Some((&key, _)) = open {
            self.send_from_host(key, says);
        } else if let Some(ask) = self.requests.get_mut(&sid.0) {
            // It is told on the next connection, which this host leaves out: it counts as lost.
            ask.lost_at = ask.lost_at.or(Some(self.now));
        }
    }
}
