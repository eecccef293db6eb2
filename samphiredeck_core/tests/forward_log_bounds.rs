//! The bounds on the lines that a node logs.

use samphiredeck_core::{
    boot_time::BootTime,
    forward::log_bounds::{LineSubject, LogBounds},
};

const RATE: u32 = 100;
const QUEUE_MAX: usize = 4_096;
const REQUEST_KINDS: [&str; 4] = ["admission", "end", "place", "send-failed"];
const OTHER_KINDS: [&str; 5] = ["part-cleared", "path", "suspects", "tunnel", "upstream"];

fn at(ms: u64) -> BootTime {
    BootTime::from_millis(ms)
}

/// Replays the load of a node among 88 while engines crash, over ten seconds: each second 34 lines about suspects, tunnels and
/// upstreams, up to ten times as many, and 30 requests. Guards against logs that suspects fill, and against lines of requests
/// that are lost beside them.
#[test]
fn lines_about_suspects_are_bounded_and_those_of_requests_are_all_written() {
    for factor in [1, 10] {
        let mut bounds = LogBounds::new(RATE, QUEUE_MAX);
        let (mut requests, mut others, mut left_out) = (0, 0, 0);
        for second in 0..10 {
            let mut others_in_second = 0;
            for line in 0..34 * factor {
                let other = OTHER_KINDS[usize::try_from(line % 5).unwrap()];
                let now = at(second * 1_000 + line * 900 / (34 * factor));
                // Eight of ten lines are about suspects.
                let kind = if line % 10 < 8 { "suspects" } else { other };
                let subject = LineSubject::of(kind, kind == "part-cleared");
                if let Some(before) = bounds.admit(kind, subject, 0, now) {
                    others_in_second += 1;
                    left_out += before;
                }
                if line % factor == 0 && line / factor < 30 {
                    for kind in REQUEST_KINDS {
                        let written = bounds.admit(kind, LineSubject::of(kind, true), 0, now);
                        assert_eq!(written, Some(0), "{kind} at {now:?}");
                        requests += 1;
                    }
                }
            }
            assert!(others_in_second <= RATE / 10, "{others_in_second} lines in a second");
            others += others_in_second;
        }
        assert_eq!(requests, 10 * 30 * 4);
        assert!(others >= 50, "{others}: some are always written");
        // Each line is written or counted, also by the next one of its kind.
        let expected = 10 * 34 * factor - u64::from(others);
        assert_eq!(bounds.left_out(), expected);
        for kind in OTHER_KINDS {
            left_out += bounds.admit(kind, LineSubject::Other, 0, at(11_000)).unwrap();
        }
        assert_eq!(left_out, expected, "lines left out are reported");
    }
}

/// Guards against a rare line, as one about usage, that is lost among frequent ones.
#[test]
fn rare_kinds_are_written_beside_frequent_ones() {
    let mut bounds = LogBounds::new(RATE, QUEUE_MAX);
    for _ in 0..1_000 {
        bounds.admit("suspects", LineSubject::Other, 0, at(1_000));
    }
    for kind in ["duty-won", "members", "usage-reported"] {
        assert_eq!(bounds.admit(kind, LineSubject::Other, 0, at(1_500)), Some(0), "{kind}");
    }
    assert_eq!(bounds.left_out(), 995);
}

/// Guards against a log that one kind of line about requests fills.
#[test]
fn each_kind_about_requests_has_its_own_rate() {
    let mut bounds = LogBounds::new(RATE, QUEUE_MAX);
    let mut written = 0;
    for _ in 0..1_000 {
        written += u32::from(bounds.admit("place", LineSubject::Request, 0, at(1_000)).is_some());
    }
    assert_eq!(written, RATE);
    assert_eq!(bounds.admit("end", LineSubject::Request, 0, at(1_000)), Some(0));
    assert_eq!(bounds.admit("place", LineSubject::Request, 0, at(2_000)), Some(900));
}

/// Guards against lines about requests that find a queue full of others, while the output is read too slowly.
#[test]
fn queue_that_fills_takes_lines_about_requests_last() {
    let mut bounds = LogBounds::new(RATE, 10);
    let mut queued = 0;
    for second in 0..20 {
        for kind in ["suspects", "end"] {
            let subject = LineSubject::of(kind, kind == "end");
            let written = bounds.admit(kind, subject, queued, at(second * 1_000)).is_some();
            assert_eq!(written, queued < if kind == "end" { 10 } else { 5 }, "{kind} at {queued}");
            queued += usize::from(written);
        }
    }
    assert_eq!(queued, 10);
}

/// Guards against rates at which nothing is logged.
#[test]
fn lowest_rate_writes_a_line_of_each_kind() {
    let mut bounds = LogBounds::new(1, QUEUE_MAX);
    assert_eq!(bounds.admit("start", LineSubject::Other, 0, at(0)), Some(0));
    assert_eq!(bounds.admit("start", LineSubject::Other, 0, at(10)), None);
    assert_eq!(bounds.admit("members", LineSubject::Other, 0, at(20)), Some(0));
    assert_eq!(bounds.admit("end", LineSubject::Request, 0, at(30)), Some(0));
}
