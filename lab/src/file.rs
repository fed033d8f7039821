//! Loading of TOML description files. Every error names the file and the key at fault.
use serde::de::DeserializeOwned;
use std::path::Path;

/// Reads a file and parses its text with `parse`; errors are prefixed with the file's name.
pub fn read<T>(path: &Path, parse: impl Fn(&str) -> Result<T, String>) -> Result<T, String> {
    let name = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: cannot read the file: {e}"))?;
    parse(&text).map_err(|e| format!("{name}: {e}"))
}

/// Deserializes TOML text without checking whether the values are consistent with each other.
pub fn decode<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    let reader = toml::Deserializer::parse(text).map_err(|e| e.to_string())?;
    serde_path_to_error::deserialize(reader).map_err(|e| format!("{}: {}", e.path(), e.inner().message()))
}
