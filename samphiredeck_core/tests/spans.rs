//! Lengths of time that may be fractions.

use std::time::Duration;

use proptest::prelude::{ProptestConfig, prop_assert, prop_assert_eq, proptest};
use samphiredeck_core::units::{Millis, Span};

fn span(text: &str) -> Duration {
    text.parse::<Span>().unwrap_or_else(|error| panic!("{error}")).to_duration()
}

/// Guards against bounds that a sheet may have and that are refused: a quota window of 7.5 s.
#[test]
fn numbers_are_read_in_each_form() {
    let seconds = Duration::from_secs;
    for (text, expected) in [
        ("7.5s", Duration::from_millis(7_500)),
        ("8.0s", seconds(8)),
        ("0.5 s", Duration::from_millis(500)),
        ("1e3ms", seconds(1)),
        ("1E+3ms", seconds(1)),
        ("1e-1s", Duration::from_millis(100)),
        ("2.5e-1min", seconds(15)),
        ("1500ms", Duration::from_millis(1_500)),
        ("007s", seconds(7)),
        ("0s", Duration::ZERO),
        ("0e9s", Duration::ZERO),
        ("0.0000000001s", Duration::ZERO),
        ("18446744073709551615ms", Span::MAX.to_duration()),
        ("1e300s", Span::MAX.to_duration()),
        ("1e99999999999999999999s", Span::MAX.to_duration()),
        ("1e-99999999999999999999s", Duration::ZERO),
    ] {
        assert_eq!(span(text), expected, "{text}");
    }
}

/// Guards against a grace period or a lease that becomes longer.
#[test]
fn spans_are_rounded_down() {
    assert_eq!(span("1.9999999999s"), Duration::from_nanos(1_999_999_999));
    assert_eq!(span("0.00000199999ms"), Duration::from_nanos(1));
    assert_eq!(
        span("0.99999999999999999999999999999999999999999999s"),
        Duration::from_nanos(999_999_999)
    );
}

#[test]
fn what_is_no_length_of_time_is_refused() {
    for text in [
        "", "s", "ms", "-1s", "+1s", "-0.5s", "NaNs", "infs", "nulls", "1.s", ".5s", "1e", "1es",
        "1e+s", "1.2.3s", "1,5s", "1_000ms", "0x10s", "7.5", "7.5 h", "7.5ss", "٣s", "1 e3s",
        "1-2s",
    ] {
        let error = text.parse::<Span>().expect_err(text).to_string();
        assert!(error.contains("not a length of time"), "{error}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// What was accepted before is accepted with the same meaning.
    #[test]
    fn whole_numbers_mean_what_they_meant(number in 0_u64..31_536_000, unit in "ms|s| ms| s|min") {
        let text = format!("{number}{unit}");
        let expected = text.parse::<Millis>().unwrap().to_duration().min(Span::MAX.to_duration());
        prop_assert_eq!(span(&text), expected);
    }

    #[test]
    fn numbers_as_a_program_writes_them_are_read(number in 0.0_f64..1e9, unit in "ms|s") {
        for text in [format!("{number}{unit}"), format!("{number:e}{unit}"), format!("{number:.3}{unit}")] {
            prop_assert!(text.parse::<Span>().is_ok(), "{text}");
        }
    }

    #[test]
    fn no_text_panics(text in "[0-9.eE+-]{0,40}(ms|s|min|x)?") {
        drop(text.parse::<Span>());
    }
}
