//! Machine selection by Blind GB-PANDAS with one queue per server (paper, sections 2.1 and 3). Among the feasible
//! machines it selects the one with the lowest ratio of workload to service rate or, with a probability that decreases
//! over time, a uniformly random one (exploration).

use super::Placer;
use super::attempts::PendingTask;
use super::machine::Machine;
use super::random::mix_bits;
use super::service_rate::{Locality, StartProfile};
use crate::interface::{BlockReason, MachineId, ServiceId, Task};

/// The exponent C: decision t explores with probability 1/t^C (paper, section 3). The paper has one router, so t is
/// this placer's number of decisions times the number of placers. 1 is the largest exponent that the paper allows. Less
/// exploration is needed here, since it costs slow starts, and near-ties and retries give samples as well.
const EXPLORATION_EXPONENT: f64 = 1.0;
/// Machines that score within this factor of the lowest score are tied, and one of them is selected at random.
const NEAR_TIE_FACTOR: f64 = 1.1;
/// How many of the machines that rank first for a service are candidates.
const MAX_CANDIDATES: usize = 4;
/// Estimated utilization below which a machine with the program is lightly used. Its load delays no start, so a machine
/// without the program must not be preferred for being emptier: it is scored as if it were fuller, by more than
/// [`NEAR_TIE_FACTOR`].
const LOW_UTILIZATION: f64 = 0.45;
/// Factor on the cross-zone cost in the score of a machine in another zone.
const CROSS_ZONE_FACTOR: f64 = 10.0;

/// The selected machine and its locality for the service.
#[derive(Clone, Copy)]
pub(super) struct Selection {
    pub(super) machine: MachineId,
    pub(super) locality: Locality,
}

/// A machine to be scored.
struct Candidate<'a> {
    machine: &'a Machine,
    locality: Locality,
    utilization: f64,
}

/// A machine with its score; the lowest is best.
#[derive(Clone, Copy)]
struct Scored {
    score: f64,
    selection: Selection,
}

/// The score of a machine for a service by rendezvous hashing (highest random weight), which is the same at every
/// placer. The lowest score ranks first. It is -ln(hash / 2^53) / cores, so a machine ranks first with a probability in
/// proportion to its cores.
fn rendezvous_score(service: ServiceId, machine: &Machine) -> f64 {
    let hash = (mix_bits(service.0 ^ machine.entry.stable_hash) >> 11) as f64 + 1.0;
    (53.0 * std::f64::consts::LN_2 - hash.ln()) / machine.size.cores
}

/// Keeps only the machines for which `is_preferred` holds, or all of them if it holds for none.
fn keep_preferred(machines: &mut Vec<&Machine>, is_preferred: impl Fn(&Machine) -> bool) {
    if machines.iter().any(|machine| is_preferred(machine)) {
        machines.retain(|machine| is_preferred(machine));
    }
}

impl Placer {
    /// Selects a machine for the task, or returns the reason that blocks it on all machines.
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
        self.decision_count += 1;
        if !self.explores() {
            keep_near_ties(&mut scores);
        }
        Ok(scores[self.random.index(scores.len())].selection)
    }

    /// Keeps only machines of the working set, if there are any and machines in use have a cost. The lowest utilization
    /// would otherwise spread tasks over more machines than needed; machines outside the working set become empty over
    /// time.
    fn keep_working_set(&self, machines: &mut Vec<&Machine>) {
        if self.settings.costs.machines_in_use > 0.0 {
            let working_set = self.working_set();
            keep_preferred(machines, |machine| {
                working_set.contains(&machine.entry.machine)
            });
        }
    }

    /// Whether this decision selects uniformly among all candidates.
    fn explores(&mut self) -> bool {
        let decisions = self.decision_count as f64 * f64::from(self.settings.replica_count);
        self.random.fraction() < decisions.powf(-EXPLORATION_EXPONENT)
    }

    /// The machines to be scored: those that rank first for the service or have its program loaded, limited to those
    /// with headroom if there are any.
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
                utilization: self.estimated_utilization(machine, task, mean),
            })
            .collect()
    }

    /// The machines that are expected to have the service's program loaded, ordered by id.
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

    /// Orders the machines by their rank for the service. All placers find the same few machines with headroom, and
    /// would all select them, so only the machines that rank first and the local ones are kept. All machines are kept
    /// for a task that preempts others: such tasks are rare and large, and on a contended machine one degrades many
    /// other tasks.
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
        let zone_factor = if entry.zone == self.settings.zone {
            1.0
        } else {
            1.0 + CROSS_ZONE_FACTOR * self.settings.costs.cross_zone
        };
        let min_utilization = match candidate.locality {
            Locality::Local => 0.0,
            _ => min_remote_utilization,
        };
        let profile = StartProfile {
            service: task.service,
            class: task.class,
            machine: entry.machine,
            locality: candidate.locality,
        };
        let objective = self.settings.classes[task.class].latency_objective;
        let rate = self.service_rates.estimate(profile, objective);
        Scored {
            score: zone_factor * candidate.utilization.max(min_utilization) / rate,
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
    let lowest = scores
        .iter()
        .map(|scored| scored.score)
        .fold(f64::INFINITY, f64::min);
    scores.retain(|scored| scored.score <= lowest * NEAR_TIE_FACTOR);
}
