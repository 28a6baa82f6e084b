//! The simulated placer processes, with their starts, turns and connections, and the owners that send them requests.

use super::*;

impl Simulation {
    pub(super) fn start(&mut self, placer: usize) {
        let settings_json = settings(placer, self.placers.len(), self.connect_timing);
        let (policy_settings, platform_settings) =
            decode_settings(&settings_json).expect("valid settings");
        let seed = self.rng.next_u64();
        let policy = Placer::new(policy_settings.clone(), seed).expect("valid settings");
        let mut engine = Engine::new(platform_settings, &policy_settings, policy);
        let entries: Vec<Value> = (0..self.hosts.len())
            .map(|h| self.list_entry(h, "active"))
            .collect();
        engine.apply_commands(
            self.now,
            &decode_batch(&list_update(self.cursor, true, &entries)),
        );
        engine.owner_connected(self.now, OWNER, IpAddr::from([127, 0, 0, 1]));
        engine.handle_owner_message(self.now, OWNER, Ok(FromOwner::Probe { id: SetupId(1) }));
        let process = &mut self.placers[placer];
        process.engine = Some(engine);
        let incarnation = process.incarnation;
        // Running tasks that the previous process of this placer managed are handed over to the new one.
        let running_tasks: Vec<(u64, usize)> = self
            .hosts
            .iter()
            .enumerate()
            .flat_map(|(h, host)| {
                host.running
                    .iter()
                    .map(move |(sid, process_key)| (*sid, h, *process_key))
            })
            .filter(|&(_, _, process_key)| process_key.0 == placer)
            .map(|(sid, h, _)| (sid, h))
            .collect();
        for (sid, host) in running_tasks {
            self.hosts[host].running.insert(sid, (placer, incarnation));
            let request = self.requests.get_mut(&sid).expect("a recorded request");
            (request.incarnation, request.answered, request.in_flight) = (incarnation, true, None);
            let host_name = Some(self.hosts[host].name.clone());
            let handover = Setup {
                running_on: host_name,
                answer_timeout_ms: None,
                ..setup(sid, request.task_name, 0)
            };
            self.deliver(
                placer,
                incarnation,
                Input::OwnerMessage(Box::new(FromOwner::Setup(Box::new(handover)))),
            );
        }
        self.schedule_turn(placer);
    }

    /// Schedules a turn of a placer for when it is no longer busy.
    pub(super) fn schedule_turn(&mut self, placer: usize) {
        let process = &mut self.placers[placer];
        if !std::mem::replace(&mut process.is_turn_scheduled, true) {
            let (at, incarnation) = (process.busy_until.max(self.now), process.incarnation);
            self.schedule(at, Event::Turn(placer, incarnation));
        }
    }

    pub(super) fn deliver(&mut self, placer: usize, incarnation: u32, input: Input) {
        if self.placers[placer].incarnation == incarnation && self.placers[placer].engine.is_some()
        {
            self.placers[placer].inbox.push(input);
            self.schedule_turn(placer);
        }
    }

    pub(super) fn send_request(&mut self, is_resubmission: bool, task_name: u64) {
        let running_placers: Vec<usize> = (0..self.placers.len())
            .filter(|&p| self.placers[p].engine.is_some())
            .collect();
        let placer = running_placers[self.random_below(running_placers.len() as u64) as usize];
        self.last_sid += 1;
        let (sid, incarnation) = (self.last_sid << 8, self.placers[placer].incarnation);
        let deadline = self.now + 6 * SECOND;
        let request = Request {
            placer,
            incarnation,
            deadline,
            answered: false,
            placed: false,
            released: false,
            task_name,
            lost_at: None,
            in_flight: None,
        };
        self.requests.insert(sid, request);
        self.summary.requested += usize::from(!is_resubmission);
        let message = FromOwner::Setup(Box::new(setup(sid, task_name, 6000)));
        self.deliver(placer, incarnation, Input::OwnerMessage(Box::new(message)));
    }

    /// Performs one turn of a placer's event loop, as its shell does.
    pub(super) fn turn(&mut self, placer: usize) {
        let now = self.now;
        let process = &mut self.placers[placer];
        process.is_turn_scheduled = false;
        let (incarnation, inbox) = (process.incarnation, std::mem::take(&mut process.inbox));
        let Some(engine) = &mut process.engine else {
            return;
        };
        for input in inbox {
            match input {
                Input::Connected(id) => engine.connection_established(now, id),
                Input::ConnectionLost(id, reason) => engine.connection_lost(now, id, reason),
                Input::HostMessage(id, message) => engine.handle_host_message(now, id, message),
                Input::OwnerMessage(message) => {
                    engine.handle_owner_message(now, OWNER, Ok(*message))
                }
                Input::ListUpdate(list) => drop(engine.apply_commands(now, &decode_batch(&list))),
            }
        }
        engine.turn(now);
        let outputs = engine.take_outputs();
        let next_timeout = engine.next_timeout();
        let (mut at, mut unflushed, mut owner_messages) = (now + 50, Vec::new(), Vec::new());
        for output in outputs {
            match output {
                Output::SendToOwner(_, message) => owner_messages.push(message),
                Output::CloseOwner(_) => panic!("the connection of a valid owner was closed"),
                Output::Connect(id, address) => {
                    let max_extra_delay =
                        self.connect_timing.max_delay.saturating_sub(NETWORK_DELAY);
                    let connect_delay = NETWORK_DELAY
                        + if max_extra_delay > 0 {
                            self.random_below(max_extra_delay)
                        } else {
                            0
                        };
                    let key = (placer, incarnation, id);
                    self.schedule(
                        at + connect_delay,
                        Event::Connect(key, usize::from(address.port()) - 1000),
                    );
                }
                Output::SendToHost(id, bytes) => {
                    if let Some(conn) = self.connections.get_mut(&(placer, incarnation, id)) {
                        conn.unwritten.push(bytes);
                        unflushed.push(id);
                    }
                }
                Output::SendToHostImmediately(id, bytes) => {
                    if let Some(conn) = self.connections.get_mut(&(placer, incarnation, id)) {
                        conn.unwritten.push(bytes);
                        self.flush_connection((placer, incarnation, id), at);
                        at += WRITE_TIME;
                    }
                }
                Output::CloseConnection(id) => self.close_connection((placer, incarnation, id)),
                Output::DrainConnection(_) => panic!("all messages of hosts are valid"),
            }
        }
        // Connections are flushed in random order. Messages that have to be written immediately were written above.
        while !unflushed.is_empty() {
            let n = self.random_below(unflushed.len() as u64) as usize;
            let id = unflushed.swap_remove(n);
            if self
                .connections
                .get(&(placer, incarnation, id))
                .is_some_and(|c| !c.unwritten.is_empty())
            {
                self.flush_connection((placer, incarnation, id), at);
                at += WRITE_TIME;
            }
        }
        owner_messages
            .into_iter()
            .for_each(|message| self.handle_owner_message(at, placer, incarnation, message));
        let process = &mut self.placers[placer];
        process.busy_until = at;
        if let Some(timeout) = next_timeout.map(|timeout| timeout.max(at))
            && (process.next_timer <= now || timeout < process.next_timer)
        {
            process.next_timer = timeout;
            self.schedule(timeout, Event::TimerFired(placer, incarnation));
        }
    }

    /// Writes the unwritten messages of a connection to the network.
    pub(super) fn flush_connection(&mut self, key: ConnectionKey, at: Micros) {
        let conn = self.connections.get_mut(&key).expect("an open connection");
        let messages = std::mem::take(&mut conn.unwritten);
        // Type 12 is a close.
        let closed_setups: Vec<SetupId> = messages
            .iter()
            .filter(|bytes| bytes[2] == 12)
            .map(|bytes| setup_id(bytes))
            .collect();
        conn.closed_setups
            .extend(closed_setups.iter().map(|sid| sid.0));
        closed_setups
            .into_iter()
            .for_each(|sid| self.schedule(at, Event::SetupClosed(key, sid)));
        messages
            .into_iter()
            .for_each(|bytes| self.schedule(at + NETWORK_DELAY, Event::HostReceives(key, bytes)));
    }

    pub(super) fn clear_in_flight(&mut self, key: ConnectionKey, sid: SetupId) {
        if let Some(request) = self
            .requests
            .get_mut(&sid.0)
            .filter(|request| request.in_flight == Some(key))
        {
            request.in_flight = None;
        }
    }

    /// Closes a connection of a placer, which ends the attempts in flight on it.
    pub(super) fn close_connection(&mut self, key: ConnectionKey) {
        let Some(conn) = self.connections.remove(&key) else {
            return;
        };
        for (sid, request) in &mut self.requests {
            if request.in_flight == Some(key) {
                request.in_flight = None;
                self.hosts[conn.host].pending_offers.remove(sid);
            }
        }
    }

    pub(super) fn handle_owner_message(
        &mut self,
        at: Micros,
        placer: usize,
        incarnation: u32,
        message: ToOwner,
    ) {
        let (sid, is_placed) = match message {
            ToOwner::Ready { id: sid, .. } => (sid, true),
            ToOwner::Close { id: sid, .. } => (sid, false),
            ToOwner::Relocate { .. } | ToOwner::Probed { .. } | ToOwner::Closed { .. } => return,
        };
        let request = self.requests.get_mut(&sid.0).expect("a recorded request");
        assert_eq!(
            (request.placer, request.incarnation),
            (placer, incarnation),
            "{sid}"
        );
        if !request.answered {
            assert!(
                at <= request.deadline + 50 * MS,
                "{sid} was answered after its deadline"
            );
            (request.answered, request.placed) = (true, is_placed);
            let task_name = request.task_name;
            self.summary.placed += usize::from(is_placed);
            self.summary.rejected += usize::from(!is_placed);
            if !is_placed && self.resubmits_at_once {
                self.schedule(at + NETWORK_DELAY, Event::Request(true, task_name));
            }
            return;
        }
        assert!(
            !is_placed && !request.released,
            "{sid} was answered or released twice"
        );
        request.released = true;
        let task_name = request.task_name;
        if let Some(lost_at) = request.lost_at {
            self.summary.max_release_delay = self.summary.max_release_delay.max(at - lost_at);
        }
        let removed = self.hosts.iter_mut().find_map(|h| h.running.remove(&sid.0));
        self.summary.released_running += usize::from(removed.is_some());
        if removed.is_some() || request.lost_at.is_some() {
            let resubmit_at = at + 100 * MS + self.random_below(400 * MS);
            self.schedule(resubmit_at, Event::Request(true, task_name));
        }
    }
}
