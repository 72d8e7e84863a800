//! Command-line flags of the load generator.

use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;
use http::uri::Authority;
use masticcross_basics::name::{NameError, check_job_id, check_name};

use super::arrivals::{Phase, Plan};
use super::days::{Day, phases};
use super::mix::{Deployment, Mix, Span, Weighted, weighted};

const INVALID_ADDRESS: &str = "expected a host and a port, such as 127.0.0.1:8080";
const INVALID_RATE: &str = "expected a number above 0 and at most 100000";
const INVALID_DURATION: &str = "expected a number of seconds above 0 and at most 86400";
const INVALID_TASKS: &str = "expected 1 to 1000 tasks";
const INVALID_SHARE: &str = "expected a number from 0 to 1";
const INVALID_DEADLINE: &str = "expected 1 to 3600000 milliseconds";
const INVALID_CONNECTIONS: &str = "expected 1 to 20000 connections";
const INVALID_PREFIX: &str = "expected a valid job id of at most 64 characters";

/// Longest accepted prefix, in bytes; the limit leaves space for the rest of a job id.
const MAX_PREFIX_BYTES: usize = 64;

/// Sends jobs and reports what callers see
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(load_args))]
pub struct LoadArgs {
    /// Host and port of an entry; may be repeated
    #[bpaf(long, argument("ADDRESS"), guard(|text| is_address(text), INVALID_ADDRESS), many)]
    pub entry: Vec<String>,
    /// Host and port of a backend server that is asked for its starts at the end; may be repeated
    #[bpaf(long, argument("ADDRESS"), guard(|text| is_address(text), INVALID_ADDRESS), many)]
    pub backend: Vec<String>,
    /// User whose mix of jobs is sent: guild or jal-seva
    #[bpaf(long, argument("USER"), fallback(Deployment::Guild))]
    pub deployment: Deployment,
    /// Day of that user to send in a minute: calm, burst or advisory
    #[bpaf(long, argument("DAY"))]
    pub day: Option<Day>,
    /// Jobs a second
    #[bpaf(
        long,
        argument("COUNT"),
        guard(|value| is_rate(*value), INVALID_RATE),
        fallback(5.0),
        display_fallback
    )]
    pub rate: f64,
    /// Time during which jobs are sent, in seconds
    #[bpaf(
        long("duration-s"),
        argument("S"),
        guard(|value| is_duration(*value), INVALID_DURATION),
        fallback(10.0),
        display_fallback
    )]
    pub duration_s: f64,
    /// Tasks in a job, as MIN-MAX, in place of the user's mix
    #[bpaf(long, argument("RANGE"), guard(|value| is_task_count(*value), INVALID_TASKS), optional)]
    pub tasks: Option<Span>,
    /// Run time of a task in milliseconds, as MIN-MAX, in place of the user's mix
    #[bpaf(long("task-ms"), argument("RANGE"))]
    pub task_ms: Option<Span>,
    /// Service, in place of the user's
    #[bpaf(long, argument("SERVICE"))]
    pub service: Option<String>,
    /// Team, in place of the user's; may be repeated
    #[bpaf(long, argument("TEAM"), many)]
    pub team: Vec<String>,
    /// Share of jobs that must run at most once, from 0 to 1
    #[bpaf(
        long("not-repeatable"),
        argument("SHARE"),
        guard(|value| is_share(*value), INVALID_SHARE),
        optional
    )]
    pub not_repeatable: Option<f64>,
    /// Time allowed for a job in milliseconds, in place of the user's
    #[bpaf(
        long("deadline-ms"),
        argument("MS"),
        guard(|value| is_deadline(*value), INVALID_DEADLINE),
        optional
    )]
    pub deadline_ms: Option<u64>,
    /// Share of jobs submitted a second time through another entry, from 0 to 1
    #[bpaf(
        long,
        argument("SHARE"),
        guard(|value| is_share(*value), INVALID_SHARE),
        fallback(0.0),
        display_fallback
    )]
    pub resubmit: f64,
    /// Seed of all that is drawn
    #[bpaf(long, argument("SEED"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Begin of all job ids; differs from run to run unless given
    #[bpaf(long, argument("TEXT"), guard(|text| is_prefix(text), INVALID_PREFIX), optional)]
    pub prefix: Option<String>,
    /// Requests in progress at once; further ones are sent later than due
    #[bpaf(
        long,
        argument("COUNT"),
        guard(|value| is_connection_count(*value), INVALID_CONNECTIONS),
        fallback(1000),
        display_fallback
    )]
    pub connections: usize,
    /// File of recorded submissions to send in place of drawn ones
    #[bpaf(long, argument("FILE"))]
    pub trace: Option<PathBuf>,
    /// File to write the submissions to; nothing is sent
    #[bpaf(long("write-trace"), argument("FILE"))]
    pub write_trace: Option<PathBuf>,
    /// File to write the report to, as JSON
    #[bpaf(long, argument("FILE"))]
    pub json: Option<PathBuf>,
    /// Fail if an answer or a start broke a promise
    #[bpaf(long)]
    pub strict: bool,
}

impl LoadArgs {
    /// Returns the plan from which arrivals are generated.
    ///
    /// # Errors
    /// Fails if the name of the service or of a team is not valid.
    pub fn plan(&self, prefix: &str) -> Result<Plan, NameError> {
        let mut phases = self.phases();
        for phase in &mut phases {
            self.apply_overrides(&mut phase.mix)?;
        }
        Ok(Plan {
            phases,
            resubmit_share: self.resubmit,
            seed: self.seed,
            prefix: prefix.to_owned(),
        })
    }

    fn phases(&self) -> Vec<Phase> {
        match self.day {
            Some(day) => phases(day, self.deployment),
            None => vec![Phase {
                duration: Duration::try_from_secs_f64(self.duration_s).unwrap_or_default(),
                jobs_per_second: self.rate,
                mix: Mix::preset(self.deployment),
            }],
        }
    }

    fn apply_overrides(&self, mix: &mut Mix) -> Result<(), NameError> {
        if let Some(service) = &self.service {
            mix.service = check_name(service)?;
        }
        if !self.team.is_empty() {
            let teams: Result<Vec<_>, _> = self.team.iter().map(|t| check_name(t)).collect();
            mix.teams = weighted(teams?.into_iter().map(|team| (1.0, team)), |team| team);
        }
        mix.sizes = self.tasks.map_or_else(|| mix.sizes.clone(), single_choice);
        mix.run_ms = self
            .task_ms
            .map_or_else(|| mix.run_ms.clone(), single_choice);
        mix.not_repeatable = self.not_repeatable.unwrap_or(mix.not_repeatable);
        if let Some(ms) = self.deadline_ms {
            mix.deadline = Duration::from_millis(ms);
        }
        Ok(())
    }
}

fn single_choice(span: Span) -> Vec<Weighted<Span>> {
    weighted([(1.0, span)], |span| span)
}

fn is_address(text: &str) -> bool {
    let authority = text.parse::<Authority>();
    authority.is_ok_and(|authority| authority.port_u16().is_some())
}

fn is_rate(rate: f64) -> bool {
    rate > 0.0 && rate <= 100_000.0
}

fn is_duration(seconds: f64) -> bool {
    seconds > 0.0 && seconds <= 86_400.0
}

fn is_task_count(tasks: Span) -> bool {
    tasks.min >= 1 && tasks.max <= 1000
}

fn is_share(share: f64) -> bool {
    (0.0..=1.0).contains(&share)
}

fn is_deadline(ms: u64) -> bool {
    (1..=3_600_000).contains(&ms)
}

fn is_connection_count(count: usize) -> bool {
    (1..=20_000).contains(&count)
}

fn is_prefix(text: &str) -> bool {
    text.len() <= MAX_PREFIX_BYTES && check_job_id(text).is_ok()
}
