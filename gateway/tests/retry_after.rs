//! How long a replica that refuses a call asks not to be sent another one.

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header;
use laburnumwheel_core::time::Span;
use laburnumwheel_gateway::retry_after;
use laburnumwheel_gateway::retry_after::Advice;

fn parse(status: u16, value: Option<&str>, date: Option<&str>) -> Advice {
    let mut headers = HeaderMap::new();
    for (name, value) in [(header::RETRY_AFTER, value), (header::DATE, date)] {
        if let Some(value) = value {
            headers.insert(name, value.parse().unwrap());
        }
    }
    retry_after::parse(&headers).with_status(StatusCode::from_u16(status).unwrap())
}

#[test]
fn refusals_for_overload_give_advice() {
    assert_eq!(parse(503, Some("3"), None), Advice::Wait(Span::secs(3)));
    assert_eq!(parse(429, Some(" 0.25 "), None), Advice::Wait(Span::millis(250)));
    assert_eq!(parse(503, None, None), Advice::Absent);
    for status in [200, 301, 404, 421, 500, 504] {
        assert_eq!(parse(status, Some("3"), None), Advice::Absent, "{status}");
    }
}

/// Guards against a replica that is never used again because of an absurd value.
#[test]
fn absurd_times_are_bounded() {
    for value in ["3601", "1e9", "99999999999999999999999999"] {
        assert_eq!(parse(503, Some(value), None), Advice::Wait(Span::secs(3_600)), "{value}");
    }
    assert_eq!(parse(503, Some("0"), None), Advice::Wait(Span(0)));
}

/// Guards against values that are taken for a time although they state none.
#[test]
fn values_that_state_no_time_are_malformed() {
    for value in ["", "soon", "-1", "NaN", "inf", "3 s"] {
        assert_eq!(parse(503, Some(value), None), Advice::Malformed, "{value:?}");
    }
}

/// Guards against clocks that differ: a date counts from the date of its response.
#[test]
fn dates_count_from_the_date_of_the_response() {
    let date = Some("Thu, 01 Jan 2037 00:00:00 GMT");

    let later = parse(503, Some("Thu, 01 Jan 2037 00:00:04 GMT"), date);
    let earlier = parse(503, Some("Wed, 31 Dec 2036 23:00:00 GMT"), date);
    let without = parse(503, Some("Thu, 01 Jan 2037 00:00:04 GMT"), None);

    assert_eq!(later, Advice::Wait(Span::secs(4)));
    assert_eq!(earlier, Advice::Wait(Span(0)));
    assert_eq!(without, Advice::Malformed);
}
