//! Tests of the detection of suspensions.

use std::time::Duration;

use masticcross_jobs::suspension::SuspensionDetector;

/// Both clocks after a time of running and of suspension, in milliseconds.
fn clocks(running: u64, suspended: u64) -> (Duration, Duration) {
    let without = Duration::from_millis(running);
    (without + Duration::from_millis(suspended), without)
}

fn detect(detector: &mut SuspensionDetector, running: u64, suspended: u64) -> Option<Duration> {
    let (with_suspensions, without) = clocks(running, suspended);
    detector.detect(with_suspensions, without)
}

#[test]
fn each_suspension_is_detected_once() {
    let (with_suspensions, without) = clocks(5_000, 700);
    let mut detector = SuspensionDetector::new(with_suspensions, without);
    assert_eq!(detect(&mut detector, 6_000, 700), None);
    let suspended = Some(Duration::from_secs(2));
    assert_eq!(detect(&mut detector, 6_010, 2_700), suspended);
    assert_eq!(detect(&mut detector, 6_020, 2_700), None);
    assert_eq!(detect(&mut detector, 6_030, 4_700), suspended);
}

#[test]
fn short_suspensions_add_up() {
    let mut detector = SuspensionDetector::new(Duration::ZERO, Duration::ZERO);
    assert_eq!(detect(&mut detector, 10, 15), None);
    assert_eq!(
        detect(&mut detector, 20, 30),
        Some(Duration::from_millis(30))
    );
}

#[test]
fn the_clocks_of_this_host_show_no_suspension() {
    assert_eq!(SuspensionDetector::start().check(), None);
}
