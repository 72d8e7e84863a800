//! Prints the tables of experiments with the policy.

use std::time::Duration;

use masticcross_entry::dispatch::queue::{JobOrder, QueuePolicy};
use masticcross_entry::dispatch::workers::PlacementRule;
use masticcross_standins::experiment::{Mix, Report, Setup, run};

const LOADS: [f64; 6] = [0.5, 0.7, 0.9, 1.0, 1.5, 3.0];

fn main() {
    orders();
    rules();
}

fn print_row(name: &str, load: f64, report: &Report) {
    println!(
        "| {name} | {load:.1} | {:.3} | {:.3} | {:.3} | {} | {} | {} | {:.3} |",
        report.ratio(0.5),
        report.ratio(0.95),
        report.ratio(0.99),
        report.completed,
        report.refusals(),
        report.failures(),
        report.goodput(),
    );
}

fn print_head(title: &str) {
    println!("\n{title}\n");
    println!("| | load | p50 | p95 | p99 | complete | refused | failed | goodput |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
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
                print_row(&format!("{order:?}"), load, &run(&setup));
            }
        }
    }
}

fn rules() {
    use masticcross_standins::experiment::{Action, Behaviour};
    print_head("Placement rules, one worker slow by 10");
    for rule in [
        PlacementRule::Random,
        PlacementRule::RoundRobin,
        PlacementRule::LeastOutstanding,
        PlacementRule::SpeedAware,
    ] {
        for load in [0.5, 0.7, 0.9] {
            let setup = Setup {
                rule,
                load,
                actions: vec![(
                    Duration::from_secs(30),
                    Action::Behave(3, Behaviour::Slow(10.0)),
                )],
                ..Setup::default()
            };
            print_row(&format!("{rule:?}"), load, &run(&setup));
        }
    }
}
