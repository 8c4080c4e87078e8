//! Hexadecimal encoding and decoding.

/// Encodes each byte as two lower-case digits.
pub(crate) fn encode(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes hexadecimal text; `None` if it is invalid.
pub(crate) fn decode(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    let starts = (0..text.len()).step_by(2);
    starts
        .map(|start| u8::from_str_radix(&text[start..start + 2], 16).ok())
        .collect()
}
