//! Tests of what a new process of an agent believes of what the one before has left behind.

use masticcross_wire::pool::{EarlierReport, ReportedWorker};

use super::*;

/// Returns a new process of the agent, with a report that the one before has saved: 10 cores.
fn restarted() -> Fixture {
    let mut f = Fixture::without_worker(Instant::now());
    f.step(|s, now| s.restore_report(report(1, 0, false), now));
    f
}

fn info(cores: u64, leaving: bool) -> WorkerInfo {
    let mut info = report(1, 1, leaving).info;
    info.capacity = resources(cores);
    info
}

fn earlier(cores: u64, age_ms: u32) -> EarlierReport {
    EarlierReport {
        worker: ReportedWorker {
            id: "w-1".into(),
            started_at_ms: 1,
            info: info(cores, false),
        },
        age_ms,
    }
}

impl Fixture {
    fn tell(&mut self, earlier: EarlierReport) {
        self.step(|s, now| s.earlier_report_told(SESSION, earlier, now));
    }

    fn reports_told(&self) -> Vec<ReportedWorker> {
        let told = self.effects.iter().filter_map(|e| match e {
            Effect::Send(_, PoolFrame::Report(report)) => Some(report.clone()),
            _ => None,
        });
        told.collect()
    }
}

cases! {
    // Guards against starts beyond what the worker has told the earlier process after the report was saved.
    a_saved_report_allows_no_start_before_a_heartbeat => |_| {
        let mut f = restarted();
        assert_eq!(f.free_cores(), 0);
        f.poll(vec![running(0, 50)], vec![]);
        assert_eq!(f.stops(), 1, "runs of the earlier process are stopped without a heartbeat");
        f.poll(vec![], vec![ended(1, 0, WorkerEnd::Stopped)]);
        assert_eq!(f.free_cores(), 0);
        f.submit(request(1, 1));
        assert_eq!(f.results(), vec![RunResult::NotStarted(NotStartedReason::NoBackend)]);
        let mut shrunk = report(1, 7, false);
        shrunk.info = info(4, false);
        f.step(|s, now| assert!(s.worker_reported(shrunk, now)));
        assert_eq!(f.free_cores(), 4);
    };

    // Guards against a wait for the next heartbeat after each restart.
    what_the_earlier_process_told_an_entry_is_used_at_once => |_| {
        for told_first in [true, false] {
            let mut f = restarted();
            if told_first {
                f.tell(earlier(4, 700));
            }
            f.poll(vec![], vec![]);
            if !told_first {
                f.tell(earlier(4, 700));
            }
            assert_eq!(f.free_cores(), 4, "{told_first}");
        }
    };

    // Guards against the same wait while the store cannot be read.
    what_an_entry_tells_names_the_worker_to_poll => |_| {
        let mut f = Fixture::without_worker(Instant::now());
        f.tell(earlier(4, 700));
        f.poll(vec![], vec![]);
        assert_eq!(f.free_cores(), 4);
    };

    // Guards against starts at a worker that has told the earlier process that it leaves.
    a_worker_that_left_the_earlier_process_gets_no_runs => |_| {
        let mut f = restarted();
        let mut report = earlier(10, 700);
        report.worker.info.leaving = true;
        f.tell(report);
        f.poll(vec![], vec![]);
        f.submit(request(0, 1));
        assert_eq!(f.results(), vec![RunResult::NotStarted(NotStartedReason::ShuttingDown)]);
    };

    // Guards against an entry that had lost contact before the worker shrank.
    the_last_entry_that_heard_from_the_earlier_process_counts => |_| {
        for reports in [[earlier(10, 1_900), earlier(4, 700)], [earlier(4, 700), earlier(10, 1_900)]] {
            let mut f = restarted();
            for report in reports {
                f.tell(report);
            }
            f.poll(vec![], vec![]);
            assert_eq!(f.free_cores(), 4);
        }
    };

    what_was_told_long_before_the_restart_is_not_used => |_| {
        let mut f = restarted();
        f.tell(earlier(4, 2_000));
        f.poll(vec![], vec![]);
        assert_eq!(f.free_cores(), 0);
    };

    // Guards against an agent that goes on without a heartbeat.
    what_the_earlier_process_told_expires => |_| {
        let mut f = restarted();
        f.tell(earlier(4, 700));
        for _ in 0..13 {
            f.advance_in_contact(Duration::from_millis(100));
            f.poll(vec![], vec![]);
        }
        assert_eq!(f.free_cores(), 0);
    };

    what_the_earlier_process_told_of_another_incarnation_is_not_used => |_| {
        let mut f = restarted();
        let mut report = earlier(4, 700);
        report.worker.started_at_ms = 2;
        f.tell(report);
        f.poll(vec![], vec![]);
        assert_eq!(f.free_cores(), 0);
    };

    // Guards against knowledge that gets younger with each restart.
    only_what_a_heartbeat_has_told_is_passed_on => |_| {
        let mut f = restarted();
        f.tell(earlier(4, 700));
        f.poll(vec![], vec![]);
        f.step(|s, now| s.session_opened(&client(2), 2, now));
        assert_eq!(f.reports_told(), vec![]);
        f.report(1, 7, false);
        let told = f.reports_told();
        assert_eq!(told.len(), 2, "one for each session");
        assert_eq!(told[0].info, info(10, false));
    };

    // Guards against a new process of the agent that waits for a heartbeat because the one before was closing.
    the_end_of_the_agents_process_is_not_the_workers => |mut f: Fixture| {
        f.step(Supervisor::close);
        f.step(|s, now| s.session_opened(&client(2), 2, now));
        assert!(f.reports_told().iter().all(|report| !report.info.leaving));
        assert!(!f.reports_told().is_empty());
    };

    // Guards against a worker whose first heartbeat has the number 0.
    a_first_heartbeat_with_the_number_0_is_used => |_| {
        let mut f = Fixture::without_worker(Instant::now());
        f.report(1, 0, false);
        f.poll(vec![], vec![]);
        assert_eq!(f.free_cores(), 10);
    };
}
