//! Hexadecimal encoding of bytes.

/// Encodes bytes as two lower-case digits each.
pub fn encode(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes an even number of digits, upper or lower case; `None` for any other text.
pub fn decode(text: &str) -> Option<Vec<u8>> {
    let digits: Vec<u8> =
        text.chars().map(|c| c.to_digit(16).map(|digit| digit as u8)).collect::<Option<_>>()?;
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    Some(digits.chunks(2).map(|pair| pair[0] << 4 | pair[1]).collect())
}
