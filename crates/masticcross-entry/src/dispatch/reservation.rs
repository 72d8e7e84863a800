//! Reservations for the tasks of jobs that passed the admission check and are being admitted.

use std::collections::VecDeque;
use std::time::Duration;

use masticcross_basics::{JobKey, Name};
use rustc_hash::FxHashMap;
use tokio::time::Instant;

/// Time after which the reservation of a job expires if its tasks were not queued.
const RESERVATION_TTL: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct Reservation {
    team: Name,
    tasks: u32,
    expires: Instant,
}

/// Reservations of one service.
#[derive(Debug, Default)]
pub struct Reservations {
    by_job: FxHashMap<JobKey, Reservation>,
    by_expiry: VecDeque<(Instant, JobKey)>,
    tasks: u32,
}

impl Reservations {
    /// Returns the number of reserved tasks.
    #[must_use]
    pub fn tasks(&self) -> u32 {
        self.tasks
    }

    /// Returns true if the job has a reservation.
    #[must_use]
    pub fn contains(&self, key: &JobKey) -> bool {
        self.by_job.contains_key(key)
    }

    /// Adds a reservation for the tasks of a job.
    pub fn add(&mut self, key: &JobKey, team: &Name, tasks: u32, now: Instant) {
        let expires = now + RESERVATION_TTL;
        let reservation = Reservation {
            team: team.clone(),
            tasks,
            expires,
        };
        self.by_job.insert(key.clone(), reservation);
        self.by_expiry.push_back((expires, key.clone()));
        self.tasks += tasks;
    }

    /// Uses the reservation of one task. Returns false if the job has none left.
    pub fn use_one(&mut self, key: &JobKey) -> bool {
        let Some(reservation) = self.by_job.get_mut(key) else {
            return false;
        };
        reservation.tasks -= 1;
        self.tasks -= 1;
        if reservation.tasks == 0 {
            self.by_job.remove(key);
        }
        true
    }

    /// Removes the reservation of a job, and returns its team and the number of unused tasks.
    pub fn cancel(&mut self, key: &JobKey) -> Option<(Name, u32)> {
        let reservation = self.by_job.remove(key)?;
        self.tasks -= reservation.tasks;
        Some((reservation.team, reservation.tasks))
    }

    /// Removes the expired reservations, and returns their teams and numbers of unused tasks.
    pub fn expire(&mut self, now: Instant) -> Vec<(Name, u32)> {
        let mut expired = Vec::new();
        while let Some((_, key)) = self.by_expiry.pop_front_if(|(expires, _)| *expires <= now) {
            let current = self.by_job.get(&key).map(|r| r.expires);
            if current.is_some_and(|expires| expires <= now) {
                expired.extend(self.cancel(&key));
            }
        }
        expired
    }
}
