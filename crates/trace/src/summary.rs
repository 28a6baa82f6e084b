//! Summarises a trace for operators: the outcomes of requests and their reasons, placement times, and counts by host
//! and by second.

mod report;

use std::collections::{BTreeMap, HashMap, VecDeque};

use hdrhistogram::Histogram;
use maplethread::{Action, AttemptOutcome, AttemptResult, Event, MachineState, Rules};

use crate::header::Header;
use crate::record::{Outcome, Record, TimedRecord, Turn};
use crate::report_names;

/// The maximum number of open requests, and of open offers, that are tracked; at the limit all of them are dropped.
const MAX_OPEN_REQUESTS: usize = 1 << 18;
/// The number of seconds with counts of their own, a day and a half; later ones are counted in the last.
const MAX_SECONDS: usize = 1 << 17;

/// Longer placement times are recorded as this long.
const MAX_RECORDED_US: u64 = 3_600_000_000;
/// The length of the steps for which rejections by a host are counted.
const REJECTION_STEP_S: u64 = 10;
/// The maximum number of steps over all hosts and reasons; at the limit, further rejections are counted in the last
/// step of their host and reason.
const MAX_REJECTION_STEPS: usize = 1 << 18;

/// The counts of one class.
#[derive(Clone, Debug, Default)]
struct ClassCounts {
    requests: u64,
    outcomes: BTreeMap<&'static str, u64>,
    rejection_reasons: BTreeMap<String, u64>,
    attempts: u64,
}

/// The counts of one host.
#[derive(Clone, Debug, Default)]
struct HostCounts {
    offers: u64,
    accepted: u64,
    attempts_by_outcome: BTreeMap<String, u64>,
    drains: u64,
    offers_after_drain: u64,
    latest_offer_after_drain_us: u64,
    /// The number of rejections by reason and by the start of the step, in s since the first record.
    rejections: BTreeMap<String, BTreeMap<u64, u64>>,
    /// The number of offers while the host was cold.
    warm_up_offers: u64,
    /// The maximum number of these from one placer within a budget window.
    max_warm_up_offers: u64,
}

/// The state of a host as last reported to one run of a placer.
#[derive(Clone, Copy, Debug, Default)]
struct KnownHostState {
    is_ready: bool,
    draining_since: Option<u64>,
    started_at: Option<u64>,
}

/// The counts of one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SecondCounts {
    /// Requests received.
    pub requests: u32,
    /// Answered `placed`.
    pub placed: u32,
    /// Answered `refused`.
    pub rejected: u32,
    /// Answered `failed`.
    pub failed: u32,
    /// Offers sent.
    pub offers: u32,
    /// Hosts that were no longer reported as ready.
    pub drains: u32,
}

/// Collects the summary of a trace.
pub struct Summary {
    classes: Vec<(String, ClassCounts)>,
    hosts: BTreeMap<u32, HostCounts>,
    /// The host states by source and host, since each run receives its own reports.
    known_hosts: BTreeMap<(u32, u32), KnownHostState>,
    /// The times of offers to cold hosts within the last budget window, by source and host.
    warm_up_windows: BTreeMap<(u32, u32), VecDeque<u64>>,
    /// The rules and the number of placers from the header's settings; a merged trace has none.
    rules: Option<(Rules, u32)>,
    rejection_steps: usize,
    current_source: u32,
    host_names: BTreeMap<u32, String>,
    /// The class of each unanswered request, by task.
    open_requests: HashMap<u64, usize>,
    /// The host of each open offer, by task and attempt number.
    open_offers: HashMap<(u64, u32), u32>,
    /// The number of attempts by task.
    attempt_counts: HashMap<u64, u32>,
    seconds: Vec<SecondCounts>,
    begin: Option<u64>,
    end: u64,
    placement_times: Histogram<u64>,
    blocked: BTreeMap<String, u64>,
    turns: u64,
    records: u64,
    /// The numbers of turns and of records lost in gaps.
    lost_in_gaps: (u64, u64),
    damaged_bytes: u64,
    unknown_records: u64,
}

impl Summary {
    /// Starts the summary of a trace with this header.
    pub fn new(header: &Header) -> Summary {
        let names = header
            .classes
            .iter()
            .map(|name| (name.clone(), ClassCounts::default()))
            .collect();
        Summary {
            classes: names,
            hosts: BTreeMap::new(),
            known_hosts: BTreeMap::new(),
            warm_up_windows: BTreeMap::new(),
            rules: header.settings.as_ref().map(|s| (s.rules, s.replica_count)),
            rejection_steps: 0,
            current_source: 0,
            host_names: BTreeMap::new(),
            open_requests: HashMap::new(),
            open_offers: HashMap::new(),
            attempt_counts: HashMap::new(),
            seconds: Vec::new(),
            begin: None,
            end: 0,
            placement_times: Histogram::new_with_bounds(1, MAX_RECORDED_US, 3)
                .expect("bounds in range"),
            blocked: BTreeMap::new(),
            turns: 0,
            records: 0,
            lost_in_gaps: (0, 0),
            damaged_bytes: 0,
            unknown_records: 0,
        }
    }

    /// Adds to the number of bytes that could not be read.
    pub fn add_damaged_bytes(&mut self, byte_count: u64) {
        self.damaged_bytes += byte_count;
    }

    /// Adds to the number of records of unknown kinds.
    pub fn add_unknown_records(&mut self, records: u32) {
        self.unknown_records += u64::from(records);
    }

    fn second_at(&mut self, at: u64) -> &mut SecondCounts {
        let begin = *self.begin.get_or_insert(at);
        let n = ((at.saturating_sub(begin) / 1_000_000) as usize).min(MAX_SECONDS - 1);
        if self.seconds.len() <= n {
            self.seconds.resize(n + 1, SecondCounts::default());
        }
        &mut self.seconds[n]
    }

    /// Processes a record.
    pub fn feed(&mut self, timed_record: &TimedRecord) {
        self.records += 1;
        self.end = self.end.max(timed_record.at);
        self.begin.get_or_insert(timed_record.at);
        match &timed_record.record {
            Record::Host { machine, name, .. } => {
                drop(self.host_names.insert(*machine, name.clone()))
            }
            Record::RequestReceived { task, class, .. } => {
                if self.open_requests.len() >= MAX_OPEN_REQUESTS {
                    self.open_requests.clear();
                }
                self.open_requests.insert(*task, *class as usize);
                if let Some((_, class)) = self.classes.get_mut(*class as usize) {
                    class.requests += 1;
                }
                self.second_at(timed_record.at).requests += 1;
            }
            Record::Answered {
                task,
                outcome,
                attempts,
                elapsed,
            } => {
                self.handle_answer(timed_record.at, *task, outcome, *attempts, *elapsed);
            }
            Record::Turn(turn) => self.handle_turn(timed_record.at, turn),
            Record::Gap { turns, records, .. } => {
                self.lost_in_gaps = (self.lost_in_gaps.0 + turns, self.lost_in_gaps.1 + records);
            }
            Record::Source(source) => self.current_source = *source,
            Record::Service { .. } | Record::Stopped => {}
        }
    }

    fn handle_answer(
        &mut self,
        at: u64,
        task: u64,
        outcome: &Outcome,
        attempts: u32,
        elapsed: u64,
    ) {
        let class = self.open_requests.remove(&task);
        if let Some((_, class)) = class.and_then(|c| self.classes.get_mut(c)) {
            *class.outcomes.entry(outcome.api_name()).or_default() += 1;
            class.attempts += u64::from(attempts);
            if let Outcome::Rejected { reason, .. } = outcome {
                *class.rejection_reasons.entry(reason.clone()).or_default() += 1;
            }
        }
        let second = self.second_at(at);
        match outcome {
            Outcome::Placed { .. } => second.placed += 1,
            Outcome::Rejected { .. } => second.rejected += 1,
            Outcome::Failed => second.failed += 1,
            Outcome::ClientDisconnected => {}
        }
        if matches!(outcome, Outcome::Placed { .. }) {
            self.placement_times.saturating_record(elapsed.max(1));
        }
    }

    fn handle_turn(&mut self, at: u64, turn: &Turn) {
        self.turns += 1;
        let mut drain_count = 0;
        for event in &turn.events {
            match event {
                Event::EndpointsUpdated { machines, .. } => {
                    for entry in machines {
                        let host = self.hosts.entry(entry.machine.0).or_default();
                        let known_state = self
                            .known_hosts
                            .entry((self.current_source, entry.machine.0))
                            .or_default();
                        let is_ready = entry.state == MachineState::Ready;
                        drain_count += u32::from(!is_ready && known_state.is_ready);
                        if is_ready {
                            known_state.draining_since = None;
                        } else if known_state.is_ready {
                            (known_state.draining_since, host.drains) = (Some(at), host.drains + 1);
                        }
                        known_state.is_ready = is_ready;
                        known_state.started_at = entry.started_at;
                    }
                }
                Event::AttemptAccepted { attempt: id, .. } => {
                    if let Some(host) = self.open_offers.get(&(id.task.0, id.number)) {
                        self.hosts.entry(*host).or_default().accepted += 1;
                    }
                }
                Event::AttemptFinished {
                    attempt: id,
                    result,
                } => {
                    if let Some(host) = self.open_offers.remove(&(id.task.0, id.number)) {
                        let result_name = report_names::attempt_result(result);
                        *self
                            .hosts
                            .entry(host)
                            .or_default()
                            .attempts_by_outcome
                            .entry(result_name)
                            .or_default() += 1;
                        self.record_rejection(at, host, *result);
                    }
                    if result.closes_task {
                        self.attempt_counts.remove(&id.task.0);
                    }
                }
                _ => {}
            }
        }
        if drain_count > 0 {
            self.second_at(at).drains += drain_count;
        }
        for action in &turn.actions {
            match action {
                Action::Offer { task, machine, .. } => {
                    if self.open_offers.len() >= MAX_OPEN_REQUESTS {
                        self.open_offers.clear();
                        self.attempt_counts.clear();
                    }
                    let number = self.attempt_counts.entry(task.0).or_default();
                    self.open_offers.insert((task.0, *number), machine.0);
                    *number += 1;
                    let host = self.hosts.entry(machine.0).or_default();
                    host.offers += 1;
                    let known_state = self.known_hosts.get(&(self.current_source, machine.0));
                    if let Some(since) = known_state.and_then(|state| state.draining_since) {
                        host.offers_after_drain += 1;
                        host.latest_offer_after_drain_us =
                            host.latest_offer_after_drain_us.max(at - since);
                    }
                    self.record_warm_up_offer(at, machine.0);
                    self.second_at(at).offers += 1;
                }
                Action::Blocked { reason, .. } => {
                    let name = report_names::block_reason(*reason).to_owned();
                    *self.blocked.entry(name).or_default() += 1;
                }
                _ => {}
            }
        }
    }

    fn record_rejection(&mut self, at: u64, host: u32, result: AttemptResult) {
        if result.outcome != AttemptOutcome::Rejected {
            return;
        }
        let reason = result
            .reason
            .map_or("not told", report_names::failure_reason)
            .to_owned();
        let step = at.saturating_sub(self.begin.unwrap_or(at)) / 1_000_000 / REJECTION_STEP_S
            * REJECTION_STEP_S;
        let steps = self
            .hosts
            .entry(host)
            .or_default()
            .rejections
            .entry(reason)
            .or_default();
        let step = match steps.last_key_value() {
            Some((&last, _)) if self.rejection_steps >= MAX_REJECTION_STEPS => last,
            _ => step,
        };
        self.rejection_steps += usize::from(!steps.contains_key(&step));
        *steps.entry(step).or_default() += 1;
    }

    /// Counts an offer against the warm-up budget if the host is within its warm-up duration, by the start reported to
    /// this source.
    fn record_warm_up_offer(&mut self, at: u64, host: u32) {
        let Some((rules, _)) = self.rules else { return };
        let key = (self.current_source, host);
        let started = self
            .known_hosts
            .get(&key)
            .and_then(|known_state| known_state.started_at);
        if started.is_none_or(|started| started + rules.warm_up_duration <= at) {
            self.warm_up_windows.remove(&key);
            return;
        }
        let window = self.warm_up_windows.entry(key).or_default();
        window.retain(|&sent| sent + rules.overload_window >= at);
        window.push_back(at);
        let offers_in_window = window.len() as u64;
        let host = self.hosts.entry(host).or_default();
        (host.warm_up_offers, host.max_warm_up_offers) = (
            host.warm_up_offers + 1,
            host.max_warm_up_offers.max(offers_in_window),
        );
    }

    /// The ten consecutive seconds with the smallest share of `placed` answers, among those with at least ten answers:
    /// their start in s, and the share.
    fn worst_ten_seconds(&self) -> Option<(usize, f64)> {
        let windows = self
            .seconds
            .windows(10.min(self.seconds.len().max(1)))
            .enumerate();
        let share = |(at, window): (usize, &[SecondCounts])| {
            let placed: u32 = window.iter().map(|s| s.placed).sum();
            let all: u32 = window
                .iter()
                .map(|s| s.placed + s.rejected + s.failed)
                .sum();
            (all >= 10).then(|| (at, f64::from(placed) / f64::from(all)))
        };
        windows.filter_map(share).min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// The counts of each second since the first record.
    pub fn seconds(&self) -> &[SecondCounts] {
        &self.seconds
    }
}
