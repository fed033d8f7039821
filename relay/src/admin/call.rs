//! Parses calls to the admin address.
use actix_http::Method;

/// Longest id of an endpoint; the list contains none longer.
const MAX_ID_LEN: usize = 200;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    Ready,
    Metrics,
    /// The other instances as this one sees them.
    Instances,
    /// The messages queued on disk, for all destinations or for one.
    Backlog {
        destination: Option<u64>,
    },
    /// Disable an endpoint, or enable it again.
    Endpoint {
        id: String,
        disabled: bool,
    },
    Drain,
    Resume,
}

/// Why a call is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidCall {
    UnknownPath,
    /// The path requires this method.
    Method(&'static str),
    /// The id of an endpoint, and why it is invalid.
    Id(&'static str),
    /// The destination is not a number.
    Destination,
}

impl Call {
    pub fn parse(method: &Method, path: &str) -> Result<Call, InvalidCall> {
        let (expected, call) = match path.strip_prefix("/-/") {
            Some("ready") => (Method::GET, Call::Ready),
            Some("metrics") => (Method::GET, Call::Metrics),
            Some("instances") => (Method::GET, Call::Instances),
            Some("drain") => (Method::PUT, Call::Drain),
            Some("resume") => (Method::PUT, Call::Resume),
            Some("backlog") => (Method::GET, Call::Backlog { destination: None }),
            Some(rest) if rest.starts_with("backlog/") => {
                let number = rest.trim_start_matches("backlog/");
                let destination = number.parse().map_err(|_| InvalidCall::Destination)?;
                (Method::GET, Call::Backlog { destination: Some(destination) })
            }
            rest => {
                let endpoint = rest.and_then(|rest| rest.strip_prefix("endpoints/"));
                let (id, action) = endpoint
                    .and_then(|endpoint| endpoint.rsplit_once('/'))
                    .ok_or(InvalidCall::UnknownPath)?;
                let disabled = match action {
                    "disable" => true,
                    "enable" => false,
                    _ => return Err(InvalidCall::UnknownPath),
                };
                (Method::PUT, Call::Endpoint { id: percent_decode(id)?, disabled })
            }
        };
        match method == expected {
            true => Ok(call),
            false if expected == Method::GET => Err(InvalidCall::Method("GET")),
            false => Err(InvalidCall::Method("PUT")),
        }
    }
}

/// Decodes the percent-encoded id of an endpoint in a path.
fn percent_decode(id: &str) -> Result<String, InvalidCall> {
    let mut bytes = Vec::with_capacity(id.len());
    let mut rest = id.bytes();
    while let Some(byte) = rest.next() {
        let mut digit = || rest.next().and_then(|b| char::from(b).to_digit(16));
        bytes.push(match byte {
            b'%' => match (digit(), digit()) {
                (Some(high), Some(low)) => (high * 16 + low) as u8,
                _ => return Err(InvalidCall::Id("a percent sign without two hexadecimal digits")),
            },
            b'/' => return Err(InvalidCall::Id("it has a slash")),
            byte => byte,
        });
    }
    let id = String::from_utf8(bytes).map_err(|_| InvalidCall::Id("it is not UTF-8"))?;
    match id.len() {
        0 => Err(InvalidCall::Id("it is empty")),
        1..=MAX_ID_LEN if !id.chars().any(char::is_control) => Ok(id),
        1..=MAX_ID_LEN => Err(InvalidCall::Id("it has control characters")),
        _ => Err(InvalidCall::Id("it is longer than 200 bytes")),
    }
}

#[cfg(test)]
mod tests;
