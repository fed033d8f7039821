//! Decodes JSON from outside the relay, with errors that name the key.
use serde::Deserialize;

/// Decodes JSON; an error names the path of the key at fault.
pub fn decode<'a, T: Deserialize<'a>>(text: &'a [u8]) -> Result<T, String> {
    serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_slice(text)).map_err(|e| {
        let path = e.path().to_string();
        if path == "." { e.inner().to_string() } else { format!("{path}: {}", e.inner()) }
    })
}
