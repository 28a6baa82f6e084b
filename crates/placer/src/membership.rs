//! Runs the membership protocol on a UDP socket in the daemon's event loop, reading a bounded number of datagrams per
//! round.

mod change_log;

use std::io;
use std::net::UdpSocket;
use std::path::{Path, PathBuf};
use std::time::Duration;

use maplethread_config::{FleetSettings, PlacerConfig};
use maplethread_membership::{
    Facts, KeyRing, LocalMember, MAX_DATAGRAM_BYTES, MemberName, MemberState, MembershipChange,
    Output, Settings, Timing,
};
use maplethread_reactor::{FileWatch, Poller, ResourceError};
use serde_json::{Value, json};

use crate::error::Error;
use change_log::ChangeLog;

/// Maximum number of datagrams read per round. Under a flood, further ones wait in the socket's receive buffer or are
/// dropped there.
const MAX_DATAGRAMS_PER_ROUND: usize = 64;
/// The announced load is rounded down to one of this many steps, so that small changes of the load are
/// not sent to all members.
const LOAD_STEPS: f64 = 4.0;

/// Start time and random seed of a member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartTime {
    /// Unix time, ms.
    pub unix_ms: u64,
    pub seed: u64,
    /// Time on the event loop's clock, µs.
    pub now: u64,
}

/// Poller tokens of a member's descriptors.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PollerTokens {
    pub socket: u64,
    /// The watch on the key file.
    pub keys: u64,
}

/// This placer as a member, with its socket.
pub(crate) struct MembershipSocket {
    member: LocalMember,
    socket: UdpSocket,
    key_watch: FileWatch,
    key_file: PathBuf,
    fleet_name: String,
    changes: ChangeLog,
    /// Datagrams that could not be sent.
    unsent_datagrams: u64,
}

impl MembershipSocket {
    /// Creates the member if the settings have a `[fleet]` section.
    ///
    /// # Errors
    /// If its socket or key file can't be used, or its name is too long.
    pub fn new(
        config: &PlacerConfig,
        start: StartTime,
        poller: &Poller,
        tokens: PollerTokens,
    ) -> Result<Option<MembershipSocket>, Error> {
        let Some(fleet) = &config.fleet else {
            return Ok(None);
        };
        let socket = bind(fleet)?;
        poller
            .register(&socket, tokens.socket, false)
            .map_err(ResourceError::for_resource("epoll"))?;
        let keys = load_keys(&fleet.key_file, &fleet.name)?;
        let key_watch = FileWatch::new(&fleet.key_file).map_err(ResourceError::for_resource(
            format!("watching {}", fleet.key_file.display()),
        ))?;
        poller
            .register(&key_watch, tokens.keys, false)
            .map_err(ResourceError::for_resource("inotify"))?;
        let bound = socket
            .local_addr()
            .map_err(ResourceError::for_resource("fleet socket"))?;
        let settings = Settings {
            name: MemberName::try_from(config.identity.name.clone()).map_err(invalid_text_error)?,
            advertised_address: fleet.advertise.unwrap_or(bound),
            generation: start.unix_ms,
            facts: facts(config, start)?,
            seeds: fleet.seeds.clone(),
            keys,
            timing: timing(fleet),
        };
        tracing::info!(listen = %bound, advertise = %settings.advertised_address, seeds = fleet.seeds.len(), "fleet: joining");
        Ok(Some(MembershipSocket {
            member: LocalMember::new(settings, start.seed, start.now),
            socket,
            key_watch,
            key_file: fleet.key_file.clone(),
            fleet_name: fleet.name.clone(),
            changes: ChangeLog::default(),
            unsent_datagrams: 0,
        }))
    }

    /// The latest time at which [`MembershipSocket::tick`] must be called, µs.
    pub fn next_timeout(&self) -> Option<u64> {
        self.member.next_timeout()
    }

    /// Reads waiting datagrams, at most `MAX_DATAGRAMS_PER_ROUND`.
    pub fn read_datagrams(&mut self, now: u64) {
        // One byte more than the maximum, so that a longer datagram is not accepted after truncation.
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_DATAGRAMS_PER_ROUND {
            match self.socket.recv_from(&mut bytes) {
                Ok((length, _)) => self.member.handle_datagram(now, &bytes[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // The result of an earlier datagram: its destination port was closed.
                Err(_) => {}
            }
        }
    }

    /// Does everything that is due and sends the resulting datagrams.
    pub fn tick(&mut self, now: u64) {
        self.member.tick(now);
        for output in self.member.take_outputs() {
            match output {
                Output::Send(to, bytes) => {
                    let sent = self.socket.send_to(&bytes, to);
                    self.unsent_datagrams += u64::from(sent.is_err());
                }
                Output::Changed(change) => {
                    log_change(&change);
                    self.changes.push(now, json!(change));
                }
                Output::Notice(notice) => {
                    tracing::warn!(%notice, "fleet: notice about this member");
                    self.changes.push(now, json!(notice));
                }
            }
        }
    }

    /// Reloads the keys if the key file has changed. If it can't be used, the current keys stay in use.
    pub fn reload_keys(&mut self) {
        if !self.key_watch.has_changed() {
            return;
        }
        match load_keys(&self.key_file, &self.fleet_name) {
            Ok(keys) => {
                tracing::info!(file = %self.key_file.display(), ?keys, "fleet: keys reloaded");
                self.member.set_keys(keys);
            }
            Err(error) => {
                tracing::error!(%error, "fleet: the key file can't be used; keeping the current keys");
            }
        }
    }

    /// Sets the facts that this member announces. `load` is a share of its capacity, from 0 to 1.
    pub fn announce(&mut self, now: u64, replica_index: Option<u32>, load: f64) {
        let step = (load.clamp(0.0, 1.0) * LOAD_STEPS).floor();
        let facts = Facts {
            is_draining: false,
            replica_index,
            load_percent: (step * 100.0 / LOAD_STEPS) as u8,
            ..self.member.facts().clone()
        };
        self.member.set_facts(now, facts);
    }

    /// Announces to the other members that this one leaves.
    pub fn leave(&mut self, now: u64) {
        self.member.leave(now);
        self.tick(now);
    }

    /// The full view; or, if `after` is the number of a change, the later changes and a digest of the view.
    pub fn view_json(&self, now: u64, after: Option<u64>) -> Value {
        let Some(after) = after else {
            let mut view = json!(self.member.view(now));
            view["unsent"] = json!(self.unsent_datagrams);
            view["next"] = json!(self.changes.next_number());
            return view;
        };
        json!({
            "digest": format!("{:016x}", self.member.digest()),
            "live": self.member.live_count(),
            "now_ms": now / 1000,
            "lost": self.changes.has_evicted_after(after),
            "changes": self.changes.after(after),
        })
    }
}

fn bind(fleet: &FleetSettings) -> Result<UdpSocket, Error> {
    let resource = format!("fleet.listen {}", fleet.listen);
    let socket = UdpSocket::bind(fleet.listen).map_err(ResourceError::for_resource(resource))?;
    socket
        .set_nonblocking(true)
        .map_err(ResourceError::for_resource("fleet socket"))?;
    Ok(socket)
}

fn load_keys(path: &Path, fleet_name: &str) -> Result<KeyRing, Error> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(ResourceError::for_resource(file.clone()))?;
    let keys = KeyRing::parse(&text, fleet_name)
        .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
        .map_err(ResourceError::for_resource(file))?;
    Ok(keys)
}

/// The error for a name, zone or version that the protocol can't carry: empty, too long, or with control characters.
fn invalid_text_error(error: maplethread_membership::TextError) -> Error {
    ResourceError::for_resource("[fleet]")(io::Error::other(error)).into()
}

fn facts(config: &PlacerConfig, start: StartTime) -> Result<Facts, Error> {
    let version = env!("CARGO_PKG_VERSION").to_owned();
    Ok(Facts {
        version: version.try_into().map_err(invalid_text_error)?,
        zone: config
            .identity
            .zone
            .clone()
            .try_into()
            .map_err(invalid_text_error)?,
        started_ms: start.unix_ms,
        is_draining: false,
        replica_index: None,
        load_percent: 0,
    })
}

fn timing(fleet: &FleetSettings) -> Timing {
    let ms = Duration::from_millis;
    Timing {
        probe_interval: ms(fleet.probe_interval_ms),
        probe_timeout: ms(fleet.probe_timeout_ms),
        indirect_probes: fleet.indirect_probes,
        suspicion_multiplier: fleet.suspicion_multiplier,
        gossip_interval: ms(fleet.gossip_interval_ms),
        anti_entropy_interval: ms(fleet.sync_interval_ms),
        discovery_interval: ms(fleet.discovery_interval_ms),
        removal_delay: Duration::from_secs(fleet.retention_s),
        max_members: fleet.max_members,
    }
}

fn log_change(change: &MembershipChange) {
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
        tracing::warn!(%member, %address, life, from, to, %by, "fleet: member state changed");
    } else {
        tracing::info!(%member, %address, life, from, to, %by, "fleet: member state changed");
    }
}

/// The name of a member's state in log lines.
fn state_name(state: Option<MemberState>) -> &'static str {
    match state {
        Some(MemberState::Alive) => "alive",
        Some(MemberState::Suspect) => "suspect",
        Some(MemberState::Left) => "left",
        Some(MemberState::Down) => "down",
        None => "unknown",
    }
}
