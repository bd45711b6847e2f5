//! `Retry-After` as defined by HTTP: a number of seconds or a date. Fractions of seconds are
//! accepted too.

/// The longest wait that any of `values` requests, in milliseconds; `None` if none of them is valid
/// and above 0. A date is compared with `date`, the time at which the answer was made, since the
/// local clock may differ from the sender's.
pub fn read_retry_after<'a>(
    values: impl Iterator<Item = &'a str>,
    date: Option<&str>,
) -> Option<u64> {
    let waits = values.filter_map(|value| read_seconds(value).or_else(|| read_until(value, date)));
    waits.max().filter(|wait_ms| *wait_ms > 0)
}

/// Parses a number of seconds. Only digits and a point are accepted, so that words such as `inf`
/// and signs are not parsed as numbers. A number that exceeds the range of milliseconds gives the
/// largest one.
fn read_seconds(value: &str) -> Option<u64> {
    let value = value.trim();
    let plain = value.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let seconds = value.parse::<f64>().ok().filter(|_| plain)?;
    Some((seconds * 1000.0).ceil() as u64)
}

fn read_until(value: &str, date: Option<&str>) -> Option<u64> {
    let until = httpdate::parse_http_date(value.trim()).ok()?;
    let made = httpdate::parse_http_date(date?.trim()).ok()?;
    let wait = until.duration_since(made).unwrap_or_default();
    u64::try_from(wait.as_millis()).ok()
}
