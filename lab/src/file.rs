//! Files that describe what is played: TOML, every fault with the file's name and the key.
use serde::de::DeserializeOwned;
use std::path::Path;

/// Reads a file by what parses its text.
pub fn read<T>(path: &Path, parse: impl Fn(&str) -> Result<T, String>) -> Result<T, String> {
    let name = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: cannot read it: {e}"))?;
    parse(&text).map_err(|e| format!("{name}: {e}"))
}

/// Decodes a text; what its values mean together is not checked.
pub fn decode<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    let reader = toml::Deserializer::parse(text).map_err(|e| e.to_string())?;
    serde_path_to_error::deserialize(reader).map_err(|e| format!("{}: {}", e.path(), e.inner().message()))
}
