//! Days of the two users, in small.

use std::str::FromStr;
use std::time::Duration;

use thiserror::Error;

use super::arrivals::Phase;
use super::mix::{Deployment, Mix, Span, weighted};

/// The text is no day.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0:?} is no day; accepted are calm, burst and advisory")]
pub struct DayError(String);

/// Result of reading a day.
pub type Result<T> = std::result::Result<T, DayError>;

/// A kind of day.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Day {
    /// Steady arrivals at a third of the capacity.
    Calm,
    /// Ten times as many arrivals for two seconds.
    Burst,
    /// Many large jobs at once, then twice the usual arrivals for a while.
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

/// Returns the phases of a day of a minute, for ten workers with eight slots each.
#[must_use]
pub fn phases(day: Day, deployment: Deployment) -> Vec<Phase> {
    let mix = Mix::preset(deployment);
    let usual = match deployment {
        Deployment::Guild => 5.0,
        Deployment::JalSeva => 2.0,
    };
    let phase = |seconds, factor: f64, mix: &Mix| Phase {
        length: Duration::from_secs(seconds),
        jobs_per_second: usual * factor,
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
            phase(5, 4.0, &large(&mix)),
            phase(20, 2.0, &mix),
            phase(20, 1.0, &mix),
        ],
    }
}

/// Returns a mix with large jobs only.
fn large(mix: &Mix) -> Mix {
    Mix {
        sizes: weighted([(1.0, 21..=130)], Span::new),
        ..mix.clone()
    }
}
