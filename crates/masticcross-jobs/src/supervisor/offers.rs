//! Division of a worker's free resources among the entries whose work waits for them.
//!
//! It answers the load of several entries that together bring more work than the worker can do and
//! that react at different speeds: without it the entry that reacts first gets what becomes free.
//! Free CPU is offered to one entry at a time and reserved for it for [`OFFER_TIME`]. The agent still
//! decides what fits when a run request arrives.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use masticcross_wire::pool::{PriorityDemand, RoomDemand, RunRequest};
use smallvec::SmallVec;
use tokio::time::Instant;

use super::clients::ClientId;

/// How long demand counts after its arrival. Entries repeat it every 150 ms while work waits.
const DEMAND_TIME: Duration = Duration::from_millis(300);

/// How long an offer is reserved. When it expires, the same entry may be next again, as its request may be on
/// the way: passing it over once, or dropping its demand, brought fewer jobs in time.
const OFFER_TIME: Duration = Duration::from_millis(30);

/// Number of unused offers in a row after which an entry is asked last.
const MAX_UNUSED: u32 = 3;

/// How long an entry is asked last.
const ASKED_LAST_TIME: Duration = Duration::from_millis(300);

/// Time without demand after which a worker no longer counts as in demand.
const RELIEF_TIME: Duration = Duration::from_secs(1);

/// How long the account of an entry without demand is kept.
const MEMORY: Duration = Duration::from_secs(10);

/// Largest lead of an entry over the others, in microseconds of the work that arrives at it. A single long
/// run of an entry with little work excludes the entry for no longer.
const MAX_LEAD_US: u64 = 10_000_000;

/// Number of priorities for which accounts are kept, the most urgent ones.
const MAX_ACCOUNTS: usize = 16;

/// CPU that is reserved for an entry.
#[derive(Debug, Clone)]
struct Offer {
    client: ClientId,
    priority: u32,
    cpu: u64,
    task_cpu: u64,
    used: bool,
    until: Instant,
}

/// What an entry got of one priority.
#[derive(Debug, Clone, Copy, Default)]
struct Account {
    /// CPU time of started runs relative to the CPU that the arriving work takes, in microseconds.
    served_us: u64,
    /// Expected run time of the last started run, in milliseconds.
    last_run_ms: u64,
    /// CPU that the arriving work takes, as told last, in thousandths of a core.
    arriving_cpu: u64,
}

/// What an entry asked for, and what it got.
#[derive(Debug, Default)]
struct Asking {
    demand: SmallVec<[PriorityDemand; RoomDemand::MAX_PRIORITIES]>,
    received_at: Option<Instant>,
    accounts: BTreeMap<u32, Account>,
    unused_in_row: u32,
    last_until: Option<Instant>,
}

impl Asking {
    /// Returns true if the demand of a priority still counts.
    fn counts(&self, demand: &PriorityDemand, now: Instant) -> bool {
        let latest_start = Duration::from_millis(demand.latest_start_ms.into());
        self.received_at
            .is_some_and(|at| now.saturating_duration_since(at) < DEMAND_TIME.min(latest_start))
    }

    /// Adds a started run to the account of its priority. `least` is what the entry that is served next
    /// got: an entry gets nothing for the time in which it did not ask.
    fn charge(&mut self, request: &RunRequest, least: u64) {
        let Some(account) = self.accounts.get_mut(&request.priority) else {
            return;
        };
        let run_ms = u64::from(request.expected_ms);
        let got = relative_us(request.resources.cpu, run_ms, account.arriving_cpu);
        let total = account.served_us.max(least).saturating_add(got);
        account.served_us = total.min(least.saturating_add(MAX_LEAD_US));
        account.last_run_ms = run_ms;
    }

    /// Replaces the demand, and opens the accounts of its priorities.
    fn set_demand(&mut self, demand: impl Iterator<Item = PriorityDemand>, now: Instant) {
        self.demand = demand.collect();
        self.received_at = Some(now);
        for demand in &self.demand {
            let account = self.accounts.entry(demand.priority).or_default();
            account.arriving_cpu = demand.arriving_cpu;
        }
        while self.accounts.len() > MAX_ACCOUNTS {
            self.accounts.pop_last();
        }
    }

    /// Returns what the entry got of a priority, with what it is offered.
    fn served_us(&self, demand: &PriorityDemand, offered: u64) -> u64 {
        let account = self
            .accounts
            .get(&demand.priority)
            .copied()
            .unwrap_or_default();
        let offered = relative_us(offered, account.last_run_ms, demand.arriving_cpu);
        account.served_us.saturating_add(offered)
    }

    fn cpu(&self, now: Instant) -> u64 {
        let current = self.demand.iter().filter(|d| self.counts(d, now));
        current.map(|d| d.cpu).fold(0, u64::saturating_add)
    }

    fn is_asked_last(&self, now: Instant) -> bool {
        self.last_until.is_some_and(|until| now < until)
    }
}

/// Returns CPU time relative to the CPU that arriving work takes, in microseconds.
fn relative_us(cpu: u64, run_ms: u64, arriving_cpu: u64) -> u64 {
    cpu.saturating_mul(run_ms).saturating_mul(1_000) / arriving_cpu.max(1)
}

/// Key by which entries are compared, smallest first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    asked_last: bool,
    priority: u32,
    served_us: u64,
    client: ClientId,
}

/// Numbers for metrics and log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OfferCounts {
    /// Demand that counts now, in thousandths of a core.
    pub demand_cpu: u64,
    /// Offers made since the agent started.
    pub made: u64,
    /// Offers that expired without a run.
    pub unused: u64,
}

/// The demand of entries, and the offers that are reserved for them.
#[derive(Debug, Default)]
pub struct Offers {
    asking: BTreeMap<ClientId, Asking>,
    open: Vec<Offer>,
    /// What the entry that was offered resources last got before, by priority.
    least_served: BTreeMap<u32, u64>,
    /// Entries whose offers changed since the last call of [`Self::take_changed`].
    changed: BTreeSet<ClientId>,
    made: u64,
    unused: u64,
    /// When demand was last seen, while the worker is in demand.
    in_demand_at: Option<Instant>,
}

impl Offers {
    /// Applies the demand of an entry for a worker with the given CPU.
    pub fn asked(&mut self, client: &ClientId, demand: &RoomDemand, capacity: u64, now: Instant) {
        let possible = |d: &&PriorityDemand| d.cpu > 0 && d.task_cpu <= capacity;
        let limited = |d: &PriorityDemand| PriorityDemand {
            cpu: d.cpu.min(capacity),
            arriving_cpu: d.arriving_cpu.min(capacity),
            task_cpu: d.task_cpu.max(1),
            ..*d
        };
        let priorities = demand.priorities.iter().take(RoomDemand::MAX_PRIORITIES);
        let asking = self.asking.entry(client.clone()).or_default();
        asking.set_demand(priorities.filter(possible).map(limited), now);
    }

    /// Removes the demand and the offers of an entry.
    pub fn forget(&mut self, client: &ClientId) {
        self.asking.remove(client);
        self.open.retain(|offer| offer.client != *client);
        self.changed.remove(client);
    }

    /// Records that a run of an entry was started.
    pub fn started(&mut self, client: &ClientId, request: &RunRequest) {
        let Some(asking) = self.asking.get_mut(client) else {
            return;
        };
        let (priority, cpu) = (request.priority, request.resources.cpu);
        let least = self.least_served.get(&priority).copied().unwrap_or(0);
        asking.charge(request, least);
        let same = |d: &&mut PriorityDemand| d.priority == priority;
        if let Some(demand) = asking.demand.iter_mut().find(same) {
            demand.cpu = demand.cpu.saturating_sub(cpu);
        }
        let mut rest = cpu;
        for offer in self.open.iter_mut().filter(|o| o.client == *client) {
            let taken = rest.min(offer.cpu);
            offer.cpu -= taken;
            rest -= taken;
            if taken > 0 {
                offer.used = true;
                asking.unused_in_row = 0;
            }
        }
        // The rest is too small for a further task of the entry.
        self.open.retain(|o| !o.used || o.cpu >= o.task_cpu);
    }

    /// Returns the CPU that a run of an entry must leave to others, in thousandths of a core: that of
    /// offers which are at least as urgent.
    #[must_use]
    pub fn reserved_from(&self, client: &ClientId, priority: u32) -> u64 {
        let others = |o: &&Offer| o.client != *client && o.priority <= priority;
        let cpu = self.open.iter().filter(others).map(|o| o.cpu);
        cpu.fold(0, u64::saturating_add)
    }

    /// Takes back expired offers and those that no longer fit into the free CPU, and offers what is
    /// not reserved, most urgent demand first.
    pub fn divide(&mut self, free: u64, may_get: impl Fn(&ClientId) -> bool, now: Instant) {
        if self.asking.is_empty() {
            return;
        }
        self.note_demand(now);
        self.expire(now);
        self.withdraw_beyond(free);
        while let Some((turn, demand)) = self.next(free, &may_get, now) {
            let asked = demand.cpu.max(demand.task_cpu);
            let cpu = asked.min(free - self.reserved());
            log::debug!(
                entry:% = turn.client.name, cpu, priority = turn.priority, demand_cpu = demand.cpu,
                task_cpu = demand.task_cpu, served_us = turn.served_us, arriving_cpu = demand.arriving_cpu, asked_last = turn.asked_last, free;
                "free resources offered"
            );
            self.made += 1;
            if !turn.asked_last {
                self.least_served.insert(turn.priority, turn.served_us);
                if self.least_served.len() > MAX_ACCOUNTS {
                    self.least_served.pop_last();
                }
            }
            self.changed.insert(turn.client.clone());
            self.open.push(Offer {
                client: turn.client,
                priority: turn.priority,
                cpu,
                task_cpu: demand.task_cpu,
                used: false,
                until: now + OFFER_TIME,
            });
        }
    }

    /// Returns and clears the entries whose offers changed.
    pub fn take_changed(&mut self) -> BTreeSet<ClientId> {
        std::mem::take(&mut self.changed)
    }

    /// Returns the counts for metrics.
    #[must_use]
    pub fn counts(&self, now: Instant) -> OfferCounts {
        let demand = self.asking.values().map(|asking| asking.cpu(now));
        OfferCounts {
            demand_cpu: demand.fold(0, u64::saturating_add),
            made: self.made,
            unused: self.unused,
        }
    }

    /// Logs when the worker comes into demand and when that ends.
    fn note_demand(&mut self, now: Instant) {
        let counts = self.counts(now);
        if counts.demand_cpu > 0 {
            if self.in_demand_at.replace(now).is_none() {
                let entries = self.asking.len();
                log::info!(demand_cpu = counts.demand_cpu, entries; "work waits for this worker");
            }
        } else if self
            .in_demand_at
            .is_some_and(|at| now.saturating_duration_since(at) >= RELIEF_TIME)
        {
            self.in_demand_at = None;
            log::info!(offers = counts.made, unused = counts.unused; "no work waits for this worker");
        }
    }

    fn reserved(&self) -> u64 {
        let cpu = self.open.iter().map(|offer| offer.cpu);
        cpu.fold(0, u64::saturating_add)
    }

    /// Returns the entry that gets the next offer, and its demand less what it is offered already.
    fn next(
        &self,
        free: u64,
        may_get: impl Fn(&ClientId) -> bool,
        now: Instant,
    ) -> Option<(Turn, PriorityDemand)> {
        let unreserved = free.saturating_sub(self.reserved());
        if unreserved == 0 {
            return None;
        }
        let mut best: Option<(Turn, PriorityDemand)> = None;
        for (client, asking) in self.asking.iter().filter(|(client, _)| may_get(client)) {
            for demand in asking.demand.iter().filter(|d| asking.counts(d, now)) {
                let offered = self.offered(client, demand.priority);
                let cpu = demand.cpu.saturating_sub(offered);
                if cpu == 0 || demand.task_cpu > unreserved {
                    continue;
                }
                let least = self
                    .least_served
                    .get(&demand.priority)
                    .copied()
                    .unwrap_or(0);
                let turn = Turn {
                    asked_last: asking.is_asked_last(now),
                    priority: demand.priority,
                    served_us: asking.served_us(demand, offered).max(least),
                    client: client.clone(),
                };
                if best.as_ref().is_none_or(|(first, _)| turn < *first) {
                    best = Some((turn, PriorityDemand { cpu, ..*demand }));
                }
            }
        }
        best
    }

    fn offered(&self, client: &ClientId, priority: u32) -> u64 {
        let same = |o: &&Offer| o.client == *client && o.priority == priority;
        let cpu = self.open.iter().filter(same).map(|o| o.cpu);
        cpu.fold(0, u64::saturating_add)
    }

    /// Takes back expired offers.
    fn expire(&mut self, now: Instant) {
        let expired: Vec<Offer> = self.open.extract_if(.., |o| o.until <= now).collect();
        for offer in expired {
            if !offer.used {
                self.unused += 1;
                self.record_unused(&offer, now);
            }
            self.changed.insert(offer.client);
        }
        let (asking, open) = (&mut self.asking, &self.open);
        asking.retain(|client, asking| {
            let is_recent = |at: Instant| now.saturating_duration_since(at) < MEMORY;
            asking.received_at.is_some_and(is_recent) || open.iter().any(|o| o.client == *client)
        });
    }

    fn record_unused(&mut self, offer: &Offer, now: Instant) {
        let Some(asking) = self.asking.get_mut(&offer.client) else {
            return;
        };
        asking.unused_in_row += 1;
        log::debug!(entry:% = offer.client.name, cpu = offer.cpu, in_row = asking.unused_in_row; "offer not used");
        if asking.unused_in_row >= MAX_UNUSED {
            asking.unused_in_row = 0;
            let until = asking.last_until.replace(now + ASKED_LAST_TIME);
            if until.is_none_or(|until| now.saturating_duration_since(until) >= RELIEF_TIME) {
                log::info!(entry:% = offer.client.name; "entry does not use offers; it is asked last");
            }
        }
    }

    /// Takes back offers, least urgent and newest first, until the rest fits into the free CPU.
    fn withdraw_beyond(&mut self, free: u64) {
        while self.reserved() > free {
            let last = self
                .open
                .iter()
                .enumerate()
                .max_by_key(|(index, offer)| (offer.priority, *index));
            let Some(index) = last.map(|(index, _)| index) else {
                return;
            };
            let offer = self.open.remove(index);
            self.changed.insert(offer.client);
        }
    }
}
