//! Injection of the faults that the tests schedule.

use super::*;

impl Simulation {
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
                let (deliverable, still_held) = held.into_iter().partition(|(z, _)| *z == zone);
                self.held_messages = still_held;
                let deliverable: Vec<(usize, Event)> = deliverable;
                deliverable
                    .into_iter()
                    .for_each(|(_, event)| self.schedule(self.now + NETWORK_DELAY, event));
            }
            Fault::ResetConnections(host_set) => self.reset_connections(host_set),
            Fault::KillHosts(host_set) => {
                self.end_hosts(host_set, false);
                self.reset_connections(host_set);
                self.publish_list_change(host_set, "left");
            }
            Fault::PowerOffHosts(host_set) => self.end_hosts(host_set, true),
            Fault::RemoveFromList(host_set) => self.publish_list_change(host_set, "left"),
            Fault::RestartHosts(host_set) => {
                for host in self.hosts_in(host_set) {
                    let host = &mut self.hosts[host];
                    (host.is_alive, host.is_powered_off, host.started) = (true, false, self.now);
                    host.incarnation += 1;
                }
                self.publish_list_change(host_set, "active");
            }
            Fault::ReplaceHosts(host_set, order) => self.replace_hosts(host_set, order),
            Fault::KillPlacer(placer) => {
                let process = &mut self.placers[placer];
                process.incarnation += 1;
                (
                    process.engine,
                    process.is_turn_scheduled,
                    process.next_timer,
                ) = (None, false, 0);
                process.inbox.clear();
                let incarnation = process.incarnation;
                let old_connections: Vec<ConnectionKey> = self
                    .connections
                    .keys()
                    .filter(|k| k.0 == placer && k.1 < incarnation)
                    .copied()
                    .collect();
                old_connections
                    .into_iter()
                    .for_each(|key| self.close_connection(key));
                self.schedule(self.now + SECOND / 2, Event::Start(placer));
            }
        }
    }

    pub(super) fn hosts_in(&self, host_set: HostSet) -> Vec<usize> {
        let is_in_set = |h: &usize| match host_set {
            HostSet::Zone(zone) => self.hosts[*h].zone == zone,
            HostSet::All => true,
            HostSet::Half => h.is_multiple_of(2),
            HostSet::One(host) => *h == host,
        };
        (0..self.hosts.len()).filter(is_in_set).collect()
    }

    pub(super) fn reset_connections(&mut self, host_set: HostSet) {
        let hosts = self.hosts_in(host_set);
        let is_affected = |c: &Connection| hosts.contains(&c.host);
        let affected: Vec<ConnectionKey> = self
            .connections
            .iter()
            .filter(|(_, c)| is_affected(c))
            .map(|(k, _)| *k)
            .collect();
        affected
            .into_iter()
            .for_each(|key| self.break_connection(key));
    }

    pub(super) fn end_hosts(&mut self, host_set: HostSet, is_powered_off: bool) {
        for host in self.hosts_in(host_set) {
            let host = &mut self.hosts[host];
            (host.is_alive, host.is_powered_off) = (false, is_powered_off);
            host.pending_offers.clear();
            for (sid, _) in std::mem::take(&mut host.running) {
                let request = self.requests.get_mut(&sid).expect("a recorded request");
                if request.placed {
                    request.lost_at = Some(self.now);
                    self.summary.lost += 1;
                }
            }
        }
    }

    fn replace_hosts(&mut self, host_set: HostSet, order: ReplacementOrder) {
        let old_hosts = self.list_entries(host_set, "left");
        // The old connections are reset once something arrives on them.
        self.end_hosts(host_set, false);
        for index in self.hosts_in(host_set) {
            let host = &mut self.hosts[index];
            (host.is_alive, host.started) = (true, self.now);
            host.incarnation += 1;
            host.name = format!("r-{index}-{}", host.incarnation);
        }
        let new_hosts = self.list_entries(host_set, "active");
        match order {
            ReplacementOrder::Together => self.publish(&[old_hosts, new_hosts].concat(), 0),
            ReplacementOrder::OldHostFirst => {
                self.publish(&old_hosts, 0);
                self.publish(&new_hosts, SECOND / 2);
            }
            ReplacementOrder::NewHostFirst => {
                self.publish(&new_hosts, 0);
                self.publish(&old_hosts, SECOND / 2);
            }
        }
    }

    fn list_entries(&self, host_set: HostSet, status: &str) -> Vec<Value> {
        let hosts = self.hosts_in(host_set).into_iter();
        hosts.map(|host| self.list_entry(host, status)).collect()
    }

    /// Changes the status of hosts in the host list. Placers receive the update after `list_delay`.
    pub(super) fn publish_list_change(&mut self, host_set: HostSet, status: &str) {
        let entries = self.list_entries(host_set, status);
        self.publish(&entries, 0);
    }

    /// Publishes an event of the host list, which placers receive after `list_delay` and this delay.
    fn publish(&mut self, entries: &[Value], delay: Micros) {
        self.cursor += 1;
        let list = list_update(self.cursor, false, entries);
        self.schedule(self.now + self.list_delay + delay, Event::ListUpdate(list));
    }
}
