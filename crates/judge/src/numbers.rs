//! Numbers that placers lease. Rule 4 rests on them: a placer without one has no part of a cold host's budget. Seen
//! from the locks that the catalogue's leader took in and from what reached the hosts, never from what placers say of
//! themselves.

use std::collections::{BTreeMap, BTreeSet};

use crate::judge::{Judge, Name};
use crate::record::Seen;

/// What a placer's present life has.
#[derive(Clone, Copy)]
enum Lock {
    Held,
    /// Let go of by the end of its session: nobody else gets it before then.
    Ended(u64),
}

/// A number that nobody holds.
struct Free {
    /// It can be locked from then on.
    from: u64,
    /// How long enough placers have wanted one since.
    waited: u64,
}

/// Who holds what.
#[derive(Default)]
pub(crate) struct Numbers {
    leased: bool,
    placers: BTreeSet<Name>,
    /// Down, or made to stand still.
    away: BTreeSet<Name>,
    locks: BTreeMap<Name, (Name, Lock)>,
    free: BTreeMap<Name, Free>,
    no_leader_until: u64,
    looked: u64,
}

impl Numbers {
    fn holds(&self, placer: &Name) -> bool {
        self.locks
            .get(placer)
            .is_some_and(|(_, lock)| matches!(lock, Lock::Held))
    }

    /// Lets time go by: a free number waits while there is a leader, and a placer without one for each that is free.
    fn advance(&mut self, now: u64) {
        let wanting = self
            .placers
            .iter()
            .filter(|p| !self.away.contains(*p) && !self.holds(p))
            .count();
        let open = self.free.values().filter(|f| f.from <= now).count();
        if wanting >= open {
            for free in self.free.values_mut() {
                let since = self.looked.max(free.from).max(self.no_leader_until);
                free.waited += now.saturating_sub(since);
            }
        }
        self.looked = now;
    }
}

impl Judge<'_> {
    pub(crate) fn number_seen(&mut self, seen: &Seen) {
        let at = self.at;
        self.numbers.advance(at);
        let numbers = &mut self.numbers;
        match seen {
            Seen::NumberLocked { number, placer } => {
                numbers.leased = true;
                let other = numbers.locks.iter().find(|(p, (n, lock))| {
                    let out = match lock {
                        Lock::Held => true,
                        Lock::Ended(until) => at < *until,
                    };
                    n == number && *p != placer && out
                });
                let other = other.map(|(p, _)| p.clone());
                numbers
                    .locks
                    .insert(placer.clone(), (number.clone(), Lock::Held));
                if let Some(free) = numbers.free.remove(number) {
                    self.verdict.number_waits.push(free.waited);
                }
                if let Some(other) = other {
                    let what = format!("{placer} locked number {number}, which {other} still held");
                    self.broken(4, what, vec![self.number]);
                }
            }
            Seen::NumberFree { number, after_us } => {
                let until = at + after_us;
                for (n, lock) in numbers.locks.values_mut() {
                    if n == number && matches!(lock, Lock::Held) {
                        *lock = Lock::Ended(until);
                    }
                }
                numbers.free.insert(
                    number.clone(),
                    Free {
                        from: until,
                        waited: 0,
                    },
                );
            }
            Seen::NoLeader { for_us } => numbers.no_leader_until = at + for_us,
            Seen::PlacerUp { placer } => {
                numbers.placers.insert(placer.clone());
                numbers.away.remove(placer);
            }
            Seen::PlacerDown { placer } => {
                // Its next life has to lock a number of its own.
                numbers.locks.remove(placer);
                numbers.away.insert(placer.clone());
            }
            Seen::PlacerPaused { placer } => drop(numbers.away.insert(placer.clone())),
            Seen::PlacerGoesOn { placer } => drop(numbers.away.remove(placer)),
            _ => {}
        }
    }

    /// A cold host got an offer: only those who hold a number may send one.
    pub(crate) fn number_needed(&mut self, placer: &Name, host: &Name) {
        if !self.numbers.leased {
            return;
        }
        let why = match self.numbers.locks.get(placer) {
            Some((_, Lock::Held)) => return,
            Some((_, Lock::Ended(until))) if self.at < *until => return,
            Some((number, Lock::Ended(_))) => format!("whose number {number} was let go of"),
            None => "which holds no number".to_owned(),
        };
        self.broken(
            4,
            format!("cold {host} was offered a task by {placer}, {why}"),
            vec![self.number],
        );
    }

    /// The day is over: what is still free has waited at least so long.
    pub(crate) fn close_numbers(&mut self, end: u64) {
        self.numbers.advance(end);
        let waited = self
            .numbers
            .free
            .values()
            .map(|f| f.waited)
            .filter(|&w| w > 0);
        self.verdict.number_waits.extend(waited);
        self.verdict.number_waits.sort_unstable();
    }
}
