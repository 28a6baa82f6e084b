//! Placers as processes: their starts, turns and connections, and the owners that send them requests.

use super::*;

impl World {
    pub(super) fn start(&mut self, placer: usize) {
        let object = settings(placer, self.placers.len(), self.connect_timing);
        let (decisions, terms) = decode_settings(&object).expect("sound settings");
        let seed = self.rng.next_u64();
        let decider = Placer::new(decisions.clone(), seed).expect("sound settings");
        let mut engine = Engine::new(terms, &decisions, decider);
        let all: Vec<Value> = (0..self.hosts.len())
            .map(|h| self.list_entry(h, "active"))
            .collect();
        engine.apply_update(
            self.now,
            &decode_batch(&list_update(self.cursor, true, &all)),
        );
        engine.owner_connected(self.now, OWNER);
        engine.handle_owner_message(self.now, OWNER, Ok(FromOwner::Probe { id: SetupId(1) }));
        let process = &mut self.placers[placer];
        process.engine = Some(engine);
        let life = process.incarnation;
        // What runs already, and was this placer's before, is its again.
        let mine: Vec<(u64, usize)> = self
            .hosts
            .iter()
            .enumerate()
            .flat_map(|(h, host)| host.running.iter().map(move |(sid, of)| (*sid, h, *of)))
            .filter(|&(_, _, of)| of.0 == placer)
            .map(|(sid, h, _)| (sid, h))
            .collect();
        for (sid, host) in mine {
            self.hosts[host].running.insert(sid, (placer, life));
            let ask = self.requests.get_mut(&sid).expect("it was asked for");
            (ask.incarnation, ask.answered, ask.in_flight) = (life, true, None);
            let at = Some(format!("s-{host}"));
            let set_up = Setup {
                running_on: at,
                answer_timeout_ms: None,
                ..setup(sid, ask.task_name, 0)
            };
            self.deliver(
                placer,
                life,
                Input::OwnerMessage(Box::new(FromOwner::Setup(Box::new(set_up)))),
            );
        }
        self.schedule_turn(placer);
    }

    /// Has a placer take its turn as soon as it has time.
    pub(super) fn schedule_turn(&mut self, placer: usize) {
        let process = &mut self.placers[placer];
        if !std::mem::replace(&mut process.is_turn_scheduled, true) {
            let (at, life) = (process.busy_until.max(self.now), process.incarnation);
            self.schedule(at, Event::Turn(placer, life));
        }
    }

    pub(super) fn deliver(&mut self, placer: usize, life: u32, input: Input) {
        if self.placers[placer].incarnation == life && self.placers[placer].engine.is_some() {
            self.placers[placer].inbox.push(input);
            self.schedule_turn(placer);
        }
    }

    pub(super) fn send_request(&mut self, again: bool, key: u64) {
        let up: Vec<usize> = (0..self.placers.len())
            .filter(|&p| self.placers[p].engine.is_some())
            .collect();
        let placer = up[self.draw(up.len() as u64) as usize];
        self.last_sid += 1;
        let (sid, life) = (self.last_sid << 8, self.placers[placer].incarnation);
        let deadline = self.now + 6 * S;
        let ask = Request {
            placer,
            incarnation: life,
            deadline,
            answered: false,
            placed: false,
            released: false,
            task_name: key,
            lost_at: None,
            in_flight: None,
        };
        self.requests.insert(sid, ask);
        self.summary.requested += usize::from(!again);
        let says = FromOwner::Setup(Box::new(setup(sid, key, 6000)));
        self.deliver(placer, life, Input::OwnerMessage(Box::new(says)));
    }

    /// One turn of a placer's loop, as its shell has it.
    pub(super) fn turn(&mut self, placer: usize) {
        let now = self.now;
        let process = &mut self.placers[placer];
        process.is_turn_scheduled = false;
        let (life, inbox) = (process.incarnation, std::mem::take(&mut process.inbox));
        let Some(engine) = &mut process.engine else {
            return;
        };
        for input in inbox {
            match input {
                Input::Connected(link) => engine.connection_established(now, link),
                Input::ConnectionLost(link, loss) => engine.connection_lost(now, link, loss),
                Input::HostMessage(link, says) => engine.handle_host_message(now, link, says),
                Input::OwnerMessage(says) => engine.handle_owner_message(now, OWNER, Ok(*says)),
                Input::ListUpdate(list) => drop(engine.apply_update(now, &decode_batch(&list))),
            }
        }
        engine.turn(now);
        let outputs = engine.take_outputs();
        let next = engine.next_timeout();
        let (mut at, mut dirty, mut told) = (now + 50, Vec::new(), Vec::new());
        for output in outputs {
            match output {
                Output::SendToOwner(_, message) => told.push(message),
                Output::CloseOwner(_) => panic!("the owner did nothing wrong"),
                Output::Connect(link, address) => {
                    let more = self.connect_timing.max_delay.saturating_sub(NETWORK_DELAY);
                    let takes = NETWORK_DELAY + if more > 0 { self.draw(more) } else { 0 };
                    let key = (placer, life, link);
                    self.schedule(
                        at + takes,
                        Event::Connect(key, usize::from(address.port()) - 1000),
                    );
                }
                Output::SendToHost(link, bytes) => {
                    if let Some(conn) = self.connections.get_mut(&(placer, life, link)) {
                        conn.unwritten.push(bytes);
                        dirty.push(link);
                    }
                }
                Output::SendToHostImmediately(link, bytes) => {
                    if let Some(conn) = self.connections.get_mut(&(placer, life, link)) {
                        conn.unwritten.push(bytes);
                        self.flush_connection((placer, life, link), at);
                        at += WRITE_TIME;
                    }
                }
                Output::CloseConnection(link) => self.close_connection((placer, life, link)),
            }
        }
        // Whatever order a shell writes in, what had to be written first is written.
        while !dirty.is_empty() {
            let n = self.draw(dirty.len() as u64) as usize;
            let link = dirty.swap_remove(n);
            if self
                .connections
                .get(&(placer, life, link))
                .is_some_and(|c| !c.unwritten.is_empty())
            {
                self.flush_connection((placer, life, link), at);
                at += WRITE_TIME;
            }
        }
        told.into_iter()
            .for_each(|message| self.handle_owner_message(at, placer, life, message));
        let process = &mut self.placers[placer];
        process.busy_until = at;
        if let Some(next) = next.map(|next| next.max(at))
            && (process.next_timer <= now || next < process.next_timer)
        {
            process.next_timer = next;
            self.schedule(next, Event::TimerFired(placer, life));
        }
    }

    /// A connection's bytes go to the network.
    pub(super) fn flush_connection(&mut self, key: ConnectionKey, at: Micros) {
        let conn = self.connections.get_mut(&key).expect("it is open");
        let out = std::mem::take(&mut conn.unwritten);
        let ends: Vec<SetupId> = out
            .iter()
            .filter(|bytes| bytes[2] == 12)
            .map(|bytes| setup_id(bytes))
            .collect();
        conn.withdrawn.extend(ends.iter().map(|sid| sid.0));
        ends.into_iter()
            .for_each(|sid| self.schedule(at, Event::SetupWithdrawn(key, sid)));
        out.into_iter()
            .for_each(|bytes| self.schedule(at + NETWORK_DELAY, Event::HostReceives(key, bytes)));
    }

    pub(super) fn clear_in_flight(&mut self, key: ConnectionKey, sid: SetupId) {
        if let Some(ask) = self
            .requests
            .get_mut(&sid.0)
            .filter(|a| a.in_flight == Some(key))
        {
            ask.in_flight = None;
        }
    }

    /// A placer closes a connection, which gives up what is open on it.
    pub(super) fn close_connection(&mut self, key: ConnectionKey) {
        let Some(conn) = self.connections.remove(&key) else {
            return;
        };
        for (sid, ask) in &mut self.requests {
            if ask.in_flight == Some(key) {
                ask.in_flight = None;
                self.hosts[conn.host].waiting.remove(sid);
            }
        }
    }

    pub(super) fn handle_owner_message(
        &mut self,
        at: Micros,
        placer: usize,
        life: u32,
        message: ToOwner,
    ) {
        let (sid, ready) = match message {
            ToOwner::Ready { id: sid, .. } => (sid, true),
            ToOwner::Close { id: sid, .. } => (sid, false),
            ToOwner::Relocate { .. } | ToOwner::Probed { .. } | ToOwner::Closed { .. } => return,
        };
        let ask = self.requests.get_mut(&sid.0).expect("it was asked for");
        assert_eq!((ask.placer, ask.incarnation), (placer, life), "{sid}");
        if !ask.answered {
            assert!(at <= ask.deadline + 50 * MS, "{sid} was answered late");
            (ask.answered, ask.placed) = (true, ready);
            let key = ask.task_name;
            self.summary.placed += usize::from(ready);
            self.summary.rejected += usize::from(!ready);
            if !ready && self.resubmits_at_once {
                self.schedule(at + NETWORK_DELAY, Event::Request(true, key));
            }
            return;
        }
        assert!(!ready && !ask.released, "{sid} got a second answer");
        ask.released = true;
        let key = ask.task_name;
        if let Some(lost) = ask.lost_at {
            self.summary.max_release_delay = self.summary.max_release_delay.max(at - lost);
        }
        let runs = self.hosts.iter_mut().find_map(|h| h.running.remove(&sid.0));
        self.summary.released_running += usize::from(runs.is_some());
        if runs.is_some() || ask.lost_at.is_some() {
            let again = at + 100 * MS + self.draw(400 * MS);
            self.schedule(again, Event::Request(true, key));
        }
    }
}
