//! Checks that every frame decodes to what was encoded, and that no input makes the decoder panic.

mod peer;
mod pool;

use masticcross_basics::timeline::Timestamp;
use masticcross_basics::{AttemptId, Code, Epoch, JobKey, Partition};
use quickcheck::{Arbitrary, Gen, QuickCheck};

use super::{decode, encode};
use crate::frame::*;
use crate::job::{JobAnswer, JobRecord, JobRequest, JobState, Json, Refusal, TaskRecord};
use crate::view::{AgentView, Member, PartitionOwner, ViewVersion};

/// Seed of the generated frames.
const SEED: u64 = 1;

/// Number of kinds of frames that the generator produces.
const KINDS: usize = 23;

/// First of the kinds about tasks or jobs.
const FIRST_TASK_KIND: usize = 7;

#[derive(Debug, Clone)]
struct AnyFrame(Frame);

impl Arbitrary for AnyFrame {
    fn arbitrary(g: &mut Gen) -> Self {
        let kind = usize::arbitrary(g) % KINDS;
        Self(frame(g, kind))
    }
}

fn frame(g: &mut Gen, kind: usize) -> Frame {
    if kind < FIRST_TASK_KIND {
        return session_frame(g, kind);
    }
    task_frame(g, kind)
}

fn session_frame(g: &mut Gen, kind: usize) -> Frame {
    match kind {
        0 => Frame::Hello(Hello {
            protocol: u16::arbitrary(g),
            role: *g
                .choose(&[Role::Entry, Role::Agent])
                .expect("there are roles"),
            name: text(g),
            incarnation: u64::arbitrary(g),
            zone: text(g),
            session: u64::arbitrary(g),
        }),
        1 => Frame::Goodbye(Goodbye {
            code: code(g),
            detail: String::arbitrary(g),
        }),
        2 => Frame::Ping(Ping {
            nonce: u64::arbitrary(g),
            known: version(g),
            timestamp: timestamp(g),
        }),
        3 => Frame::Pong(Pong {
            nonce: u64::arbitrary(g),
            age_ms: Option::arbitrary(g),
            view: bool::arbitrary(g).then(|| Box::new(view(g))),
            timestamp: timestamp(g),
        }),
        4 => Frame::Backends(list(g, |g| BackendInfo {
            name: text(g),
            service: text(g),
            slots: u16::arbitrary(g),
        })),
        5 => Frame::Credit(Credit {
            service: text(g),
            total: u64::arbitrary(g),
        }),
        _ => Frame::Demand(Demand {
            service: text(g),
            waiting: u32::arbitrary(g),
        }),
    }
}

fn task_frame(g: &mut Gen, kind: usize) -> Frame {
    match kind {
        7 => Frame::Start(StartTasks {
            key: key(g),
            partition: Partition(u16::arbitrary(g)),
            epoch: Epoch(u64::arbitrary(g)),
            left_ms: u32::arbitrary(g),
            tasks: list(g, |g| TaskStart {
                index: u16::arbitrary(g),
                attempt: attempt(g),
                payload: text(g),
            }),
            timestamp: timestamp(g),
        }),
        8 => Frame::Stop(StopTasks {
            key: key(g),
            attempts: list(g, attempt),
        }),
        9 => Frame::Ended(TaskEnded {
            key: key(g),
            index: u16::arbitrary(g),
            attempt: attempt(g),
            outcome: outcome(g),
            run_us: u64::arbitrary(g),
            timestamp: timestamp(g),
        }),
        10 => Frame::Release(list(g, key)),
        11 => Frame::Gather(gather(g)),
        12 => Frame::Gathered(Gathered {
            partition: Partition(u16::arbitrary(g)),
            epoch: Epoch(u64::arbitrary(g)),
            attempts: list(g, |g| AttemptReport {
                key: key(g),
                index: u16::arbitrary(g),
                attempt: attempt(g),
                state: state(g),
            }),
            last: bool::arbitrary(g),
        }),
        13 => Frame::Submit(Submit {
            id: u64::arbitrary(g),
            epoch: Epoch(u64::arbitrary(g)),
            request: request(g),
            after: after(g),
            timestamp: timestamp(g),
        }),
        14 => Frame::Query(Query {
            id: u64::arbitrary(g),
            epoch: Epoch(u64::arbitrary(g)),
            key: key(g),
            cancel: bool::arbitrary(g),
            after: after(g),
        }),
        15 => Frame::Reply(Reply {
            id: u64::arbitrary(g),
            answer: answer(g),
            timestamp: timestamp(g),
        }),
        16 => Frame::Handover(Handover {
            partition: Partition(u16::arbitrary(g)),
            epoch: Epoch(u64::arbitrary(g)),
            jobs: list(g, record),
            last: bool::arbitrary(g),
        }),
        17 => Frame::HandoverReceived(gather(g)),
        18 => Frame::AgentContactQuery(list(g, agent)),
        19 => Frame::AgentContactReply {
            queried: list(g, agent),
            in_contact: list(g, agent),
        },
        20 => Frame::Drain,
        21 => Frame::Peer(peer::frame(g)),
        _ => Frame::Pool(pool::frame(g)),
    }
}

fn list<T>(g: &mut Gen, mut item: impl FnMut(&mut Gen) -> T) -> Vec<T> {
    let len = usize::arbitrary(g) % 4;
    (0..len).map(|_| item(g)).collect()
}

fn text(g: &mut Gen) -> Json {
    Json::from(String::arbitrary(g))
}

fn key(g: &mut Gen) -> JobKey {
    JobKey {
        service: text(g),
        job: text(g),
    }
}

fn agent(g: &mut Gen) -> AgentIncarnation {
    AgentIncarnation {
        worker: text(g),
        incarnation: u64::arbitrary(g),
    }
}

fn after(g: &mut Gen) -> SentAfter {
    SentAfter {
        pong: u64::arbitrary(g),
        elapsed_us: u64::arbitrary(g),
    }
}

fn attempt(g: &mut Gen) -> AttemptId {
    AttemptId {
        epoch: Epoch(u64::arbitrary(g)),
        seq: u64::arbitrary(g),
    }
}

fn gather(g: &mut Gen) -> Gather {
    Gather {
        partition: Partition(u16::arbitrary(g)),
        epoch: Epoch(u64::arbitrary(g)),
    }
}

fn timestamp(g: &mut Gen) -> Timestamp {
    Timestamp {
        micros: u64::arbitrary(g),
        count: u32::arbitrary(g),
    }
}

fn version(g: &mut Gen) -> ViewVersion {
    ViewVersion {
        config: u64::arbitrary(g),
        partitions: u64::arbitrary(g),
    }
}

fn code(g: &mut Gen) -> Code {
    *g.choose(Code::ALL).expect("there are codes")
}

fn outcome(g: &mut Gen) -> TaskOutcome {
    match u8::arbitrary(g) % 5 {
        0 => TaskOutcome::Done(text(g)),
        1 => TaskOutcome::Failed(String::arbitrary(g)),
        2 => TaskOutcome::Stopped,
        3 => TaskOutcome::NotStarted(NotStartedReason::AlreadyKnown),
        _ => TaskOutcome::ResultDropped,
    }
}

fn state(g: &mut Gen) -> AttemptState {
    match u8::arbitrary(g) % 3 {
        0 => AttemptState::Queued,
        1 => AttemptState::Running,
        _ => AttemptState::Ended(outcome(g)),
    }
}

fn request(g: &mut Gen) -> JobRequest {
    JobRequest {
        key: key(g),
        team: text(g),
        repeatable: bool::arbitrary(g),
        deadline_ms: u32::arbitrary(g),
        tasks: list(g, text),
    }
}

fn answer(g: &mut Gen) -> JobAnswer {
    match u8::arbitrary(g) % 4 {
        0 => JobAnswer::Complete(list(g, text).into()),
        1 => JobAnswer::Refused(refusal(g)),
        2 => JobAnswer::Running(JobState {
            tasks: u16::arbitrary(g),
            ended: u16::arbitrary(g),
            admitted: bool::arbitrary(g),
        }),
        _ => JobAnswer::NotOwner,
    }
}

fn refusal(g: &mut Gen) -> Refusal {
    Refusal {
        code: code(g),
        not_run: bool::arbitrary(g),
        retry_after_ms: Option::arbitrary(g),
        detail: String::arbitrary(g),
    }
}

fn record(g: &mut Gen) -> JobRecord {
    let request = request(g);
    JobRecord {
        digest: request.digest(),
        request,
        left_ms: u32::arbitrary(g),
        age_ms: u64::arbitrary(g),
        tasks: list(g, |g| match u8::arbitrary(g) % 3 {
            0 => TaskRecord::Waiting,
            1 => TaskRecord::Placed {
                attempt: attempt(g),
                worker: text(g),
                incarnation: u64::arbitrary(g),
            },
            _ => TaskRecord::Ended(outcome(g)),
        }),
        ran: bool::arbitrary(g),
        answer: bool::arbitrary(g).then(|| answer(g)),
    }
}

fn view(g: &mut Gen) -> AgentView {
    AgentView {
        version: version(g),
        config_version: u64::arbitrary(g),
        zones_out: list(g, text),
        freshness_ms: u32::arbitrary(g),
        members: list(g, |g| Member {
            name: text(g),
            incarnation: u64::arbitrary(g),
            addr: (
                std::net::Ipv4Addr::from(u32::arbitrary(g)),
                u16::arbitrary(g),
            )
                .into(),
            zone: text(g),
        }),
        partitions: list(g, |g| PartitionOwner {
            member: Option::arbitrary(g),
            epoch: Epoch(u64::arbitrary(g)),
        }),
        registered: bool::arbitrary(g),
        registered_at: u64::arbitrary(g),
    }
}

fn generator() -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, SEED))
        .tests(2_000)
}

fn round_trips(batch: &[AnyFrame]) -> bool {
    let batch: Vec<Frame> = batch.iter().map(|any| any.0.clone()).collect();
    let encoded = encode(&batch).expect("the batch is small");
    decode(&encoded).is_ok_and(|decoded| decoded == batch)
}

#[test]
fn any_batch_decodes_to_what_was_encoded() {
    let property: fn(Vec<AnyFrame>) -> bool = |batch| round_trips(&batch);
    generator().quickcheck(property);
}

#[test]
fn each_frame_kind_decodes_to_what_was_encoded() {
    let mut g = Gen::from_size_and_seed(20, SEED);
    for kind in 0..KINDS {
        assert!(round_trips(&[AnyFrame(frame(&mut g, kind))]), "kind {kind}");
    }
}

#[test]
fn decoding_arbitrary_bytes_never_panics() {
    let property: fn(Vec<u8>) -> bool = |bytes| {
        // Both a result and an error are fine.
        let _ = decode(&bytes);
        true
    };
    generator().quickcheck(property);
}

#[test]
fn decoding_a_batch_with_one_changed_byte_never_panics() {
    let property: fn(AnyFrame, usize, u8) -> bool = |any, position, byte| {
        let mut bytes = encode(&[any.0]).expect("the frame is small").to_vec();
        let position = position % bytes.len();
        bytes[position] = byte;
        let _ = decode(&bytes);
        true
    };
    generator().quickcheck(property);
}
