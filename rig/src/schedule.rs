//! The schedule file: which processes run, which faults are injected, and what is expected. This module parses and checks it. Every
//! error names the key at fault.
use onyxglade_lab::arrivals::Load;
use onyxglade_lab::experiment::{Event, Expectation, Experiment, Front, ListTable, Partners, RelayTable};
use onyxglade_lab::file;
use onyxglade_lab::model::Trouble;
use onyxglade_lab::service::Costs;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

use crate::hard_clients::HardClients;
use crate::idle_clients::IdleClients;
use crate::system_faults::{Call, Failure, SystemFault};

/// A schedule.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    pub name: String,
    /// Purpose of the schedule, for the report.
    #[serde(default)]
    pub about: String,
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// How long messages are submitted, in seconds, from when every process has been ready once.
    pub seconds: f64,
    #[serde(default)]
    pub start: Start,
    #[serde(default)]
    pub relay: RelayTable,
    pub partners: Vec<Partners>,
    pub load: Load,
    /// Cost of calls to the list service.
    #[serde(default)]
    pub service: Costs,
    /// Idle clients of each relay.
    #[serde(rename = "crowd", default, skip_serializing_if = "is_zero")]
    pub idle_clients: IdleClients,
    /// Clients of one relay that send slowly, in part, or without a pause.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hard_clients: Option<HardClients>,
    /// The destination on whose messages every relay's hook script loops for ever; there is no script if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub looping_script: Option<usize>,
    /// How relays exchange membership with one another; they don't if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instances: Option<Instances>,
    /// Named groups of relays: `half = "r0-r149"`.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub groups: BTreeMap<String, String>,
    #[serde(rename = "fault", default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
    #[serde(rename = "expect", default, skip_serializing_if = "Vec::is_empty")]
    pub expectations: Vec<Expectation>,
}

/// How the processes start.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Start {
    /// Seconds over which the starts are spread.
    pub over_s: f64,
    /// The list that relays have when they first start.
    pub known: KnownList,
    /// The relays that have this list; the others have none.
    pub known_by: String,
    /// Whether messages begin only once every relay has the list, for comparison with a cold start.
    pub warm: bool,
    /// Percentage of relays that run the previous version's program, which the command line must name.
    pub before_in_100: u32,
}

impl Default for Start {
    fn default() -> Self {
        Start {
            over_s: 0.5,
            known: KnownList::Nothing,
            known_by: all_relays(),
            warm: false,
            before_in_100: 0,
        }
    }
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum KnownList {
    Nothing,
    /// The current list.
    List,
    /// A list from a week ago, in which every address now belongs to another endpoint.
    Old,
}

/// How relays exchange membership with one another.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Instances {
    /// The number of relays, from r0 on, that are the seeds of all.
    pub seeds: usize,
    /// Zones, assigned to the relays round-robin.
    pub zones: Vec<String>,
    /// Whether relays pass lists to one another.
    pub lists: bool,
    /// Whether limits are divided among the members.
    pub shares: bool,
}

impl Default for Instances {
    fn default() -> Self {
        Instances { seeds: 3, zones: Vec::new(), lists: false, shares: false }
    }
}

/// A fault, with its time and duration.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Seconds from the start of the first process.
    pub at_s: f64,
    /// Duration in seconds; until the end of the run if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub for_s: Option<f64>,
    pub kind: FaultKind,
    /// Which relays: `all`, `r7`, `r0-r9`, `70%` (the first of them), a group's name, several with commas.
    #[serde(default = "all_relays")]
    pub relays: String,
    /// The link concerned, for faults of links.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub link: Option<LinkTo>,
    /// The relays at the other end of a link between relays; all others if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers: Option<String>,
    /// Share of datagrams that a lossy link drops, or of requests that a repeating link loses.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub lose: f64,
    /// Delay of a slow link, in milliseconds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub delay_ms: u64,
    /// Upper bound of a slow link's random extra delay, in milliseconds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub jitter_ms: u64,
    /// Throughput of a slow link, in bytes per second; 0 is unlimited.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub bytes_per_s: u64,
    /// Bytes from the far side after which a connection is torn, or bytes of a torn write that are still written.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub after_bytes: u64,
    /// What an ended process finds in its state folder when it is restarted, after `for_s`.
    #[serde(default)]
    pub folder: StateFolder,
    /// Seconds over which restarts are spread.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub back_over_s: Option<f64>,
    /// A busy list service accepts one call in this many, one system call in this many fails (0 means every call), or one answer in
    /// this many is repeated.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub one_in: u32,
    /// The system call that fails.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub call: Option<Call>,
    /// The error that the call reports.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failure: Option<Failure>,
    /// Whether a write writes half of its bytes before the call for the rest fails.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub half: bool,
    /// Whether the copies of a repeating link end at a random byte.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub torn: bool,
    /// Step of the wall clock in seconds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub step_s: i64,
    /// The destination concerned, for a partner's trouble.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub dest: Option<usize>,
    /// The partner's trouble.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub trouble: Option<Event>,
}

/// Kind of fault.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A link carries nothing in either direction.
    Cut,
    /// A link carries nothing from the relays to the peer.
    CutTo,
    /// A link carries nothing from the peer to the relays.
    CutFrom,
    /// A link refuses connections and resets open ones.
    Refuse,
    /// A link resets its open connections.
    Reset,
    /// Connections of a link are reset after `after_bytes`.
    Tear,
    /// The far side of a link's connections vanishes without a FIN or RST; the near side stays open.
    Stuck,
    /// A link is slow; its jitter reorders datagrams.
    Slow,
    /// A link between relays drops datagrams.
    Lossy,
    /// A link delivers one answer in `one_in` twice: the copy comes `delay_ms` later, and up to `jitter_ms` more. A share `lose` of the
    /// requests on it vanishes.
    Repeat,
    /// SIGKILL.
    Kill,
    /// SIGTERM, and SIGKILL after 3.7 s if the process still runs.
    Term,
    /// SIGSTOP, and SIGCONT at the end.
    Stop,
    /// SIGHUP.
    Hup,
    /// The program is started a second time beside the running process, in the same state folder. It has to end by itself, saying that
    /// the folder is in use.
    SecondStart,
    /// A system call of the processes fails.
    Call,
    /// The process is killed after `after_bytes` of its next write to the state folder, or after `for_s` if it writes nothing. It is
    /// restarted 0.6 s later.
    TornWrite,
    /// The processes' wall clocks are stepped by `step_s`, and back at the end.
    Clock,
    /// The list service is down.
    ListDown,
    /// The list service accepts one call in `one_in` and rejects the others.
    ListBusy,
    /// The list service loses its state and numbers generations from 1 again.
    ListForgets,
    /// The list service sends some relays a generation that never existed.
    ListLies,
    /// The list service publishes the whole list again, with other weights.
    ListChanges,
    /// A partner is in trouble.
    Partner,
}

impl FaultKind {
    pub fn is_link(self) -> bool {
        use FaultKind::*;
        matches!(self, Cut | CutTo | CutFrom | Refuse | Reset | Tear | Stuck | Slow | Lossy | Repeat)
    }

    pub fn ends_process(self) -> bool {
        matches!(self, FaultKind::Kill | FaultKind::Term)
    }

    /// Whether the shim injects it.
    pub fn needs_shim(self) -> bool {
        matches!(self, FaultKind::Call | FaultKind::TornWrite | FaultKind::Clock)
    }
}

/// A relay's links.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum LinkTo {
    List,
    Endpoints,
    Submitters,
    /// Datagrams and connections between relays.
    Instances,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum StateFolder {
    #[default]
    Kept,
    Emptied,
    /// As it was when the process last started.
    Earlier,
}

impl Fault {
    /// A fault with a time and a kind, and defaults for everything else.
    pub fn new(at_s: f64, kind: FaultKind) -> Fault {
        Fault {
            at_s,
            for_s: None,
            kind,
            relays: all_relays(),
            link: None,
            peers: None,
            lose: 0.0,
            delay_ms: 0,
            jitter_ms: 0,
            bytes_per_s: 0,
            after_bytes: 0,
            folder: StateFolder::Kept,
            back_over_s: None,
            one_in: 0,
            call: None,
            failure: None,
            half: false,
            torn: false,
            step_s: 0,
            dest: None,
            trouble: None,
        }
    }

    /// The corresponding system fault, if it is one.
    pub fn system_fault(&self) -> Option<SystemFault> {
        match (self.kind, self.call, self.failure) {
            (FaultKind::TornWrite, ..) => Some(SystemFault::TornWrite { bytes: self.after_bytes }),
            (FaultKind::Clock, ..) => Some(SystemFault::ClockStep { seconds: self.step_s }),
            (FaultKind::Call, Some(_), Some(failure)) if self.half => {
                Some(SystemFault::HalfWrites { failure })
            }
            (FaultKind::Call, Some(call), Some(failure)) => {
                Some(SystemFault::Fails { call, failure, one_in: self.one_in })
            }
            _ => None,
        }
    }
}

fn default_seed() -> u64 {
    1
}

fn all_relays() -> String {
    "all".into()
}

fn is_zero<T: Default + PartialEq>(n: &T) -> bool {
    *n == T::default()
}

impl Schedule {
    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<Schedule, String> {
        file::read(path, Schedule::parse)
    }

    /// Parses and checks a file's text.
    pub fn parse(text: &str) -> Result<Schedule, String> {
        let schedule: Schedule = file::decode(text)?;
        schedule.check()?;
        Ok(schedule)
    }

    /// The schedule as the text of a file.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).expect("the values are serializable")
    }

    /// Returns the first error, with its key.
    pub fn check(&self) -> Result<(), String> {
        if let Some((key, why)) = self.service.fault() {
            return Err(format!("service.{key}: {why}"));
        }
        self.experiment().check()?;
        if self.relay.front != Front::Platform {
            return Err("relay.front: must be the platform front, the only one that the rig supports".into());
        }
        if !(0.0..=60.0).contains(&self.start.over_s) {
            return Err(format!("start.over_s: {} must be from 0 to 60", self.start.over_s));
        }
        self.relays(&self.start.known_by).map_err(|e| format!("start.known_by: {e}"))?;
        if self.start.before_in_100 > 100 {
            return Err(format!("start.before_in_100: {} must be at most 100", self.start.before_in_100));
        }
        if self.instances.as_ref().is_some_and(|i| i.seeds == 0 || i.seeds > self.relay.count) {
            return Err(format!("instances.seeds: must be from 1 to relay.count ({})", self.relay.count));
        }
        let shared = self.instances.as_ref().is_some_and(|i| i.lists);
        if shared && self.faulty_links().contains(&LinkTo::Endpoints) {
            // Each relay's list has other addresses there, so a list from another relay would bypass the faulty link.
            return Err("instances.lists: must be false when a fault affects links to endpoints".into());
        }
        if self.hard_clients.is_some_and(|clients| clients.relay >= self.relay.count) {
            return Err(format!("hard_clients.relay: must be below relay.count ({})", self.relay.count));
        }
        let dests = self.experiment().dests();
        if self.looping_script.is_some_and(|dest| dest >= dests) {
            return Err(format!("looping_script: must be below the number of destinations ({dests})"));
        }
        for (name, relays) in &self.groups {
            self.without_groups(relays).map_err(|e| format!("groups.{name}: {e}"))?;
        }
        for (i, fault) in self.faults.iter().enumerate() {
            self.check_fault(fault).map_err(|e| format!("fault[{i}].{e}"))?;
        }
        Ok(())
    }

    fn check_fault(&self, fault: &Fault) -> Result<(), String> {
        if !(fault.at_s >= 0.0 && fault.at_s.is_finite()) {
            return Err(format!("at_s: {} must not be negative", fault.at_s));
        }
        if fault.for_s.is_some_and(|s| !(s > 0.0 && s.is_finite())) {
            return Err("for_s: must be above 0".into());
        }
        self.relays(&fault.relays).map_err(|e| format!("relays: {e}"))?;
        if fault.kind.is_link() != fault.link.is_some() {
            let why = if fault.kind.is_link() {
                "must be given for a fault of a link"
            } else {
                "must be absent unless the fault is one of a link"
            };
            return Err(format!("link: {why}"));
        }
        if fault.link == Some(LinkTo::Instances) {
            if self.instances.is_none() {
                return Err("link: links between relays need the table [instances]".into());
            }
            if !matches!(
                fault.kind,
                FaultKind::Cut | FaultKind::CutTo | FaultKind::CutFrom | FaultKind::Slow | FaultKind::Lossy
            ) {
                return Err("kind: a link between relays can only be cut, slow or lossy".into());
            }
        } else if fault.peers.is_some() || fault.kind == FaultKind::Lossy {
            return Err("link: peers and lossy links are for links between relays only".into());
        }
        if let Some(peers) = &fault.peers {
            self.relays(peers).map_err(|e| format!("peers: {e}"))?;
        }
        let may_lose = matches!(fault.kind, FaultKind::Lossy | FaultKind::Repeat);
        if fault.kind == FaultKind::Lossy && fault.lose == 0.0
            || !may_lose && fault.lose > 0.0
            || !(0.0..=1.0).contains(&fault.lose)
        {
            return Err("lose: must be at most 1, above 0 for a lossy link, and absent unless a link loses or repeats".into());
        }
        if fault.kind == FaultKind::Repeat && fault.one_in == 0 {
            return Err("one_in: must be at least 1 for a repeating link".into());
        }
        if fault.torn && fault.kind != FaultKind::Repeat {
            return Err("torn: must be absent unless a link repeats".into());
        }
        if fault.kind == FaultKind::Slow && fault.delay_ms + fault.jitter_ms + fault.bytes_per_s == 0 {
            return Err("delay_ms: a slow link needs delay_ms, jitter_ms or bytes_per_s".into());
        }
        if fault.kind == FaultKind::Tear && fault.after_bytes == 0 {
            return Err("after_bytes: must be above 0".into());
        }
        let may_have_one_in = matches!(fault.kind, FaultKind::Call | FaultKind::Repeat);
        if !may_have_one_in && (fault.kind == FaultKind::ListBusy) != (fault.one_in > 1) {
            return Err(
                "one_in: must be at least 2 for a busy list service, and absent for other faults than failing calls and repeating links"
                    .into(),
            );
        }
        if (fault.kind == FaultKind::Call) != fault.call.is_some()
            || fault.call.is_some() != fault.failure.is_some()
        {
            return Err(
                "call: a failing call needs call and failure, and other faults must not have them".into()
            );
        }
        if fault.half && fault.call != Some(Call::Write) {
            return Err("half: must be absent unless call is write".into());
        }
        if (fault.kind == FaultKind::Clock) != (fault.step_s != 0) {
            return Err("step_s: must not be 0 for a clock fault, and must be absent otherwise".into());
        }
        if matches!(fault.kind, FaultKind::Stop | FaultKind::ListDown | FaultKind::TornWrite)
            && fault.for_s.is_none()
        {
            return Err("for_s: must be given".into());
        }
        if fault.back_over_s.is_some() && !(fault.kind.ends_process() && fault.for_s.is_some()) {
            return Err("back_over_s: must be absent unless processes are ended and restarted".into());
        }
        if (fault.kind == FaultKind::Partner) != fault.trouble.is_some()
            || fault.trouble.is_some() != fault.dest.is_some()
        {
            return Err(
                "trouble: a partner fault needs dest and trouble, and other faults must not have them".into(),
            );
        }
        let dests = self.experiment().dests();
        if fault.dest.is_some_and(|dest| dest >= dests) {
            return Err(format!("dest: must be below the number of destinations ({dests})"));
        }
        if fault.trouble.is_some_and(|t| !matches!(t, Event::Drain | Event::Trouble(_)))
            || matches!(fault.trouble, Some(Event::Trouble(Trouble::Refuse | Trouble::Down)))
        {
            return Err("trouble: must be drain, or one that keeps the endpoints' listeners open".into());
        }
        Ok(())
    }

    /// The relays that a selector names.
    pub fn relays(&self, selector: &str) -> Result<Vec<usize>, String> {
        let mut relays = Vec::new();
        for name in selector.split(',').map(str::trim) {
            match self.groups.get(name) {
                Some(group) => relays.extend(self.without_groups(group)?),
                None => relays.extend(self.without_groups(name)?),
            }
        }
        relays.sort_unstable();
        relays.dedup();
        Ok(relays)
    }

    /// The relays that a selector names, where it may not name groups.
    fn without_groups(&self, selector: &str) -> Result<Vec<usize>, String> {
        let count = self.relay.count;
        let number = |name: &str| name.strip_prefix('r').and_then(|n| n.parse::<usize>().ok());
        let mut relays = Vec::new();
        for name in selector.split(',').map(str::trim) {
            let (first, last) = match name.split_once('-') {
                None if name == "all" => (0, count - 1),
                None if name.starts_with("zone:") => {
                    relays.extend(self.relays_in_zone(&name[5..])?);
                    continue;
                }
                None => match name.strip_suffix('%').and_then(|n| n.parse::<f64>().ok()) {
                    Some(share) if share > 0.0 && share <= 100.0 => {
                        (0, (((count as f64) * share / 100.0).round() as usize).max(1) - 1)
                    }
                    _ => {
                        number(name).map(|n| (n, n)).ok_or(format!("`{name}` is not a selector of relays"))?
                    }
                },
                Some((first, last)) => {
                    number(first).zip(number(last)).ok_or(format!("`{name}` is not a selector of relays"))?
                }
            };
            if first > last || last >= count {
                return Err(format!("`{name}`: must be within r0 to r{}", count - 1));
            }
            relays.extend(first..=last);
        }
        Ok(relays)
    }

    /// The relays of a zone; zones are assigned round-robin.
    fn relays_in_zone(&self, name: &str) -> Result<Vec<usize>, String> {
        let zones = self.instances.as_ref().map_or(&[][..], |instances| &instances.zones);
        let index = zones.iter().position(|zone| zone == name).ok_or(format!("there is no zone `{name}`"))?;
        Ok((index..self.relay.count).step_by(zones.len()).collect())
    }

    /// The schedule as an experiment of the laboratory, whose parts it configures.
    pub fn experiment(&self) -> Experiment {
        Experiment {
            name: self.name.clone(),
            about: self.about.clone(),
            seed: self.seed,
            seconds: self.seconds,
            relay: self.relay.clone(),
            partners: self.partners.clone(),
            load: self.load.clone(),
            list: ListTable { service: self.service.clone(), ..ListTable::default() },
            troubles: Vec::new(),
            sizes: Vec::new(),
            repeats: 1,
            virtual_time: false,
            return_s: None,
            expectations: Vec::new(),
        }
    }

    /// Whether processes must run with the shim.
    pub fn needs_shim(&self) -> bool {
        self.faults.iter().any(|fault| fault.kind.needs_shim())
    }

    /// The links that some fault affects; only these go through forwarders.
    pub fn faulty_links(&self) -> Vec<LinkTo> {
        let mut links: Vec<_> = self.faults.iter().filter_map(|fault| fault.link).collect();
        links.sort_unstable();
        links.dedup();
        links
    }
}

#[cfg(test)]
mod tests;
