//! Formats numbers for the page, with a fixed number of significant digits.

const SIGNIFICANT_DIGITS: i32 = 4;
/// The maximum number of digits after the decimal point.
const MAX_DECIMALS: i32 = 9;
/// The number of digits between thousands separators.
const DIGITS_PER_GROUP: usize = 3;

/// Formats a number with four significant digits, or with all digits before the decimal point if there are more, and
/// commas between thousands.
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
    let (integer_digits, fraction) = text.split_once('.').unwrap_or((&text, ""));
    let fraction = fraction.trim_end_matches('0');
    let mut formatted = group_digits(integer_digits);
    if !fraction.is_empty() {
        formatted = format!("{formatted}.{fraction}");
    }
    if value < 0.0 && formatted != "0" {
        format!("−{formatted}")
    } else {
        formatted
    }
}

/// Formats a ratio as a signed percentage with one decimal.
pub fn format_percent(ratio: f64) -> String {
    if !ratio.is_finite() {
        return "∞".to_owned();
    }
    let text = format!("{:.1}", ratio.abs() * 100.0);
    let sign = if text == "0.0" {
        ""
    } else if ratio < 0.0 {
        "−"
    } else {
        "+"
    };
    format!("{sign}{text}%")
}

/// Formats a factor, such as `1.79×`.
pub fn format_multiple(factor: f64) -> String {
    if factor >= 100.0 {
        format!("{}×", group_digits(&format!("{factor:.0}")))
    } else {
        format!("{factor:.2}×")
    }
}

fn group_digits(integer_digits: &str) -> String {
    let first_group_len = integer_digits.len() % DIGITS_PER_GROUP;
    let (first_group, remaining) = integer_digits.split_at(first_group_len);
    let mut groups: Vec<&str> = Vec::new();
    if !first_group.is_empty() {
        groups.push(first_group);
    }
    groups.extend(
        (0..remaining.len())
            .step_by(DIGITS_PER_GROUP)
            .map(|at| &remaining[at..at + DIGITS_PER_GROUP]),
    );
    groups.join(",")
}
