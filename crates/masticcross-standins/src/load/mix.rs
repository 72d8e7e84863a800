//! Job mixes: distributions of sizes, run times and teams.

use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use masticcross_basics::Name;
use rand::Rng;
use rand::rngs::SmallRng;
use thiserror::Error;

/// Why a flag of the mix is not valid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum MixError {
    /// The text is not a range.
    #[error("{0:?} is not a range; expected a number, or MIN-MAX with MIN at most MAX")]
    Range(String),
    /// The text does not name a deployment.
    #[error("unknown deployment {0:?}; the deployments are guild and jal-seva")]
    Deployment(String),
}

/// Result of parsing a flag.
pub type Result<T> = std::result::Result<T, MixError>;

/// A deployment whose workload is generated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Deployment {
    /// The Guild: `quote-desk`.
    #[default]
    Guild,
    /// Sabarmati Jal Seva: `patchbot`.
    JalSeva,
}

impl FromStr for Deployment {
    type Err = MixError;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "guild" => Ok(Self::Guild),
            "jal-seva" => Ok(Self::JalSeva),
            other => Err(MixError::Deployment(other.to_owned())),
        }
    }
}

/// An inclusive range of numbers, written as `5` or `1-130`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    /// Smallest number.
    pub min: u32,
    /// Largest number.
    pub max: u32,
}

impl Span {
    /// Creates a range.
    #[must_use]
    pub const fn new(range: RangeInclusive<u32>) -> Self {
        Self {
            min: *range.start(),
            max: *range.end(),
        }
    }

    /// Draws a uniformly distributed number.
    fn draw_uniform(self, rng: &mut SmallRng) -> u32 {
        rng.random_range(self.min..=self.max)
    }

    /// Draws a number whose logarithm is uniformly distributed.
    fn draw_log_uniform(self, rng: &mut SmallRng) -> u32 {
        let (low, high) = (f64::from(self.min.max(1)), f64::from(self.max.max(1)));
        let drawn = low * (high / low).powf(rng.random::<f64>());
        // The cast saturates, and the result is clamped to bounds of the same type.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let rounded = drawn.round() as u32;
        rounded.clamp(self.min, self.max)
    }
}

impl FromStr for Span {
    type Err = MixError;

    fn from_str(text: &str) -> Result<Self> {
        let (min, max) = text.split_once('-').unwrap_or((text, text));
        match (min.parse(), max.parse()) {
            (Ok(min), Ok(max)) if min <= max => Ok(Self { min, max }),
            _ => Err(MixError::Range(text.to_owned())),
        }
    }
}

/// A weighted choice.
#[derive(Debug, Clone, PartialEq)]
pub struct Weighted<T> {
    /// Weight relative to the other choices.
    pub weight: f64,
    /// The choice.
    pub value: T,
}

/// Distribution of generated jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct Mix {
    /// Service that runs the jobs.
    pub service: Name,
    /// Teams that submit jobs.
    pub teams: Vec<Weighted<Name>>,
    /// Number of tasks in a job.
    pub sizes: Vec<Weighted<Span>>,
    /// Run time of a task, in milliseconds.
    pub run_ms: Vec<Weighted<Span>>,
    /// Share of jobs that must run at most once.
    pub not_repeatable: f64,
    /// Time allowed for a job.
    pub deadline: Duration,
}

impl Mix {
    /// Returns the mix of a deployment.
    #[must_use]
    pub fn preset(deployment: Deployment) -> Self {
        match deployment {
            Deployment::Guild => Self::guild(),
            Deployment::JalSeva => Self::jal_seva(),
        }
    }

    fn guild() -> Self {
        Self {
            service: Name::from("quote-desk"),
            teams: weighted(
                [(4.0, "desk"), (2.0, "menus"), (2.0, "staffing")],
                Name::from,
            ),
            sizes: weighted(
                [
                    (20.0, 1..=1),
                    (50.0, 2..=8),
                    (25.0, 9..=40),
                    (5.0, 41..=130),
                ],
                Span::new,
            ),
            run_ms: weighted([(98.0, 50..=1000), (2.0, 2000..=5000)], Span::new),
            not_repeatable: 0.1,
            deadline: Duration::from_secs(10),
        }
    }

    fn jal_seva() -> Self {
        Self {
            service: Name::from("patchbot"),
            teams: weighted(
                [(4.0, "engineers"), (2.0, "vendor-desk"), (1.0, "bot")],
                Name::from,
            ),
            sizes: weighted([(30.0, 1..=3), (40.0, 4..=20), (30.0, 21..=130)], Span::new),
            run_ms: weighted([(97.0, 50..=1000), (3.0, 2000..=8000)], Span::new),
            not_repeatable: 0.1,
            deadline: Duration::from_secs(20),
        }
    }

    /// Draws the run times of the tasks of a job.
    pub fn draw_tasks(&self, rng: &mut SmallRng) -> Vec<u32> {
        let size = choose(&self.sizes, rng).map_or(1, |span| span.draw_uniform(rng));
        (0..size).map(|_| self.draw_run_ms(rng)).collect()
    }

    /// Draws a team.
    pub fn draw_team(&self, rng: &mut SmallRng) -> Name {
        choose(&self.teams, rng).map_or_else(|| Name::from(""), Name::clone)
    }

    fn draw_run_ms(&self, rng: &mut SmallRng) -> u32 {
        choose(&self.run_ms, rng).map_or(0, |span| span.draw_log_uniform(rng))
    }
}

/// Creates weighted choices from pairs of a weight and an input that `make` turns into a value.
pub fn weighted<T, U>(
    choices: impl IntoIterator<Item = (f64, U)>,
    make: impl Fn(U) -> T,
) -> Vec<Weighted<T>> {
    let choice = |(weight, value)| Weighted {
        weight,
        value: make(value),
    };
    choices.into_iter().map(choice).collect()
}

fn choose<'a, T>(choices: &'a [Weighted<T>], rng: &mut SmallRng) -> Option<&'a T> {
    let total: f64 = choices.iter().map(|choice| choice.weight).sum();
    let mut remaining = rng.random::<f64>() * total;
    for choice in choices {
        remaining -= choice.weight;
        if remaining < 0.0 {
            return Some(&choice.value);
        }
    }
    choices.last().map(|choice| &choice.value)
}
