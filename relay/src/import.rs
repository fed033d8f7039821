//! Converts nginx `upstream` and `location` blocks to the relay's own configuration file.
//!
//! Directives without an equivalent are not approximated: each is reported with its line. Defaults that are used because
//! nginx has no such setting are reported too, and so is invalid input.
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use crate::config::{
    ClassTable, GatewaysTable, LimitsTable, LocationTable, PushTable, RelayConfigFile, Repeat, ServerTable,
    UpstreamTable,
};

/// An nginx directive: its name and arguments, and the directives in its block if it has one.
#[derive(Debug, PartialEq)]
struct Directive {
    line: usize,
    words: Vec<String>,
    block: Option<Vec<Directive>>,
}

/// An error in the input, or something that was not imported. Line 0 stands for the whole file.
#[derive(Debug, PartialEq)]
pub struct Diagnostic {
    pub line: usize,
    pub message: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => f.write_str(&self.message),
            line => write!(f, "line {line}: {}", self.message),
        }
    }
}

fn diagnostic<T: Into<String>>(line: usize, message: T) -> Diagnostic {
    Diagnostic { line, message: message.into() }
}

/// Converts an nginx file. Returns the text of the relay's file, and diagnostics about what was not imported.
pub fn import_file(path: &Path) -> Result<(String, Vec<Diagnostic>), String> {
    let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let text = String::from_utf8(text).map_err(|_| format!("{}: the file is not UTF-8", path.display()))?;
    import_text(&text).map_err(|error| format!("{}: {error}", path.display()))
}

/// Converts the text of an nginx file.
pub fn import_text(text: &str) -> Result<(String, Vec<Diagnostic>), Diagnostic> {
    let directives = parse_block(&mut tokenize(text)?.into_iter(), None, 0)?;
    let mut importer = Importer::default();
    importer.import_block(&directives);
    importer.finish()
}

#[derive(Debug, PartialEq)]
enum Token {
    Word(String),
    BlockStart,
    BlockEnd,
    Semicolon,
}

/// Splits the text into words and punctuation by nginx's rules for whitespace, quotes, escapes and comments.
fn tokenize(text: &str) -> Result<Vec<(usize, Token)>, Diagnostic> {
    let mut tokens = Vec::new();
    let mut line = 1;
    let mut chars = text.chars().peekable();
    while let Some(c) = chars.next() {
        match c {
            '\n' => line += 1,
            c if c.is_whitespace() => {}
            '#' => while chars.next_if(|c| *c != '\n').is_some() {},
            '{' => tokens.push((line, Token::BlockStart)),
            '}' => tokens.push((line, Token::BlockEnd)),
            ';' => tokens.push((line, Token::Semicolon)),
            quote @ ('"' | '\'') => {
                let (start, mut word) = (line, String::new());
                loop {
                    match chars.next() {
                        None => return Err(diagnostic(start, "unterminated quote")),
                        Some(c) if c == quote => break,
                        Some('\\') => word.extend(chars.next()),
                        Some(c) => word.push(c),
                    }
                    line += usize::from(word.ends_with('\n'));
                }
                tokens.push((start, Token::Word(word)));
            }
            c => {
                let mut word = String::new();
                let mut next = Some(c);
                while let Some(c) = next {
                    match c {
                        '\\' => word.extend(chars.next()),
                        // The braces of `${variable}` belong to the word.
                        '$' if chars.peek() == Some(&'{') => {
                            word.push('$');
                            while let Some(c) = chars.next_if(|c| !c.is_whitespace()) {
                                word.push(c);
                                if c == '}' {
                                    break;
                                }
                            }
                        }
                        c => word.push(c),
                    }
                    next = chars.next_if(|c| !c.is_whitespace() && !matches!(c, '{' | '}' | ';'));
                }
                tokens.push((line, Token::Word(word)));
            }
        }
    }
    Ok(tokens)
}

/// Maximum nesting of blocks. Real configurations are not nested deeper, and parsing must not exhaust the stack.
const MAX_DEPTH: usize = 32;

/// Parses directives up to the end of the block that was opened on line `opened_at`, or of the file if it is `None`.
fn parse_block(
    tokens: &mut std::vec::IntoIter<(usize, Token)>,
    opened_at: Option<usize>,
    depth: usize,
) -> Result<Vec<Directive>, Diagnostic> {
    let mut directives = Vec::new();
    let mut words: Vec<String> = Vec::new();
    let mut start = 0;
    while let Some((line, token)) = tokens.next() {
        match token {
            Token::Word(word) => {
                start = if words.is_empty() { line } else { start };
                words.push(word);
            }
            Token::Semicolon | Token::BlockStart if words.is_empty() => {
                return Err(diagnostic(line, "directive without a name"));
            }
            Token::BlockStart if depth == MAX_DEPTH => {
                return Err(diagnostic(line, "blocks are nested too deeply"));
            }
            Token::Semicolon => {
                directives.push(Directive { line: start, words: std::mem::take(&mut words), block: None });
            }
            Token::BlockStart => {
                let inner = parse_block(tokens, Some(line), depth + 1)?;
                directives.push(Directive {
                    line: start,
                    words: std::mem::take(&mut words),
                    block: Some(inner),
                });
            }
            Token::BlockEnd if !words.is_empty() => {
                return Err(diagnostic(start, "directive is not terminated by ';'"));
            }
            Token::BlockEnd if opened_at.is_none() => return Err(diagnostic(line, "unmatched '}'")),
            Token::BlockEnd => return Ok(directives),
        }
    }
    match opened_at {
        _ if !words.is_empty() => Err(diagnostic(start, "directive is not terminated by ';'")),
        Some(line) => Err(diagnostic(line, "unclosed '{'")),
        None => Ok(directives),
    }
}

/// Defaults of settings that nginx does not have.
const DEFAULT_CLASS: &str = "message";
const DEFAULT_LISTEN: &str = "127.0.0.1:8480";
const DEFAULT_NOTICES: &str = "127.0.0.1:8481";
const DEFAULT_STATE: &str = "state/push";

#[derive(Default)]
struct Importer {
    listen: Option<String>,
    body_limit: Option<usize>,
    dial_timeout: Option<Duration>,
    upstreams: Vec<UpstreamTable>,
    locations: Vec<LocationTable>,
    diagnostics: Vec<Diagnostic>,
}

impl Importer {
    fn report(&mut self, line: usize, message: impl Into<String>) {
        self.diagnostics.push(diagnostic(line, message));
    }

    fn not_imported(&mut self, directive: &Directive, reason: &str) {
        self.report(directive.line, format!("'{}' is not imported: {reason}", directive.words.join(" ")));
    }

    /// Imports the directives at the top level, in `http` or in a `server` block.
    fn import_block(&mut self, directives: &[Directive]) {
        for directive in directives {
            let words: Vec<&str> = directive.words.iter().map(String::as_str).collect();
            match (&words[..], &directive.block) {
                (["http"] | ["server"], Some(inner)) => self.import_block(inner),
                (["upstream", name], Some(inner)) => self.import_upstream(directive.line, name, inner),
                (["location", pattern @ ..], Some(inner)) => self.import_location(directive, pattern, inner),
                (["listen", address, options @ ..], None) => self.import_listen(directive, address, options),
                _ => self.import_common(directive),
            }
        }
    }

    /// Imports or reports a directive that may occur at any level.
    fn import_common(&mut self, directive: &Directive) {
        let words: Vec<&str> = directive.words.iter().map(String::as_str).collect();
        match &words[..] {
            ["client_max_body_size", size] => match parse_size(size) {
                Some(size) => self.body_limit = self.body_limit.max(Some(size)),
                None => self.not_imported(directive, "not a size, or unlimited"),
            },
            ["proxy_connect_timeout" | "grpc_connect_timeout", time] => match parse_duration(time) {
                Some(time) => self.dial_timeout = self.dial_timeout.max(Some(time)),
                None => self.not_imported(directive, "not a time"),
            },
            ["include", ..] => {
                self.not_imported(directive, "included files are not read; import them separately")
            }
            ["proxy_next_upstream" | "proxy_next_upstream_tries" | "proxy_next_upstream_timeout", ..] => {
                self.not_imported(
                    directive,
                    "the decision module and the 'repeat' of a class determine what is retried",
                );
            }
            ["proxy_read_timeout" | "proxy_send_timeout" | "grpc_read_timeout" | "grpc_send_timeout", ..] => {
                self.not_imported(directive, "the decision module determines the timeouts of calls");
            }
            _ => self.not_imported(directive, "there is no equivalent"),
        }
    }

    fn import_listen(&mut self, directive: &Directive, address: &str, options: &[&str]) {
        let address = match address.parse::<u16>() {
            Ok(port) => format!("0.0.0.0:{port}"),
            Err(_) => address.replacen("*:", "0.0.0.0:", 1),
        };
        for option in options.iter().filter(|o| **o != "http2") {
            self.report(
                directive.line,
                format!("'{option}' of listen is not imported: there is no equivalent"),
            );
        }
        if address.parse::<SocketAddr>().is_err() {
            self.not_imported(directive, "an address with a port is needed");
        } else if self.listen.as_ref().is_some_and(|listen| *listen != address) {
            self.not_imported(directive, "the push front listens only on the first address");
        } else {
            self.listen = Some(address);
        }
    }

    fn import_upstream(&mut self, line: usize, name: &str, directives: &[Directive]) {
        let mut servers = Vec::new();
        for directive in directives {
            let words: Vec<&str> = directive.words.iter().map(String::as_str).collect();
            match &words[..] {
                ["server", address, ..] if address.starts_with("unix:") => {
                    self.not_imported(directive, "only TCP is supported");
                }
                ["server", _, options @ ..] if options.contains(&"backup") => {
                    self.not_imported(directive, "backup servers are not supported; the server is omitted");
                }
                ["server", address, options @ ..] => {
                    for option in options.iter().filter(|o| **o != "down") {
                        let message = format!(
                            "'{option}' of server is not imported: the decision module assesses servers itself"
                        );
                        self.report(directive.line, message);
                    }
                    servers.push(ServerTable {
                        address: with_port(address),
                        draining: options.contains(&"down"),
                    });
                }
                _ => self.not_imported(
                    directive,
                    "the decision module selects servers, and connections are pooled by the relay",
                ),
            }
        }
        if self.upstreams.iter().any(|u| u.name == name) {
            self.report(line, format!("upstream '{name}' is omitted: the name is already in use"));
        } else if servers.is_empty() {
            self.report(line, format!("upstream '{name}' is omitted: it has no servers"));
        } else {
            self.upstreams.push(UpstreamTable { name: name.into(), rate: None, tls: None, servers });
        }
    }

    fn import_location(&mut self, directive: &Directive, pattern: &[&str], directives: &[Directive]) {
        let (path, exact) = match pattern {
            ["=", path] => (*path, true),
            ["^~", path] | [path] => (*path, false),
            _ => ("", false),
        };
        let mut proxy_pass = None;
        for inner in directives {
            let words: Vec<&str> = inner.words.iter().map(String::as_str).collect();
            match (&words[..], &inner.block) {
                (["location", pattern @ ..], Some(nested)) => self.import_location(inner, pattern, nested),
                (["proxy_pass" | "grpc_pass", url], None) => proxy_pass = Some((inner, url.to_string())),
                _ => self.import_common(inner),
            }
        }
        if !path.starts_with('/') {
            return self.not_imported(directive, "only exact paths and path prefixes are supported");
        }
        let Some((inner, url)) = proxy_pass else {
            return self.not_imported(directive, "it has no proxy_pass or grpc_pass");
        };
        let host = url.strip_prefix("http://").or_else(|| url.strip_prefix("grpc://"));
        let Some(host) = host.filter(|h| !h.contains('$') && !h.starts_with("unix:")) else {
            return self.not_imported(
                inner,
                "only http:// or grpc:// to a fixed host is supported; the location is omitted",
            );
        };
        let (upstream, target) = match host.find('/') {
            Some(at) => (&host[..at], Some(host[at..].to_owned())),
            None => (host, None),
        };
        if self.locations.iter().any(|l| (l.path.as_str(), l.exact) == (path, exact)) {
            return self.not_imported(directive, "another location has the same path");
        }
        let upstream = upstream.to_owned();
        self.locations.push(LocationTable {
            path: path.into(),
            exact,
            target,
            upstream,
            class: DEFAULT_CLASS.into(),
            urgency: std::collections::BTreeMap::new(),
        });
    }

    /// Generates the file, after all upstreams have been read.
    fn finish(mut self) -> Result<(String, Vec<Diagnostic>), Diagnostic> {
        for location in &self.locations {
            let host = &location.upstream;
            if !self.upstreams.iter().any(|u| u.name == *host) {
                // Like nginx, treats a host that names no upstream as an address.
                let server = ServerTable { address: with_port(host), draining: false };
                self.upstreams.push(UpstreamTable {
                    name: host.clone(),
                    rate: None,
                    tls: None,
                    servers: vec![server],
                });
            }
        }
        if self.locations.is_empty() {
            return Err(diagnostic(0, "there is no location that can be imported"));
        }
        if self.listen.is_none() {
            self.report(0, format!("push.listen is set to {DEFAULT_LISTEN}: there is no 'listen'"));
        }
        self.report(
            0,
            format!("push.notices is set to {DEFAULT_NOTICES} and push.state to '{DEFAULT_STATE}': nginx has no equivalent"),
        );
        self.report(
            0,
            format!(
                "every location has class '{DEFAULT_CLASS}', whose messages are never repeated once they may have run: see 'repeat'"
            ),
        );
        let limits = LimitsTable::default();
        let dial_timeout_ms = self.dial_timeout.map_or(limits.dial_timeout_ms, |t| t.as_millis() as u64);
        let file = RelayConfigFile {
            instances: None,
            backlog: None,
            admin: None,
            push: Some(PushTable {
                listen: self.listen.unwrap_or(DEFAULT_LISTEN.into()),
                notices: DEFAULT_NOTICES.into(),
                state: DEFAULT_STATE.into(),
                disk_mb: 64.0,
                // The default of nginx.
                body_limit: self.body_limit.unwrap_or(1024 * 1024),
                connections: 256,
                tls: None,
                clear_text: false,
            }),
            hook: None,
            idle: None,
            limits: LimitsTable { dial_timeout_ms, ..limits },
            gateways: GatewaysTable::default(),
            classes: vec![ClassTable {
                name: DEFAULT_CLASS.into(),
                aim_ms: 4000,
                give_up_ms: 28_000,
                repeat: Repeat::Never,
                worth: 1.0,
                late_worth: 0.3,
            }],
            upstreams: self.upstreams,
            locations: self.locations,
        };
        let text = toml::to_string(&file).map_err(|e| diagnostic(0, e.to_string()))?;
        // The generated file must be valid. It may still fail here if a host name resolves only on another machine.
        if let Err(error) = crate::config::parse_relay_config(&text) {
            self.diagnostics.push(diagnostic(0, format!("the file is not valid on this machine: {error}")));
        }
        Ok((text, self.diagnostics))
    }
}

fn with_port(host: &str) -> String {
    let has_port = host.rsplit_once(':').is_some_and(|(_, port)| port.parse::<u16>().is_ok());
    if has_port { host.into() } else { format!("{host}:80") }
}

/// Parses a size in nginx notation; `None` if it is invalid or 0, which means unlimited.
fn parse_size(text: &str) -> Option<usize> {
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let factor = match &text[digits.len()..] {
        "" => 1,
        "k" | "K" => 1 << 10,
        "m" | "M" => 1 << 20,
        "g" | "G" => 1 << 30,
        _ => return None,
    };
    digits.parse::<usize>().ok()?.checked_mul(factor).filter(|size| *size > 0)
}

/// Parses a time in nginx notation: one number with a unit, by default seconds.
fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let number: u64 = digits.parse().ok()?;
    let millis = match &text[digits.len()..] {
        "ms" => 1,
        "" | "s" => 1000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return None,
    };
    number.checked_mul(millis).filter(|ms| *ms > 0).map(Duration::from_millis)
}

#[cfg(test)]
mod tests;
