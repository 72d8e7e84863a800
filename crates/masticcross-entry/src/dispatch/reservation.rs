//! Tasks of jobs that passed the check and whose admission is under way.

use std::collections::VecDeque;
use std::time::Duration;

use masticcross_basics::{JobKey, Name};
use rustc_hash::FxHashMap;
use tokio::time::Instant;

/// Time after which a job whose tasks were not queued counts as given up.
const RESERVATION_TIME: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct Reservation {
    team: Name,
    tasks: u32,
    expires: Instant,
}

/// Reserved tasks of one service.
#[derive(Debug, Default)]
pub struct Reservations {
    by_job: FxHashMap<JobKey, Reservation>,
    by_age: VecDeque<(Instant, JobKey)>,
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

    /// Reserves tasks of a job.
    pub fn add(&mut self, key: &JobKey, team: &Name, tasks: u32, now: Instant) {
        let expires = now + RESERVATION_TIME;
        let reservation = Reservation {
            team: team.clone(),
            tasks,
            expires,
        };
        self.by_job.insert(key.clone(), reservation);
        self.by_age.push_back((expires, key.clone()));
        self.tasks += tasks;
    }

    /// Uses one reserved task. Returns false if none is left.
    pub fn take_one(&mut self, key: &JobKey) -> bool {
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

    /// Takes out the reservation of a job. Returns its team and the tasks left.
    pub fn cancel(&mut self, key: &JobKey) -> Option<(Name, u32)> {
        let reservation = self.by_job.remove(key)?;
        self.tasks -= reservation.tasks;
        Some((reservation.team, reservation.tasks))
    }

    /// Takes out the reservations that are too old. Returns their teams and tasks.
    pub fn expire(&mut self, now: Instant) -> Vec<(Name, u32)> {
        let mut expired = Vec::new();
        while let Some((_, key)) = self.by_age.pop_front_if(|(expires, _)| *expires <= now) {
            let current = self.by_job.get(&key).map(|r| r.expires);
            if current.is_some_and(|expires| expires <= now) {
                expired.extend(self.cancel(&key));
            }
        }
        expired
    }
}
