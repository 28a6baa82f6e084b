//! The mechanism on its ordinary path: Blind GB-PANDAS with one queue a server (paper, 2.1 and 3). Among the machines that
//! may take a task it chooses the least workload over rate, or a uniform draw with decreasing probability.

use super::Placer;
use super::attempts::PendingTask;
use super::machine::Machine;
use super::random::mix_bits;
use super::service_rate::{Locality, StartKind};
use crate::interface::{BlockReason, MachineId, ServiceId, Task};

/// Decision t is a uniform draw with probability 1/t^C (paper, 3), where t counts the decisions of all placers as this
/// one's times their number: the paper's one router sees them all. This is the largest C allowed: a draw that is not
/// needed costs a slow start, and pairs are sampled by near-ties and retries as well.
const EXPLORATION_EXPONENT: f64 = 1.0;
/// Machines that score within this factor of the least are drawn at random.
const NEAR_TIE_FACTOR: f64 = 1.1;
/// This many machines that rank first for a service are looked at for headroom.
const MAX_CANDIDATES: usize = 4;
/// While less than this share of a machine with the program is likely to be used, its load delays nobody, and an emptier
/// machine without the program must not attract starts: that one counts as fuller, by more than a near-tie.
const LOW_UTILIZATION: f64 = 0.45;
/// A machine in another zone scores worse by this many times the cost of crossing zones.
const CROSS_ZONE_FACTOR: f64 = 10.0;

/// The machine that was chosen, and how near it is to the service's program.
#[derive(Clone, Copy)]
pub(super) struct Selection {
    pub(super) machine: MachineId,
    pub(super) locality: Locality,
}

/// A machine among those that are scored.
struct Candidate<'a> {
    machine: &'a Machine,
    locality: Locality,
    utilization: f64,
}

/// A machine's score; the least is best.
#[derive(Clone, Copy)]
struct Scored {
    score: f64,
    selection: Selection,
}

/// A machine's rank for a service by rendezvous hashing (highest random weight), the same at every placer; the least is
/// first. Large machines rank first more often.
fn rendezvous_score(service: ServiceId, machine: &Machine) -> f64 {
    let drawn = (mix_bits(service.0 ^ machine.entry.stable_hash) >> 11) as f64 + 1.0;
    (53.0 * std::f64::consts::LN_2 - drawn.ln()) / machine.size.cores
}

/// Keeps the machines that `is_preferred` holds for, if there are any.
fn keep_preferred(machines: &mut Vec<&Machine>, is_preferred: impl Fn(&Machine) -> bool) {
    if machines.iter().any(|machine| is_preferred(machine)) {
        machines.retain(|machine| is_preferred(machine));
    }
}

impl Placer {
    /// Chooses a machine for the task, or says what blocks it everywhere.
    pub(super) fn select_machine(
        &mut self,
        pending: &PendingTask,
    ) -> Result<Selection, BlockReason> {
        let task = &pending.task;
        let mut machines = self.feasible_machines(pending)?;
        keep_preferred(&mut machines, |machine| {
            machine.health.is_healthy(task.class, self.now)
        });
        self.keep_working_set(&mut machines);
        let mut scores = self.scores(&self.candidates(machines, task), task);
        self.decisions += 1;
        if !self.explores() {
            keep_near_ties(&mut scores);
        }
        Ok(scores[self.random.index(scores.len())].selection)
    }

    /// The least share would spread tasks over more machines than needed: where that is priced, those beyond the working
    /// set are left to empty.
    fn keep_working_set(&self, machines: &mut Vec<&Machine>) {
        if self.settings.costs.machines_in_use > 0.0 {
            let working_set = self.working_set();
            keep_preferred(machines, |machine| {
                working_set.contains(&machine.entry.machine)
            });
        }
    }

    /// Whether this decision is a uniform draw over all candidates.
    fn explores(&mut self) -> bool {
        let decisions = self.decisions as f64 * f64::from(self.settings.replica_count);
        self.random.fraction() < decisions.powf(-EXPLORATION_EXPONENT)
    }

    /// The machines to be scored: of those that the service ranks first and those that hold its program, the ones with
    /// headroom, if there are any.
    fn candidates<'a>(&self, machines: Vec<&'a Machine>, task: &Task) -> Vec<Candidate<'a>> {
        let mean = self.mean_allocation();
        let local = self.local_machines(task.service);
        let is_local = |machine: &Machine| local.binary_search(&machine.entry.machine).is_ok();
        let mut ranked = self.first_ranked(machines, task, is_local);
        keep_preferred(&mut ranked, |machine| {
            self.has_headroom(machine, task, mean)
        });
        ranked
            .into_iter()
            .enumerate()
            .map(|(rank, machine)| Candidate {
                machine,
                locality: locality(rank, is_local(machine)),
                utilization: self.likely_utilization(machine, task, mean),
            })
            .collect()
    }

    /// The machines that should have the service's program loaded, in the order of their ids.
    fn local_machines(&self, service: ServiceId) -> Vec<MachineId> {
        let machines = self.placements.of_service(service);
        machines
            .map(|(machine, _)| machine)
            .filter(|&id| {
                let started_at = self.machines.get(&id).and_then(|m| m.entry.started_at);
                let started_at = started_at.unwrap_or(0);
                self.placements
                    .holds_program(service, id, started_at, self.now)
            })
            .collect()
    }

    /// Orders the machines by their rank for the service. All placers see the same few machines with headroom and would
    /// swarm to them, so only those that rank first and the local ones are kept. A task that preempts others is rare and
    /// large, and one on a contended machine costs many tasks: all machines are kept for it.
    fn first_ranked<'a>(
        &self,
        machines: Vec<&'a Machine>,
        task: &Task,
        is_local: impl Fn(&Machine) -> bool,
    ) -> Vec<&'a Machine> {
        let by_rank = |a: &(f64, &Machine), b: &(f64, &Machine)| a.0.total_cmp(&b.0);
        let mut ranked: Vec<(f64, &Machine)> = machines
            .into_iter()
            .map(|machine| (rendezvous_score(task.service, machine), machine))
            .collect();
        let preempts = self.settings.classes[task.class].priority > 0;
        if !preempts && ranked.len() > MAX_CANDIDATES {
            ranked.select_nth_unstable_by(MAX_CANDIDATES - 1, by_rank);
            let rest = ranked.split_off(MAX_CANDIDATES);
            ranked.extend(rest.into_iter().filter(|(_, machine)| is_local(machine)));
        }
        ranked.sort_by(by_rank);
        ranked.into_iter().map(|(_, machine)| machine).collect()
    }

    fn scores(&self, candidates: &[Candidate], task: &Task) -> Vec<Scored> {
        let lightly_used_local = candidates
            .iter()
            .filter(|candidate| candidate.locality == Locality::Local)
            .map(|candidate| candidate.utilization)
            .filter(|&utilization| utilization < LOW_UTILIZATION)
            .fold(0.0, f64::max);
        let min_remote_utilization = lightly_used_local * NEAR_TIE_FACTOR * NEAR_TIE_FACTOR;
        candidates
            .iter()
            .map(|candidate| self.score(candidate, task, min_remote_utilization))
            .collect()
    }

    fn score(&self, candidate: &Candidate, task: &Task, min_remote_utilization: f64) -> Scored {
        let entry = &candidate.machine.entry;
        let crossing = if entry.zone == self.settings.zone {
            1.0
        } else {
            1.0 + CROSS_ZONE_FACTOR * self.settings.costs.cross_zone
        };
        let min_utilization = match candidate.locality {
            Locality::Local => 0.0,
            _ => min_remote_utilization,
        };
        let kind = StartKind {
            service: task.service,
            class: task.class,
            machine: entry.machine,
            locality: candidate.locality,
        };
        let objective = self.settings.classes[task.class].latency_objective;
        let rate = self.service_rates.estimate(kind, objective);
        Scored {
            score: crossing * candidate.utilization.max(min_utilization) / rate,
            selection: Selection {
                machine: entry.machine,
                locality: candidate.locality,
            },
        }
    }
}

fn locality(rank: usize, is_local: bool) -> Locality {
    match rank {
        _ if is_local => Locality::Local,
        0 => Locality::PrimaryHome,
        1 => Locality::SecondaryHome,
        _ => Locality::Remote,
    }
}

fn keep_near_ties(scores: &mut Vec<Scored>) {
    let least = scores
        .iter()
        .map(|scored| scored.score)
        .fold(f64::INFINITY, f64::min);
    scores.retain(|scored| scored.score <= least * NEAR_TIE_FACTOR);
}
