//! Prints the results of experiments with the scheduling policy as tables.

use std::time::Duration;

use masticcross_entry::dispatch::queue::{JobOrder, QueuePolicy};
use masticcross_entry::dispatch::workers::PlacementRule;
use masticcross_standins::experiment::{Action, Behaviour, Mix, Report, Setup, run};

const LOADS: [f64; 6] = [0.5, 0.7, 0.9, 1.0, 1.5, 3.0];

fn main() {
    print_job_orders();
    print_placement_rules();
    print_faults();
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn print_header(title: &str) {
    println!("\n{title}\n");
    println!("| | load | p50 | p95 | p99 | complete | refused | failed | goodput |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
}

fn print_row(name: &str, setup: &Setup) -> Report {
    let report = run(setup);
    println!(
        "| {name} | {:.1} | {:.3} | {:.3} | {:.3} | {} | {} | {} | {:.3} |",
        setup.load,
        report.ratio(0.5),
        report.ratio(0.95),
        report.ratio(0.99),
        report.completed,
        report.refusals(),
        report.failures(),
        report.goodput(),
    );
    report
}

fn print_job_orders() {
    for mix in [Mix::Guild, Mix::Wide] {
        print_header(&format!("Orders of jobs, {mix:?} mix"));
        for order in [
            JobOrder::FirstCome,
            JobOrder::EarliestDeadline,
            JobOrder::ShortestRemaining,
            JobOrder::AgedWork { factor: 256 },
        ] {
            for load in LOADS {
                let setup = Setup {
                    queue: QueuePolicy {
                        order,
                        ..QueuePolicy::default()
                    },
                    load,
                    mix,
                    ..Setup::default()
                };
                print_row(&format!("{order:?}"), &setup);
            }
        }
    }
}

fn print_placement_rules() {
    let slow = (secs(30), Action::SetBehaviour(3, Behaviour::Slow(10.0)));
    for (title, actions) in [("even", vec![]), ("one slow by 10", vec![slow])] {
        print_header(&format!("Placement rules, workers {title}"));
        for rule in [
            PlacementRule::Random,
            PlacementRule::RoundRobin,
            PlacementRule::LeastOutstanding,
            PlacementRule::SpeedAware,
        ] {
            for load in [0.7, 0.9] {
                let setup = Setup {
                    rule,
                    load,
                    actions: actions.clone(),
                    ..Setup::default()
                };
                print_row(&format!("{rule:?}"), &setup);
            }
        }
    }
}

fn print_faults() {
    print_header("Faults at 70% load, from 30 s on");
    let faulty_worker = |behaviour| vec![(secs(30), Action::SetBehaviour(3, behaviour))];
    let burst = vec![
        (secs(60), Action::ScaleArrivalRate(10.0)),
        (secs(62), Action::ScaleArrivalRate(1.0)),
    ];
    let zone_outage = vec![
        (secs(60), Action::ZoneOut(1)),
        (secs(120), Action::ZoneIn(1)),
    ];
    let cases = [
        ("none", vec![]),
        ("fails everything", faulty_worker(Behaviour::FailAll)),
        ("fails half", faulty_worker(Behaviour::FailSome(0.5))),
        ("slow by 10", faulty_worker(Behaviour::Slow(10.0))),
        ("hangs", faulty_worker(Behaviour::Hang)),
        ("burst of 10 for 2 s", burst),
        ("half cancelled", vec![(secs(60), Action::CancelHalf)]),
        ("zone out for 60 s", zone_outage),
    ];
    for (name, actions) in cases {
        let setup = Setup {
            actions,
            ..Setup::default()
        };
        let report = print_row(name, &setup);
        let failures: u64 = report.task_failures.values().sum();
        eprintln!(
            "{name}: {failures} tasks failed, {} retries, {} demand frames, {} starts, {:?}, {:?}",
            report.retries, report.demand_frames, report.starts, report.failed, report.refused
        );
        if name.starts_with("zone") {
            let starts = |from, to| report.starts_between(1, secs(from), secs(to));
            eprintln!(
                "starts in the zone a second: before {}, out {}, back {:?}",
                starts(30, 60) / 30,
                starts(61, 120),
                [120, 121, 122, 123].map(|s| starts(s, s + 1))
            );
        }
    }
}
