//! Selection of the events to show.

use bpaf::Bpaf;
use masticcross_basics::TaskIndex;
use masticcross_basics::timeline::{Event, EventKind};

use crate::kind;

/// Criteria for the events to show. A criterion that is not set matches every event.
#[derive(Debug, Clone, Default, PartialEq, Eq, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct Filter {
    /// Job id.
    #[bpaf(long, argument("JOB"), help("Only this job id"))]
    pub job: Option<String>,
    /// Position of a task in its job.
    #[bpaf(long, argument("INDEX"), help("Only this task of a job"))]
    pub task: Option<TaskIndex>,
    /// Worker.
    #[bpaf(long, argument("WORKER"), help("Only this worker"))]
    pub worker: Option<String>,
    /// Availability zone.
    #[bpaf(long, argument("ZONE"), help("Only this availability zone"))]
    pub zone: Option<String>,
    /// Process that recorded the event.
    #[bpaf(long, argument("PROCESS"), help("Only events of this entry or worker"))]
    pub process: Option<String>,
    /// Kinds of events.
    #[bpaf(
        long,
        argument::<String>("KIND"),
        parse(|text| kind::parse(&text)),
        many,
        help("Only this kind, such as placed or started; may be repeated")
    )]
    pub kind: Vec<EventKind>,
    /// Earliest time, in microseconds since the Unix epoch.
    #[bpaf(
        long("from-us"),
        argument("MICROS"),
        help("Not before this time, in microseconds since the Unix epoch")
    )]
    pub from_us: Option<u64>,
    /// Latest time, in microseconds since the Unix epoch.
    #[bpaf(
        long("to-us"),
        argument("MICROS"),
        help("Not after this time, in microseconds since the Unix epoch")
    )]
    pub to_us: Option<u64>,
}

impl Filter {
    /// Returns true if the event meets all criteria.
    #[must_use]
    pub fn accepts(&self, event: &Event) -> bool {
        let job = event.job.as_ref().map(|key| &*key.job);
        matches(self.job.as_deref(), job)
            && self.task.is_none_or(|task| event.task == Some(task))
            && matches(self.worker.as_deref(), event.worker.as_deref())
            && matches(self.zone.as_deref(), event.zone.as_deref())
            && matches(self.process.as_deref(), Some(&event.process))
            && (self.kind.is_empty() || self.kind.contains(&event.kind))
            && self.from_us.is_none_or(|from| event.at.micros >= from)
            && self.to_us.is_none_or(|to| event.at.micros <= to)
    }
}

fn matches(criterion: Option<&str>, value: Option<&str>) -> bool {
    criterion.is_none() || criterion == value
}
