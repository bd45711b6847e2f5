//! `Retry-After`, as HTTP has it: a number of seconds, or a date. Fractions of seconds are read too.

/// The wait that is asked for, in milliseconds: the longest of `values`. `date` is when the answer says
/// that it was made, since our own time of day may be another. `None` where nothing readable asks for any.
pub fn read_retry_after<'a>(
    values: impl Iterator<Item = &'a str>,
    date: Option<&str>,
) -> Option<u64> {
    let waits = values.filter_map(|value| read_seconds(value).or_else(|| read_until(value, date)));
    waits.max().filter(|wait_ms| *wait_ms > 0)
}

/// Digits alone, so that no word and no sign passes for a number; what no count of milliseconds holds is the
/// largest.
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
