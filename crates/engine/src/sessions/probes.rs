//! Probes of hosts that the decider requests, and their answers.

use maplethread::{Event, MachineId, Resources};
use maplethread_wire::frame::{Frame, ResourceAmounts};

use super::{Delivery, resources};
use crate::decide::Decide;
use crate::engine::Engine;
use crate::ids::HostId;
use crate::timer::Timer;

impl<D: Decide> Engine<D> {
    pub(crate) fn send_probe(&mut self, host: HostId) {
        self.next_probe = self.next_probe.wrapping_add(1);
        let nonce = self.next_probe;
        let sent = self.send_frame(host, &Frame::Probe(nonce), Delivery::BestEffort);
        if sent.is_some() {
            self.probes.insert(nonce, host);
            let timeout = self.config.hosts.connect_timeout_ms * 1000;
            self.timers
                .schedule(self.now + timeout, Timer::ProbeTimeout(nonce));
        } else {
            self.report_probe(host, None);
        }
    }

    pub(crate) fn handle_probe_timeout(&mut self, nonce: u32) {
        if let Some(host) = self.probes.remove(&nonce) {
            self.report_probe(host, None);
        }
    }

    pub(super) fn handle_probe_report(&mut self, nonce: u32, load: ResourceAmounts) {
        if let Some(host) = self.probes.remove(&nonce) {
            self.report_probe(host, Some(resources(load)));
        }
    }

    fn report_probe(&mut self, host: HostId, load: Option<Resources>) {
        self.events.push(Event::ProbeFinished {
            machine: MachineId(host.0),
            answered: load.is_some(),
            load,
        });
    }
}
