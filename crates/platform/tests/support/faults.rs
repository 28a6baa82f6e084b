//! Faults that the tests schedule.

use super::*;

impl World {
    pub(super) fn break_connection(&mut self, key: ConnectionKey) {
        self.close_connection(key);
        self.schedule(
            self.now + NETWORK_DELAY,
            Event::ToPlacer(
                key.0,
                key.1,
                Input::ConnectionLost(key.2, DisconnectReason::Broken),
            ),
        );
    }

    pub(super) fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Partition(zone) => drop(self.partitioned_zones.insert(zone)),
            Fault::Heal(zone) => {
                self.partitioned_zones.remove(&zone);
                let held = std::mem::take(&mut self.held_messages);
                let (now, later) = held.into_iter().partition(|(z, _)| *z == zone);
                self.held_messages = later;
                let now: Vec<(usize, Event)> = now;
                now.into_iter()
                    .for_each(|(_, event)| self.schedule(self.now + NETWORK_DELAY, event));
            }
            Fault::ResetConnections(part) => self.reset_connections(part),
            Fault::KillHosts(part) => {
                self.end_hosts(part, false);
                self.reset_connections(part);
                self.publish_list_change(part, "left");
            }
            Fault::SilenceHosts(part) => self.end_hosts(part, true),
            Fault::RemoveFromList(part) => self.publish_list_change(part, "left"),
            Fault::RestartHosts(part) => {
                for host in self.hosts_in(part) {
                    let host = &mut self.hosts[host];
                    (host.is_alive, host.is_silent, host.started) = (true, false, self.now);
                    host.incarnation += 1;
                }
                self.publish_list_change(part, "active");
            }
            Fault::KillPlacer(placer) => {
                let process = &mut self.placers[placer];
                process.incarnation += 1;
                (
                    process.engine,
                    process.is_turn_scheduled,
                    process.next_timer,
                ) = (None, false, 0);
                process.inbox.clear();
                let life = process.incarnation;
                let old: Vec<ConnectionKey> = self
                    .connections
                    .keys()
                    .filter(|k| k.0 == placer && k.1 < life)
                    .copied()
                    .collect();
                old.into_iter().for_each(|key| self.close_connection(key));
                self.schedule(self.now + S / 2, Event::Start(placer));
            }
        }
    }

    pub(super) fn hosts_in(&self, part: HostSet) -> Vec<usize> {
        let within = |h: &usize| match part {
            HostSet::Zone(zone) => self.hosts[*h].zone == zone,
            HostSet::All => true,
            HostSet::Half => h.is_multiple_of(2),
            HostSet::One(host) => *h == host,
        };
        (0..self.hosts.len()).filter(within).collect()
    }

    pub(super) fn reset_connections(&mut self, part: HostSet) {
        let hosts = self.hosts_in(part);
        let of = |c: &Connection| hosts.contains(&c.host);
        let cut: Vec<ConnectionKey> = self
            .connections
            .iter()
            .filter(|(_, c)| of(c))
            .map(|(k, _)| *k)
            .collect();
        cut.into_iter().for_each(|key| self.break_connection(key));
    }

    pub(super) fn end_hosts(&mut self, part: HostSet, silent: bool) {
        for host in self.hosts_in(part) {
            let host = &mut self.hosts[host];
            (host.is_alive, host.is_silent) = (false, silent);
            host.waiting.clear();
            for (sid, _) in std::mem::take(&mut host.running) {
                let ask = self.requests.get_mut(&sid).expect("it was asked for");
                if ask.placed {
                    ask.lost_at = Some(self.now);
                    self.summary.lost += 1;
                }
            }
        }
    }

    /// The list has it, and tells of it late.
    pub(super) fn publish_list_change(&mut self, part: HostSet, status: &str) {
        let entries: Vec<Value> = self
            .hosts_in(part)
            .into_iter()
            .map(|h| self.list_entry(h, status))
            .collect();
        self.cursor += 1;
        let list = list_update(self.cursor, false, &entries);
        self.schedule(self.now + self.list_delay, Event::ListUpdate(list));
    }
}
