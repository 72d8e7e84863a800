//! Numbered result codes. `docs/result-codes.md` has the same table for callers and operators.

use serde::{Deserialize, Serialize};

/// Declares the codes in one table with number, HTTP status and title.
macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $title:literal;)*) => {
        /// A result code. The meaning of a number never changes.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(into = "u16", try_from = "u16")]
        pub enum Code {
            $($(#[$doc])* $name,)*
        }

        impl Code {
            /// All codes in the order of their numbers.
            pub const ALL: &'static [Code] = &[$(Code::$name,)*];

            /// Returns the number shown to callers and operators.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self { $(Code::$name => $number,)* }
            }

            /// Returns the HTTP status of an answer with this code.
            #[must_use]
            pub const fn http_status(self) -> u16 {
                match self { $(Code::$name => $status,)* }
            }

            /// Returns the short title of the code.
            #[must_use]
            pub const fn title(self) -> &'static str {
                match self { $(Code::$name => $title,)* }
            }
        }
    };
}

codes! {
    /// The body is not JSON, or does not have the documented structure.
    MalformedBody = 1001, 400, "malformed body";
    /// A field has a value outside its limits.
    InvalidField = 1002, 400, "invalid field";
    /// The job id or the name of the service violates the naming rules.
    InvalidJobId = 1003, 400, "invalid job id";
    /// The job has no task, or too many.
    TaskCount = 1004, 400, "wrong number of tasks";
    /// The body is over the limit.
    BodyTooLarge = 1005, 413, "body too large";
    /// No such service is configured.
    UnknownService = 1006, 404, "unknown service";
    /// No such team is configured.
    UnknownTeam = 1007, 403, "unknown team";
    /// The job id is already in use with another body.
    BodyDiffers = 1008, 409, "job id in use with another body";
    /// The job does not exist.
    JobNotFound = 1009, 404, "job not found";
    /// The path or method does not exist.
    NoSuchResource = 1010, 404, "no such resource";
    /// The body did not arrive in time.
    BodyTimeout = 1011, 408, "body did not arrive in time";
    /// The owner's queue for the service is full.
    Overloaded = 2001, 503, "overloaded";
    /// The job would not end before its deadline.
    DeadlineUnreachable = 2002, 503, "deadline cannot be met";
    /// The team's quota is used up.
    QuotaExceeded = 2003, 429, "quota exceeded";
    /// No backend server of the service is in service.
    NoBackend = 2004, 503, "no backend server in service";
    /// The entry has no fresh view of the log.
    ViewStale = 2005, 503, "no fresh view of the configuration";
    /// The entry is shutting down.
    ShuttingDown = 2006, 503, "entry is shutting down";
    /// The admission could not be recorded.
    AdmissionFailed = 2007, 503, "admission could not be recorded";
    /// The entry has too many concurrent connections or requests.
    TooManyRequests = 2008, 503, "too many requests at once";
    /// The job table is full.
    TableFull = 2009, 503, "table of jobs is full";
    /// The job was canceled before any of its tasks started.
    CancelledBeforeStart = 2010, 409, "cancelled before any task started";
    /// The entry that decides about the job could not be reached.
    NoOwner = 2011, 503, "no entry decides about this job now";
    /// Jobs of this kind are not served.
    KindNotServed = 2012, 503, "kind of job not served";
    /// Jobs of the queue crash workers, and no worker that is left to the queue is up.
    QueueConfined = 2013, 503, "jobs of this queue crash workers";
    /// A task failed at its backend server.
    TaskFailed = 3001, 502, "a task failed";
    /// The deadline passed before the job was complete.
    DeadlineExceeded = 3002, 504, "deadline exceeded";
    /// The job was canceled while it ran.
    Cancelled = 3003, 409, "cancelled";
    /// A worker was lost with a task that may have started and may not be repeated.
    WorkerLost = 3004, 502, "worker lost with a task that may have run";
    /// A task ended, but its result was lost.
    ResultLost = 3005, 502, "result lost";
    /// The job ended, but its answer is no longer stored.
    AnswerExpired = 3006, 410, "answer not kept any more";
    /// The entry lost contact with the owner of the job; the job may have run.
    OutcomeUnknown = 3007, 504, "outcome unknown";
    /// A task failed on several workers.
    TaskFailedRepeatedly = 3008, 502, "a task failed on several workers";
    /// The other process uses another version of the protocol.
    ProtocolVersion = 4001, 400, "protocol version not supported";
    /// A frame could not be decoded.
    MalformedFrame = 4002, 400, "malformed frame";
    /// The other process did not present the shared secret.
    Unauthorized = 4003, 401, "not authorised";
    /// A newer session of the same process replaced this session.
    Superseded = 4004, 409, "replaced by a newer session";
    /// The other process did not read its frames in time.
    SlowReader = 4005, 503, "queue of the session is full";
    /// The other process was unresponsive for too long.
    SessionTimeout = 4006, 504, "session timed out";
}

impl From<Code> for u16 {
    fn from(code: Code) -> Self {
        code.number()
    }
}

impl TryFrom<u16> for Code {
    type Error = String;

    fn try_from(number: u16) -> Result<Self, String> {
        Self::ALL
            .iter()
            .copied()
            .find(|code| code.number() == number)
            .ok_or_else(|| format!("no result code has the number {number}"))
    }
}
