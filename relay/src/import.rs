//! Takes nginx `upstream` and `location` blocks over into the relay's own file.
//!
//! What has no counterpart is not guessed at: each such directive is told with its line. So are the defaults
//! that stand where nginx says nothing, and input that is broken.
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use crate::config::{
    ClassTable, GatewaysTable, LimitsTable, LocationTable, PushTable, RelayConfigFile, Repeat, ServerTable,
    UpstreamTable,
};

/// A directive: its words, and the directives in its block if it has one.
#[derive(Debug, PartialEq)]
struct Directive {
    line: usize,
    words: Vec<String>,
    block: Option<Vec<Directive>>,
}

/// A fault in the input, or something that was not carried over. Line 0 stands for the file as a whole.
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

fn remark<T: Into<String>>(line: usize, what: T) -> Diagnostic {
    Diagnostic { line, message: what.into() }
}

/// Reads a file; gives the text of ours and what was not carried over.
pub fn import_file(path: &Path) -> Result<(String, Vec<Diagnostic>), String> {
    let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let text = String::from_utf8(text).map_err(|_| format!("{}: it is not UTF-8", path.display()))?;
    import_text(&text).map_err(|fault| format!("{}: {fault}", path.display()))
}

/// The same from the file's text.
pub fn import_text(text: &str) -> Result<(String, Vec<Diagnostic>), Diagnostic> {
    let directives = block(&mut tokens(text)?.into_iter(), None, 0)?;
    let mut import = Import::default();
    import.level(&directives);
    import.finish()
}

#[derive(Debug, PartialEq)]
enum Token {
    Word(String),
    Open,
    Close,
    End,
}

/// Splits into words and punctuation, by nginx's rules for blanks, quotes, escapes and comments.
fn tokens(text: &str) -> Result<Vec<(usize, Token)>, Diagnostic> {
    let mut tokens = Vec::new();
    let mut line = 1;
    let mut chars = text.chars().peekable();
    while let Some(c) = chars.next() {
        match c {
            '\n' => line += 1,
            c if c.is_whitespace() => {}
            '#' => while chars.next_if(|c| *c != '\n').is_some() {},
            '{' => tokens.push((line, Token::Open)),
            '}' => tokens.push((line, Token::Close)),
            ';' => tokens.push((line, Token::End)),
            quote @ ('"' | '\'') => {
                let (start, mut word) = (line, String::new());
                loop {
                    match chars.next() {
                        None => return Err(remark(start, "a quote is not closed")),
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
                        // A variable's braces belong to the word.
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

/// Deeper nesting is no configuration, and reading it must not use the stack up.
const DEEPEST: usize = 32;

/// Reads directives up to the end of the block that was opened on a line, or of the file.
fn block(
    tokens: &mut std::vec::IntoIter<(usize, Token)>,
    opened: Option<usize>,
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
            Token::End | Token::Open if words.is_empty() => {
                return Err(remark(line, "a directive has no name"));
            }
            Token::Open if depth == DEEPEST => return Err(remark(line, "blocks are nested too deep")),
            Token::End => {
                directives.push(Directive { line: start, words: std::mem::take(&mut words), block: None });
            }
            Token::Open => {
                let inner = block(tokens, Some(line), depth + 1)?;
                directives.push(Directive {
                    line: start,
                    words: std::mem::take(&mut words),
                    block: Some(inner),
                });
            }
            Token::Close if !words.is_empty() => return Err(remark(start, "a directive has no ';'")),
            Token::Close if opened.is_none() => return Err(remark(line, "a '}' closes nothing")),
            Token::Close => return Ok(directives),
        }
    }
    match opened {
        _ if !words.is_empty() => Err(remark(start, "a directive has no ';'")),
        Some(line) => Err(remark(line, "a '{' is not closed")),
        None => Ok(directives),
    }
}

/// What stands where nginx has no counterpart.
const CLASS: &str = "message";
const LISTEN: &str = "127.0.0.1:8480";
const NOTICES: &str = "127.0.0.1:8481";
const STATE: &str = "state/push";

#[derive(Default)]
struct Import {
    listen: Option<String>,
    body_limit: Option<usize>,
    dial_timeout: Option<Duration>,
    upstreams: Vec<UpstreamTable>,
    locations: Vec<LocationTable>,
    remarks: Vec<Diagnostic>,
}

impl Import {
    fn note(&mut self, line: usize, what: impl Into<String>) {
        self.remarks.push(remark(line, what));
    }

    fn not_carried(&mut self, directive: &Directive, why: &str) {
        self.note(directive.line, format!("'{}' is not carried over: {why}", directive.words.join(" ")));
    }

    /// The directives of the file, of `http` or of a `server`.
    fn level(&mut self, directives: &[Directive]) {
        for directive in directives {
            let words: Vec<&str> = directive.words.iter().map(String::as_str).collect();
            match (&words[..], &directive.block) {
                (["http"] | ["server"], Some(inner)) => self.level(inner),
                (["upstream", name], Some(inner)) => self.upstream(directive.line, name, inner),
                (["location", place @ ..], Some(inner)) => self.location(directive, place, inner),
                (["listen", address, options @ ..], None) => self.listen(directive, address, options),
                _ => self.shared(directive),
            }
        }
    }

    /// What may stand at any level.
    fn shared(&mut self, directive: &Directive) {
        let words: Vec<&str> = directive.words.iter().map(String::as_str).collect();
        match &words[..] {
            ["client_max_body_size", size] => match bytes(size) {
                Some(size) => self.body_limit = self.body_limit.max(Some(size)),
                None => self.not_carried(directive, "it is no size, or no limit at all"),
            },
            ["proxy_connect_timeout" | "grpc_connect_timeout", time] => match span(time) {
                Some(time) => self.dial_timeout = self.dial_timeout.max(Some(time)),
                None => self.not_carried(directive, "it is no time"),
            },
            ["include", ..] => {
                self.not_carried(directive, "included files are not read; import them by themselves")
            }
            ["proxy_next_upstream" | "proxy_next_upstream_tries" | "proxy_next_upstream_timeout", ..] => {
                self.not_carried(
                    directive,
                    "the decision module and a class's 'repeat' say what is tried again",
                );
            }
            ["proxy_read_timeout" | "proxy_send_timeout" | "grpc_read_timeout" | "grpc_send_timeout", ..] => {
                self.not_carried(directive, "the decision module says how long a call may take");
            }
            _ => self.not_carried(directive, "it has no counterpart"),
        }
    }

    fn listen(&mut self, directive: &Directive, address: &str, options: &[&str]) {
        let address = match address.parse::<u16>() {
            Ok(port) => format!("0.0.0.0:{port}"),
            Err(_) => address.replacen("*:", "0.0.0.0:", 1),
        };
        for option in options.iter().filter(|o| **o != "http2") {
            self.note(
                directive.line,
                format!("'{option}' of listen is not carried over: it has no counterpart"),
            );
        }
        if address.parse::<SocketAddr>().is_err() {
            self.not_carried(directive, "an address with its port is needed");
        } else if self.listen.as_ref().is_some_and(|listen| *listen != address) {
            self.not_carried(directive, "the front listens on one address, the first");
        } else {
            self.listen = Some(address);
        }
    }

    fn upstream(&mut self, line: usize, name: &str, directives: &[Directive]) {
        let mut servers = Vec::new();
        for directive in directives {
            let words: Vec<&str> = directive.words.iter().map(String::as_str).collect();
            match &words[..] {
                ["server", address, ..] if address.starts_with("unix:") => {
                    self.not_carried(directive, "only TCP is spoken");
                }
                ["server", _, options @ ..] if options.contains(&"backup") => {
                    self.not_carried(directive, "there are no backup servers; it is left out");
                }
                ["server", address, options @ ..] => {
                    for option in options.iter().filter(|o| **o != "down") {
                        let what =
                            format!("'{option}' of server is not carried over: the decision module judges");
                        self.note(directive.line, what);
                    }
                    servers.push(ServerTable {
                        address: with_port(address),
                        draining: options.contains(&"down"),
                    });
                }
                _ => self.not_carried(directive, "the decision module chooses, and keeps connections itself"),
            }
        }
        if self.upstreams.iter().any(|u| u.name == name) {
            self.note(line, format!("upstream '{name}' is left out: there is one of that name"));
        } else if servers.is_empty() {
            self.note(line, format!("upstream '{name}' is left out: it has no server"));
        } else {
            self.upstreams.push(UpstreamTable { name: name.into(), rate: None, tls: None, servers });
        }
    }

    fn location(&mut self, directive: &Directive, place: &[&str], directives: &[Directive]) {
        let (path, exact) = match place {
            ["=", path] => (*path, true),
            ["^~", path] | [path] => (*path, false),
            _ => ("", false),
        };
        let mut pass = None;
        for inner in directives {
            let words: Vec<&str> = inner.words.iter().map(String::as_str).collect();
            match (&words[..], &inner.block) {
                (["location", place @ ..], Some(deeper)) => self.location(inner, place, deeper),
                (["proxy_pass" | "grpc_pass", url], None) => pass = Some((inner, url.to_string())),
                _ => self.shared(inner),
            }
        }
        if !path.starts_with('/') {
            return self.not_carried(directive, "only paths are, whole or by their beginning");
        }
        let Some((inner, url)) = pass else {
            return self.not_carried(directive, "it passes nothing on");
        };
        let host = url.strip_prefix("http://").or_else(|| url.strip_prefix("grpc://"));
        let Some(host) = host.filter(|h| !h.contains('$') && !h.starts_with("unix:")) else {
            return self
                .not_carried(inner, "only plain http:// to a fixed host is; its location is left out");
        };
        let (upstream, target) = match host.find('/') {
            Some(at) => (&host[..at], Some(host[at..].to_owned())),
            None => (host, None),
        };
        if self.locations.iter().any(|l| (l.path.as_str(), l.exact) == (path, exact)) {
            return self.not_carried(directive, "there is one with this path");
        }
        let upstream = upstream.to_owned();
        self.locations.push(LocationTable {
            path: path.into(),
            exact,
            target,
            upstream,
            class: CLASS.into(),
            urgency: std::collections::BTreeMap::new(),
        });
    }

    /// Puts the file together, once all upstreams are known.
    fn finish(mut self) -> Result<(String, Vec<Diagnostic>), Diagnostic> {
        for location in &self.locations {
            let host = &location.upstream;
            if !self.upstreams.iter().any(|u| u.name == *host) {
                // nginx, too, takes a host that names no upstream for an address.
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
            return Err(remark(0, "no location can be carried over"));
        }
        if self.listen.is_none() {
            self.note(0, format!("push.listen is {LISTEN}: no 'listen' says otherwise"));
        }
        self.note(
            0,
            format!("push.notices is {NOTICES} and push.state is '{STATE}': nginx has no counterpart"),
        );
        self.note(
            0,
            format!(
                "every location is of class '{CLASS}', never repeated once it may have run: see 'repeat'"
            ),
        );
        let limits = LimitsTable::default();
        let dial_timeout_ms = self.dial_timeout.map_or(limits.dial_timeout_ms, |t| t.as_millis() as u64);
        let file = RelayConfigFile {
            instances: None,
            backlog: None,
            admin: None,
            push: Some(PushTable {
                listen: self.listen.unwrap_or(LISTEN.into()),
                notices: NOTICES.into(),
                state: STATE.into(),
                disk_mb: 64.0,
                // nginx's own default.
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
                name: CLASS.into(),
                aim_ms: 4000,
                give_up_ms: 28_000,
                repeat: Repeat::Never,
                worth: 1.0,
                late_worth: 0.3,
            }],
            upstreams: self.upstreams,
            locations: self.locations,
        };
        let text = toml::to_string(&file).map_err(|e| remark(0, e.to_string()))?;
        // What the importer writes, the front must be able to run; a name may resolve elsewhere only.
        if let Err(fault) = crate::config::parse_relay_config(&text) {
            self.remarks.push(remark(0, format!("on this machine the file cannot be run: {fault}")));
        }
        Ok((text, self.remarks))
    }
}

fn with_port(host: &str) -> String {
    let has_port = host.rsplit_once(':').is_some_and(|(_, port)| port.parse::<u16>().is_ok());
    if has_port { host.into() } else { format!("{host}:80") }
}

/// A size as nginx writes it; `None` for 0, which means any.
fn bytes(text: &str) -> Option<usize> {
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

/// A time as nginx writes it: one number with its unit, seconds if there is none.
fn span(text: &str) -> Option<Duration> {
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
