//! Formats the report as a text table.

use std::fmt;

use super::{Percentiles, Report};
use crate::load::starts::StartCounts;

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.fmt_load(f)?;
        self.fmt_times(f)?;
        self.fmt_refusals(f)?;
        self.fmt_faults(f)?;
        match &self.starts {
            Some(starts) => fmt_starts(starts, f),
            None => writeln!(f, "starts at backend servers    not asked for"),
        }
    }
}

impl Report {
    fn fmt_load(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}, {:.1} s", self.seed, self.seconds)?;
        row(f, "jobs", self.jobs)?;
        row(f, "tasks", self.tasks)?;
        row(f, "submissions", self.submissions)?;
        row(f, "  of these again", self.resubmissions)?;
        writeln!(f, "{:<28} {:>10.1}", "slots needed", self.offered_slots)?;
        row(f, "answered whole", self.complete)?;
        let rate = format!("{:.1}", self.jobs_per_second);
        writeln!(f, "{:<28} {rate:>10}", "jobs a second")?;
        let rate = format!("{:.1}", self.tasks_per_second);
        writeln!(f, "{:<28} {rate:>10}", "tasks a second")
    }

    fn fmt_times(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<28} {:>10} {:>10} {:>10} {:>10} {:>10}",
            "response time", "p50", "p95", "p99", "p99.9", "max"
        )?;
        fmt_percentiles(f, "  over the ideal, ratio", &self.over_ideal)?;
        fmt_percentiles(f, "  beyond the ideal, ms", &self.beyond_ideal_ms)
    }

    fn fmt_refusals(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let total: u64 = self.refused.iter().map(|refused| refused.count).sum();
        row(f, "refused or failed", total)?;
        for refused in &self.refused {
            let not_run = if refused.not_run { ", not run" } else { "" };
            writeln!(
                f,
                "  {:<26} {:>10} {}{not_run}",
                refused.code, refused.count, refused.title
            )?;
            if !refused.example.is_empty() {
                writeln!(f, "    such as: {}", refused.example)?;
            }
        }
        Ok(())
    }

    fn fmt_faults(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        row(f, "partial answers", self.partial)?;
        row(f, "wrong values", self.wrong_values)?;
        row(f, "malformed answers", self.malformed)?;
        row(f, "differing answers", self.differing)?;
        row(f, "unanswered", self.unanswered)?;
        row(f, "late answers", self.late)?;
        row(f, "connections refused", self.refused_connections)?;
        row(f, "connections broken in use", self.broken_connections)?;
        row(f, "submissions retried", self.retried)?;
        row(f, "sent later than due", self.delayed)?;
        row(f, "not compared", self.untracked)
    }
}

fn fmt_starts(starts: &StartCounts, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    row(f, "starts at backend servers", starts.starts)?;
    row(f, "tasks started twice", starts.doubled)?;
    row(
        f,
        "  of these not repeatable",
        starts.doubled_not_repeatable,
    )?;
    row(f, "false \"not run\"", starts.false_not_run)?;
    row(f, "backend servers not heard", starts.missing_lists)
}

fn fmt_percentiles(f: &mut fmt::Formatter<'_>, label: &str, values: &Percentiles) -> fmt::Result {
    writeln!(
        f,
        "{label:<28} {:>10.3} {:>10.3} {:>10.3} {:>10.3} {:>10.3}",
        values.p50, values.p95, values.p99, values.p999, values.max
    )
}

fn row(f: &mut fmt::Formatter<'_>, label: &str, count: u64) -> fmt::Result {
    writeln!(f, "{label:<28} {count:>10}")
}
