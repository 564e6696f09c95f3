//! Conversion between Unix time and the monotonic clock, including times before the clock's start and out of
//! range.

use super::{Clock, Duration, Instant, Micros};

#[test]
fn unix_time_is_converted_to_the_monotonic_clock() {
    let clock = Clock { start: Instant::now(), unix_micros_at_start: 1_700_000_000_000_000 };
    assert_eq!(clock.at_unix_ms(0.0), None, "0 stands for no time");
    assert_eq!(clock.at_unix_ms(1_700_000_000_250.0), Some(250_000));
    assert_eq!(clock.at_unix_ms(1_699_999_999_000.0), Some(-1_000_000), "before this proxy's start");
    assert_eq!(clock.unix_ms(-1_000_000), Some(1_699_999_999_000));
    assert_eq!((clock.unix_ms(Micros::MAX), clock.unix_ms(Micros::MIN / 2)), (None, None));
    assert_eq!(clock.instant(250_000), clock.start + Duration::from_millis(250));
}
