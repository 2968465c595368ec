//! Bytes as hexadecimal digits.

/// Two lower-case digits for each byte.
pub fn encode(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The bytes of an even number of digits, in either case; `None` for any other text.
pub fn decode(text: &str) -> Option<Vec<u8>> {
    let digits: Vec<u8> =
        text.chars().map(|c| c.to_digit(16).map(|digit| digit as u8)).collect::<Option<_>>()?;
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    Some(digits.chunks(2).map(|pair| pair[0] << 4 | pair[1]).collect())
}
