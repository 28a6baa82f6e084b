//! Figures as text, always with the same digits.

/// Digits that count.
const SIGNIFICANT_DIGITS: i32 = 4;
/// The most digits behind the point.
const MAX_DECIMALS: i32 = 9;
/// Digits between separators.
const DIGITS_PER_GROUP: usize = 3;

/// A figure with four digits that count, or all digits before the point, and a comma between thousands.
pub fn format_figure(value: f64) -> String {
    if !value.is_finite() {
        return "∞".to_owned();
    }
    if value == 0.0 {
        return "0".to_owned();
    }
    let magnitude = value.abs().log10().floor() as i32;
    let decimals = (SIGNIFICANT_DIGITS - 1 - magnitude).clamp(0, MAX_DECIMALS) as usize;
    let text = format!("{:.decimals$}", value.abs());
    let (whole, part) = text.split_once('.').unwrap_or((&text, ""));
    let part = part.trim_end_matches('0');
    let mut written = group_digits(whole);
    if !part.is_empty() {
        written = format!("{written}.{part}");
    }
    if value < 0.0 && written != "0" {
        format!("−{written}")
    } else {
        written
    }
}

/// A part of a whole as percent with one digit behind the point and its sign.
pub fn format_percent(part: f64) -> String {
    if !part.is_finite() {
        return "∞".to_owned();
    }
    let text = format!("{:.1}", part.abs() * 100.0);
    let sign = if text == "0.0" {
        ""
    } else if part < 0.0 {
        "−"
    } else {
        "+"
    };
    format!("{sign}{text}%")
}

/// How often something goes into something else.
pub fn format_multiple(factor: f64) -> String {
    if factor >= 100.0 {
        format!("{}×", group_digits(&format!("{factor:.0}")))
    } else {
        format!("{factor:.2}×")
    }
}

fn group_digits(whole: &str) -> String {
    let first = whole.len() % DIGITS_PER_GROUP;
    let (head, tail) = whole.split_at(first);
    let mut groups: Vec<&str> = Vec::new();
    if !head.is_empty() {
        groups.push(head);
    }
    groups.extend(
        (0..tail.len())
            .step_by(DIGITS_PER_GROUP)
            .map(|at| &tail[at..at + DIGITS_PER_GROUP]),
    );
    groups.join(",")
}
