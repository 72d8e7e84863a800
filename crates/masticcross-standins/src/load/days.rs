//! Predefined workloads: a day of each deployment, scaled down to a minute.

use std::str::FromStr;
use std::time::Duration;

use thiserror::Error;

use super::arrivals::Phase;
use super::mix::{Deployment, Mix, Span, weighted};

/// The text does not name a day.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("unknown day {0:?}; the days are calm, burst and advisory")]
pub struct DayError(String);

/// Result of parsing a day.
pub type Result<T> = std::result::Result<T, DayError>;

/// A predefined workload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Day {
    /// Steady arrivals at a third of the capacity.
    Calm,
    /// Steady arrivals, with ten times the rate for two seconds.
    Burst,
    /// A burst of large jobs, then twice the base rate for a while.
    Advisory,
}

impl FromStr for Day {
    type Err = DayError;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "calm" => Ok(Self::Calm),
            "burst" => Ok(Self::Burst),
            "advisory" => Ok(Self::Advisory),
            other => Err(DayError(other.to_owned())),
        }
    }
}

/// Returns the phases of a day, which last a minute and suit ten workers with eight slots each.
#[must_use]
pub fn phases(day: Day, deployment: Deployment) -> Vec<Phase> {
    let mix = Mix::preset(deployment);
    let base_rate = match deployment {
        Deployment::Guild => 5.0,
        Deployment::JalSeva => 2.0,
    };
    let phase = |seconds, factor: f64, mix: &Mix| Phase {
        duration: Duration::from_secs(seconds),
        jobs_per_second: base_rate * factor,
        mix: mix.clone(),
    };
    match day {
        Day::Calm => vec![phase(60, 1.0, &mix)],
        Day::Burst => vec![
            phase(20, 1.0, &mix),
            phase(2, 10.0, &mix),
            phase(38, 1.0, &mix),
        ],
        Day::Advisory => vec![
            phase(15, 1.0, &mix),
            phase(5, 4.0, &large_jobs_only(&mix)),
            phase(20, 2.0, &mix),
            phase(20, 1.0, &mix),
        ],
    }
}

/// Returns the mix with its job sizes replaced by large ones.
fn large_jobs_only(mix: &Mix) -> Mix {
    Mix {
        sizes: weighted([(1.0, 21..=130)], Span::new),
        ..mix.clone()
    }
}
