//! The view of the fleet on a socket: one UDP socket on the daemon's loop, a bounded share of each turn.

use std::collections::VecDeque;
use std::io;
use std::net::UdpSocket;
use std::path::{Path, PathBuf};
use std::time::Duration;

use maplethread_config::{FleetSettings as FleetConfig, PlacerConfig};
use maplethread_membership::{
    Facts, KeyRing, LocalMember, MAX_DATAGRAM_BYTES, MemberName, MemberState, Output, Settings,
    Timing,
};
use maplethread_reactor::{FileWatch, Poller};
use serde_json::{Value, json};

use crate::start::{Error, io_error};

/// Datagrams read in one turn: a flood waits in the socket, and what finds no room there is lost.
const MAX_DATAGRAMS_PER_ROUND: usize = 64;
/// Changes of the view that are kept for those who follow it.
const MAX_KEPT_CHANGES: usize = 4096;
/// Changes in one answer.
const MAX_CHANGES_PER_ANSWER: usize = 1024;

/// A member of a fleet on its socket.
pub(crate) struct MembershipSocket {
    member: LocalMember,
    socket: UdpSocket,
    key_watch: FileWatch,
    key_file: PathBuf,
    fleet_name: String,
    /// Number, time in ms, and what changed.
    changes: VecDeque<(u64, u64, Value)>,
    next_change_number: u64,
    /// Datagrams that the socket did not take.
    unsent_datagrams: u64,
}

fn load_keys(path: &Path, fleet: &str) -> Result<KeyRing, Error> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(io_error(file.clone()))?;
    KeyRing::parse(&text, fleet)
        .map_err(|e| io_error(file)(io::Error::new(io::ErrorKind::InvalidData, e)))
}

fn timing(config: &FleetConfig) -> Timing {
    let ms = Duration::from_millis;
    Timing {
        probe_interval: ms(config.probe_interval_ms),
        probe_timeout: ms(config.probe_timeout_ms),
        indirect_probes: config.indirect_probes,
        suspicion_multiplier: config.suspicion_multiplier,
        gossip_interval: ms(config.gossip_interval_ms),
        anti_entropy_interval: ms(config.sync_interval_ms),
        discovery_interval: ms(config.discovery_interval_ms),
        forget_after: Duration::from_secs(config.retention_s),
        max_members: config.max_members,
    }
}

impl MembershipSocket {
    /// The member that the settings name, if they name one, registered under these tokens.
    pub(crate) fn new(
        config: &PlacerConfig,
        (started_ms, seed, now): (u64, u64, u64),
        poller: &Poller,
        (socket_token, keys_token): (u64, u64),
    ) -> Result<Option<MembershipSocket>, Error> {
        let Some(fleet) = &config.fleet else {
            return Ok(None);
        };
        let socket = UdpSocket::bind(fleet.listen)
            .map_err(io_error(format!("fleet.listen {}", fleet.listen)))?;
        socket
            .set_nonblocking(true)
            .map_err(io_error("the fleet's socket"))?;
        let bound = socket
            .local_addr()
            .map_err(io_error("the fleet's socket"))?;
        poller
            .register(&socket, socket_token, false)
            .map_err(io_error("epoll"))?;
        let loaded = load_keys(&fleet.key_file, &fleet.name)?;
        let watch = FileWatch::new(&fleet.key_file)
            .map_err(io_error(format!("watching {}", fleet.key_file.display())))?;
        poller
            .register(&watch, keys_token, false)
            .map_err(io_error("inotify"))?;
        let bad = |e: maplethread_membership::TextError| io_error("[fleet]")(io::Error::other(e));
        let settings = Settings {
            name: MemberName::try_from(config.identity.name.clone()).map_err(bad)?,
            advertised_address: fleet.advertise.unwrap_or(bound),
            generation: started_ms,
            facts: Facts {
                version: env!("CARGO_PKG_VERSION")
                    .to_owned()
                    .try_into()
                    .map_err(bad)?,
                zone: config.identity.zone.clone().try_into().map_err(bad)?,
                started_ms,
                is_draining: false,
                replica_index: None,
                load_percent: 0,
            },
            seeds: fleet.seeds.clone(),
            keys: loaded,
            timing: timing(fleet),
        };
        tracing::info!(listen = %bound, advertise = %settings.advertised_address, seeds = fleet.seeds.len(), "fleet: joining");
        Ok(Some(MembershipSocket {
            member: LocalMember::new(settings, seed, now),
            socket,
            key_watch: watch,
            key_file: fleet.key_file.clone(),
            fleet_name: fleet.name.clone(),
            changes: VecDeque::new(),
            next_change_number: 1,
            unsent_datagrams: 0,
        }))
    }

    pub(crate) fn next_timeout(&self) -> Option<u64> {
        self.member.next_timeout()
    }

    /// Reads what waits on the socket, up to a turn's share.
    pub(crate) fn read_datagrams(&mut self, now: u64) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_DATAGRAMS_PER_ROUND {
            match self.socket.recv_from(&mut bytes) {
                Ok((n, _)) => self.member.handle_datagram(now, &bytes[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // What an earlier datagram met: nobody listened where it went.
                Err(_) => {}
            }
        }
    }

    /// Does what is due, and sends what is to be sent.
    pub(crate) fn tick(&mut self, now: u64) {
        self.member.tick(now);
        for output in self.member.outputs() {
            match output {
                Output::Send(to, bytes) => {
                    let sent = self.socket.send_to(&bytes, to);
                    self.unsent_datagrams += u64::from(sent.is_err());
                }
                Output::Changed(change) => {
                    let (from, to) = (
                        state_name(change.previous_state),
                        state_name(change.new_state),
                    );
                    let (member, address, life) = (&change.name, change.address, change.generation);
                    let by = &change.reported_by;
                    if matches!(
                        change.new_state,
                        Some(MemberState::Down | MemberState::Suspect)
                    ) {
                        tracing::warn!(%member, %address, life, from, to, %by, "fleet: a member has changed");
                    } else {
                        tracing::info!(%member, %address, life, from, to, %by, "fleet: a member has changed");
                    }
                    self.keep_change(now, json!(change));
                }
                Output::Notice(notice) => {
                    tracing::warn!(?notice, "fleet: this member itself");
                    self.keep_change(now, json!(notice));
                }
            }
        }
    }

    fn keep_change(&mut self, now: u64, what: Value) {
        self.changes
            .push_back((self.next_change_number, now / 1000, what));
        self.next_change_number += 1;
        if self.changes.len() > MAX_KEPT_CHANGES {
            self.changes.pop_front();
        }
    }

    /// The key file may have changed. One that can't be used leaves the keys as they are.
    pub(crate) fn reload_keys(&mut self) {
        if !self.key_watch.has_changed() {
            return;
        }
        match load_keys(&self.key_file, &self.fleet_name) {
            Ok(keys) => {
                tracing::info!(file = %self.key_file.display(), ?keys, "fleet: the keys are read again");
                self.member.set_keys(keys);
            }
            Err(error) => {
                tracing::error!(%error, "fleet: the key file can't be used; the keys are kept")
            }
        }
    }

    /// What the member says of itself from now on; its load is told in quarters, so that the view settles under load.
    pub(crate) fn announce(&mut self, now: u64, draining: bool, number: Option<u32>, load: f64) {
        let load = ((load.clamp(0.0, 1.0) * 4.0).floor() * 25.0) as u8;
        let mut facts = self.member.facts().clone();
        (facts.is_draining, facts.replica_index, facts.load_percent) = (draining, number, load);
        self.member.set_facts(now, facts);
    }

    /// Tells others that it leaves.
    pub(crate) fn leave(&mut self, now: u64) {
        self.member.leave(now);
        self.tick(now);
    }

    /// The view; or what has changed since a number, with what the view comes to.
    pub(crate) fn view_json(&self, now: u64, after: Option<u64>) -> Value {
        let Some(after) = after else {
            let mut view = json!(self.member.view(now));
            view["unsent"] = json!(self.unsent_datagrams);
            view["next"] = json!(self.next_change_number);
            return view;
        };
        let oldest = self
            .changes
            .front()
            .map_or(self.next_change_number, |c| c.0);
        let new = self
            .changes
            .iter()
            .filter(|c| c.0 > after)
            .take(MAX_CHANGES_PER_ANSWER);
        let changes: Vec<Value> = new
            .map(|(number, at_ms, what)| json!({"number": number, "at_ms": at_ms, "change": what}))
            .collect();
        json!({
            "digest": format!("{:016x}", self.member.digest()),
            "live": self.member.live_count(),
            "now_ms": now / 1000,
            "lost": after + 1 < oldest,
            "changes": changes,
        })
    }
}

fn state_name(state: Option<MemberState>) -> &'static str {
    match state {
        Some(MemberState::Alive) => "alive",
        Some(MemberState::Suspect) => "suspect",
        Some(MemberState::Left) => "left",
        Some(MemberState::Down) => "down",
        None => "unknown",
    }
}
