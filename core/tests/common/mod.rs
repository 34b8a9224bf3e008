//! Test helpers that feed sequences of events to serving reducers.
#![allow(
    dead_code,
    missing_docs,
    reason = "each test file uses a part of the helpers"
)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use primrosepin_core::fingerprint::Fingerprint;
use primrosepin_core::inventory::{Inventory, Kind, Organisation, Rules, Service, Zone};
use primrosepin_core::registry::Config;
use primrosepin_core::request::{Arrival, Attempt, End, Id, Outcome, Reason};
use primrosepin_core::serving::effect::{Dispatch, Effect};
use primrosepin_core::serving::event::Event;
use primrosepin_core::serving::verify::Verifier;
use primrosepin_core::serving::{Policy, Reducer, Settings};
use primrosepin_core::target::{Announcement, Budget, Load, Model, State};
use primrosepin_core::time::Instant;
use primrosepin_core::vm;

pub const COMPLETE_ANSWER: End = End::Complete {
    prompt_tokens: 0,
    cached_tokens: 0,
    generated_tokens: 10,
};

pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub fn instance(name: &str) -> vm::Instance {
    vm::Instance {
        name: name.into(),
        incarnation: vm::Incarnation(1),
    }
}

pub fn settings(name: &str, port: u16) -> Settings {
    Settings {
        vm: instance(name),
        address: vm::Address {
            peers: address(port),
            callers: Some(address(port + 1000)),
        },
        zone: "a".into(),
        seeds: Vec::new(),
        other_zones: Vec::new(),
        control: Vec::new(),
        policy: Policy::Length,
    }
}

pub fn config(version: u64, entries: &[&str]) -> Config {
    let zone = |name: &str, entries: &[&str]| Zone {
        name: name.into(),
        region: "r".into(),
        entries: entries.iter().map(|&entry| entry.into()).collect(),
    };
    let service = |name: &str, kind, models: &[&str]| Service {
        name: name.into(),
        kind,
        models: models.iter().map(|&model| model.into()).collect(),
        paths: Vec::new(),
        announce_keys_sha256: Vec::new(),
    };
    let organisation = |name: &str, share| Organisation {
        name: name.into(),
        keys_sha256: Vec::new(),
        share,
        max_running: 64,
    };
    Config {
        version,
        inventory: Inventory {
            zones: vec![zone("a", entries), zone("b", &["other"])],
            services: vec![
                service("lm", Kind::Engine, &["m"]),
                service("orders", Kind::Plain, &[]),
            ],
            organisations: vec![organisation("blue", 1), organisation("red", 1)],
            rules: Rules::default(),
        },
        zones_out: Vec::new(),
        targets_out: Vec::new(),
        zone_orders: Vec::new(),
    }
}

pub fn engine(name: &str, port: u16) -> Announcement {
    Announcement {
        name: name.into(),
        zone: "a".into(),
        service: "lm".into(),
        kind: Kind::Engine,
        address: address(port),
        incarnation: 1,
        seq: 1,
        state: State::Warm,
        models: vec![Model {
            name: "m".into(),
            version: "1".into(),
        }],
        cold_budget: Budget {
            requests: 1,
            tokens: 8_000,
        },
        max_running: 8,
        kv_tokens: 400_000,
        prefill_tokens_per_s: 20_000,
        decode_tokens_per_s: 50,
        spans: false,
        checks_fencing: false,
        load: Load::default(),
    }
}

pub fn plain(name: &str, port: u16) -> Announcement {
    Announcement {
        service: "orders".into(),
        kind: Kind::Plain,
        models: Vec::new(),
        kv_tokens: 0,
        prefill_tokens_per_s: 0,
        decode_tokens_per_s: 0,
        ..engine(name, port)
    }
}

pub fn prompt(id: u128, tokens: u64) -> Arrival {
    Arrival {
        id: Id(id),
        organisation: "blue".into(),
        service: "lm".into(),
        model: Some("m".into()),
        prompt_tokens: tokens,
        max_tokens: 100,
        prefix: smallvec::SmallVec::new(),
        fingerprint: Fingerprint::new("POST", "lm", "/v1/completions", &id.to_le_bytes()),
        at_most_once: false,
        repeatable: true,
        key: None,
        deadline: None,
        handed_over: false,
    }
}

pub fn plain_request(id: u128) -> Arrival {
    Arrival {
        service: "orders".into(),
        model: None,
        max_tokens: 0,
        ..prompt(id, 0)
    }
}

/// A reducer with its clock, a log of its effects and a verifier.
pub struct Host {
    pub reducer: Reducer,
    pub now: Instant,
    pub log: Vec<Effect>,
    pub verifier: Verifier,
    delivered: usize,
}

impl Host {
    pub fn new(settings: Settings) -> Self {
        let now = Instant::from_micros(1_000_000);
        let settings_copy = settings.clone();
        Self {
            reducer: Reducer::new(settings, 7, now),
            now,
            log: Vec::new(),
            verifier: Verifier::new(settings_copy),
            delivered: 0,
        }
    }

    /// Creates a configured VM that is the only one in its zone.
    pub fn single_vm() -> Self {
        let mut host = Self::new(settings("e1", 1));
        host.apply(Event::Configured(Arc::new(config(1, &["e1"]))));
        host
    }

    pub fn apply(&mut self, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        let observed = event.clone();
        self.reducer.apply(self.now, event, &mut effects);
        let verdict = self.verifier.observe(self.now, &observed, &effects);
        assert_eq!(
            verdict,
            Ok(()),
            "invariant violated by {effects:?} after {observed:?}"
        );
        self.log.extend(effects.iter().cloned());
        effects
    }

    /// Advances the time in ticks of 20 ms.
    pub fn advance(&mut self, ms: u64) -> Vec<Effect> {
        let mut effects = Vec::new();
        for _ in 0..ms / 20 {
            self.now = self.now + Duration::from_millis(20);
            effects.extend(self.apply(Event::Tick));
        }
        effects
    }

    pub fn announce(&mut self, announcement: Announcement) -> Vec<Effect> {
        self.apply(Event::Announced(announcement))
    }

    pub fn arrive(&mut self, arrival: Arrival) -> Vec<Effect> {
        self.apply(Event::Arrived(Box::new(arrival)))
    }

    pub fn end(&mut self, attempt: Attempt, end: End) -> Vec<Effect> {
        self.apply(Event::Ended { attempt, end })
    }
}

pub fn dispatches(effects: &[Effect]) -> Vec<Dispatch> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Dispatch(dispatch) => Some(dispatch.clone()),
            _ => None,
        })
        .collect()
}

pub fn single_dispatch(effects: &[Effect]) -> Dispatch {
    let found = dispatches(effects);
    assert_eq!(
        found.len(),
        1,
        "expected exactly one dispatch in {effects:?}"
    );
    found[0].clone()
}

pub fn refusal(effects: &[Effect]) -> Option<(Outcome, Reason)> {
    effects.iter().find_map(|effect| match effect {
        Effect::Respond(refusal) => Some((refusal.outcome, refusal.reason)),
        _ => None,
    })
}

pub fn attempt(id: u128, number: u16) -> Attempt {
    Attempt {
        request: Id(id),
        number,
    }
}

/// Entry VMs of one zone. Messages are delivered immediately, except to and from isolated VMs.
pub struct Cluster {
    pub hosts: Vec<Host>,
    pub isolated: Vec<usize>,
}

impl Cluster {
    /// Creates configured VMs `e1`, `e2`, ... that are all voters.
    pub fn new(count: u16) -> Self {
        let names: Vec<String> = (1..=count).map(|number| format!("e{number}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let config = Arc::new(config(1, &names));
        let hosts = names.iter().zip(1..).map(|(name, port)| {
            let mut settings = settings(name, port);
            settings.seeds = vec![address(1)];
            settings.other_zones = vec![address(900)];
            let mut host = Host::new(settings);
            host.apply(Event::Configured(Arc::clone(&config)));
            host
        });
        Self {
            hosts: hosts.collect(),
            isolated: Vec::new(),
        }
    }

    pub fn deliver(&mut self) {
        for _ in 0..20 {
            let mut messages = Vec::new();
            for (index, host) in self.hosts.iter_mut().enumerate() {
                let from = host.reducer.settings().vm.clone();
                for effect in &host.log[host.delivered..] {
                    if let Effect::Send { to, message, .. } = effect
                        && !self.isolated.contains(&index)
                    {
                        messages.push((from.clone(), *to, message.clone()));
                    }
                }
                host.delivered = host.log.len();
            }
            if messages.is_empty() {
                return;
            }
            for (from, to, message) in messages {
                for (index, host) in self.hosts.iter_mut().enumerate() {
                    if host.reducer.settings().address.peers == to
                        && !self.isolated.contains(&index)
                    {
                        host.apply(Event::Received {
                            from: from.clone(),
                            message: message.clone(),
                        });
                    }
                }
            }
        }
    }

    pub fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 20 {
            for host in &mut self.hosts {
                host.advance(20);
            }
            self.deliver();
        }
    }

    /// Advances the time while targets announce themselves at the first VM every 200 ms.
    pub fn advance_with(&mut self, ms: u64, targets: &mut [Announcement]) {
        for _ in 0..ms / 200 {
            for target in targets.iter_mut() {
                target.seq += 1;
                self.hosts[0].announce(target.clone());
            }
            self.deliver();
            self.advance(200);
        }
    }

    pub fn coordinators(&self) -> Vec<usize> {
        let hosts = self.hosts.iter().enumerate();
        hosts
            .filter(|(_, host)| host.reducer.coordinator_epoch().is_some())
            .map(|(index, _)| index)
            .collect()
    }

    pub fn arrive(&mut self, index: usize, arrival: Arrival) -> Vec<Dispatch> {
        let before = self.hosts[index].log.len();
        self.hosts[index].arrive(arrival);
        self.deliver();
        dispatches(&self.hosts[index].log[before..])
    }
}
