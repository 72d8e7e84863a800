//! Prints the tables of experiments with the policy.

use std::time::Duration;

use masticcross_entry::dispatch::queue::{JobOrder, QueuePolicy};
use masticcross_entry::dispatch::workers::PlacementRule;
use masticcross_standins::experiment::{Action, Behaviour, Mix, Report, Setup, run};

const LOADS: [f64; 6] = [0.5, 0.7, 0.9, 1.0, 1.5, 3.0];

fn main() {
    orders();
    rules();
    faults();
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn print_head(title: &str) {
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

fn orders() {
    for mix in [Mix::Guild, Mix::Wide] {
        print_head(&format!("Orders of jobs, {mix:?} mix"));
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

fn rules() {
    let slow = (secs(30), Action::Behave(3, Behaviour::Slow(10.0)));
    for (title, actions) in [("even", vec![]), ("one slow by 10", vec![slow])] {
        print_head(&format!("Placement rules, workers {title}"));
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

fn faults() {
    print_head("Faults at 70% load, from 30 s on");
    let bad = |behaviour| vec![(secs(30), Action::Behave(3, behaviour))];
    let burst = vec![
        (secs(60), Action::Rate(10.0)),
        (secs(62), Action::Rate(1.0)),
    ];
    let zone = vec![
        (secs(60), Action::ZoneOut(1)),
        (secs(120), Action::ZoneBack(1)),
    ];
    let cases = [
        ("none", vec![]),
        ("fails everything", bad(Behaviour::FailAll)),
        ("fails half", bad(Behaviour::FailSome(0.5))),
        ("slow by 10", bad(Behaviour::Slow(10.0))),
        ("hangs", bad(Behaviour::Hang)),
        ("burst of 10 for 2 s", burst),
        ("half cancelled", vec![(secs(60), Action::CancelHalf)]),
        ("zone out for 60 s", zone),
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
            report.retries, report.demands, report.starts, report.failed, report.refused
        );
        if name.starts_with("zone") {
            let starts = |from, to| report.starts_in(1, secs(from), secs(to));
            eprintln!(
                "starts in the zone a second: before {}, out {}, back {:?}",
                starts(30, 60) / 30,
                starts(61, 120),
                [120, 121, 122, 123].map(|s| starts(s, s + 1))
            );
        }
    }
}
