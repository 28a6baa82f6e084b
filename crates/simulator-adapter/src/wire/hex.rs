//! Encoding of bytes as pairs of hexadecimal digits.

/// Decodes pairs of hexadecimal digits; none if the text is not valid.
pub(super) fn decode(text: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u8>> = text
        .chars()
        .map(|c| c.to_digit(16).map(|digit| digit as u8))
        .collect();
    let digits = digits.filter(|digits| digits.len() % 2 == 0)?;
    let pairs = digits.chunks(2);
    Some(pairs.map(|pair| pair[0] << 4 | pair[1]).collect())
}

pub(super) fn encode(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
