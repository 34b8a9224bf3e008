//! A whole deployment in one process, over sockets on loopback.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::Arbiter;
use bytes::Bytes;
use eyre::{WrapErr, eyre};
use primrosepin_config::settings;
use primrosepin_core::inventory::{self, Inventory};
use primrosepin_core::registry::Config;
use primrosepin_core::serving::Policy;
use primrosepin_entry as entry;
use primrosepin_standin::engine::Engine;
use primrosepin_standin::plain::Plain;
use primrosepin_standin::{engine, plain};
use primrosepin_transport::keys::Authority;
use primrosepin_transport::{Identity, Role};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tempfile::TempDir;
use tokio::sync::oneshot;

use crate::audit::Removal;
use crate::caller::{Route, client};
use crate::clock::now_us;

/// API key of the operators.
pub const OPERATOR_KEY: &str = "operator-key-of-the-bench";

/// Number of threads that run all stand-ins.
const STANDIN_THREADS: usize = 2;

/// Deadlines in milliseconds, by longest prompt in tokens. They are shorter than the default rules,
/// so that a run ends soon after its load.
const DEADLINES: [(u64, u64); 4] = [
    (4_000, 15_000),
    (32_000, 30_000),
    (128_000, 60_000),
    (1_000_000, 120_000),
];

/// Specification of a deployment.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Region of the zones.
    pub region: String,
    /// Number of entry VMs in each zone.
    pub entries_per_zone: usize,
    /// Number of control replicas; with 0, the entry VMs get the configuration directly.
    pub controls: usize,
    /// Name of the service of the engines.
    pub engine_service: String,
    /// Number of engines, assigned to the zones in turn.
    pub engines: usize,
    /// Settings of each engine, except names and addresses.
    pub engine: engine::Settings,
    /// Name of the plain service.
    pub plain_service: String,
    /// Number of plain targets, assigned to the zones in turn.
    pub plains: usize,
    /// Settings of each plain target, except names and addresses.
    pub plain: plain::Settings,
    /// Number of organisations.
    pub organisations: usize,
    /// Placement policy.
    pub policy: Policy,
    /// Seed of all random choices.
    pub seed: u64,
    /// Time for which an entry VM that shuts down still accepts requests, ms.
    pub drain_ms: u64,
}

impl Spec {
    /// A deployment of 15 engines, 3 plain targets and 6 entry VMs in 3 zones.
    pub fn fifteen_engines(policy: Policy, seed: u64) -> Self {
        Self {
            zones: ["trnava-a", "nitra-b", "senec-c"]
                .map(String::from)
                .to_vec(),
            region: "sk-west".into(),
            entries_per_zone: 2,
            controls: 3,
            engine_service: "kolo-lm".into(),
            engines: 15,
            engine: engine::Settings {
                spans: true,
                ..engine::Settings::default()
            },
            plain_service: "kolo-orders".into(),
            plains: 3,
            plain: plain::Settings::default(),
            organisations: 10,
            policy,
            seed,
            drain_ms: 1_000,
        }
    }

    /// A deployment of 20 engines, 3 plain targets and 9 entry VMs in 3 zones.
    pub fn twenty_engines(policy: Policy, seed: u64) -> Self {
        Self {
            zones: ["surat-a", "surat-b", "bharuch-c"]
                .map(String::from)
                .to_vec(),
            region: "guj-west".into(),
            entries_per_zone: 3,
            engine_service: "weave-llm".into(),
            engines: 20,
            plain_service: "loom-desk".into(),
            ..Self::fifteen_engines(policy, seed)
        }
    }

    /// Returns the inventory of the deployment.
    pub fn inventory(&self) -> Inventory {
        let service = |name: &str, kind, models, paths| inventory::Service {
            name: name.into(),
            kind,
            models,
            paths,
            announce_keys_sha256: vec![sha256(&announce_key(name)).into()],
        };
        let zones = self.zones.iter().map(|zone| inventory::Zone {
            name: zone.as_str().into(),
            region: self.region.as_str().into(),
            entries: (0..self.entries_per_zone)
                .map(|number| entry_name(zone, number).into())
                .collect(),
        });
        let organisations = (0..self.organisations).map(|number| inventory::Organisation {
            name: format!("org-{number}").into(),
            keys_sha256: vec![sha256(&organisation_key(number)).into()],
            share: 1,
            max_running: 10_000,
        });
        Inventory {
            zones: zones.collect(),
            services: vec![
                service(
                    &self.engine_service,
                    inventory::Kind::Engine,
                    vec![self.engine_service.as_str().into()],
                    Vec::new(),
                ),
                service(
                    &self.plain_service,
                    inventory::Kind::Plain,
                    Vec::new(),
                    vec![self.path().into()],
                ),
            ],
            organisations: organisations.collect(),
            rules: inventory::Rules {
                at_most_once: vec![inventory::Match {
                    service: Some(self.plain_service.as_str().into()),
                    method: Some("POST".into()),
                    ..inventory::Match::default()
                }],
                deadlines: DEADLINES
                    .map(|(prompt_tokens_max, ms)| inventory::Deadline {
                        prompt_tokens_max,
                        ms,
                    })
                    .to_vec(),
                ..inventory::Rules::default()
            },
        }
    }

    fn path(&self) -> String {
        format!("/{}", self.plain_service)
    }

    /// Returns what callers need to reach the deployment.
    pub fn route(&self) -> Route {
        Route {
            model: self.engine_service.clone(),
            path: self.path(),
            keys: (0..self.organisations).map(organisation_key).collect(),
            token_bytes: crate::workload::TOKEN_BYTES,
            deadlines: DEADLINES.to_vec(),
        }
    }
}

/// Returns the API key of an organisation.
pub fn organisation_key(number: usize) -> String {
    format!("key-of-org-{number}")
}

/// Returns the key that authenticates announcements of the targets of a service.
fn announce_key(service: &str) -> String {
    format!("announce-key-of-{service}")
}

fn entry_name(zone: &str, number: usize) -> String {
    format!("entry-{zone}-{number}")
}

/// Returns the SHA-256 hash of a text in hexadecimal.
pub fn sha256(text: &str) -> String {
    format!("{:x}", Sha256::digest(text.as_bytes()))
}

/// An entry VM.
#[derive(Debug)]
pub struct Entry {
    /// Name of the VM.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    settings: settings::Entry,
    identity: Identity,
    server: Option<entry::Server>,
}

/// A control replica.
#[derive(Debug)]
pub struct Control {
    /// Address for operators.
    pub admin: SocketAddr,
    /// Settings with which it is restarted.
    settings: settings::Control,
    server: Option<primrosepin_control::Server>,
}

/// A stand-in engine and its zone.
#[derive(Debug, Clone)]
pub struct EngineTarget {
    /// Zone.
    pub zone: String,
    /// The engine.
    pub engine: Engine,
}

/// A stand-in of a plain service and its zone.
#[derive(Debug, Clone)]
pub struct PlainTarget {
    /// Zone.
    pub zone: String,
    /// The service.
    pub plain: Plain,
}

/// A running deployment.
#[derive(Debug)]
pub struct Cluster {
    /// Specification that it was started from.
    pub spec: Spec,
    /// Entry VMs.
    pub entries: Vec<Entry>,
    /// Control replicas.
    pub controls: Vec<Control>,
    /// Engines.
    pub engines: Vec<EngineTarget>,
    /// Plain targets.
    pub plains: Vec<PlainTarget>,
    /// Removals of zones and targets so far.
    pub removals: Vec<Removal>,
    change_count: u64,
    direct_config: Config,
    arbiters: Vec<Arbiter>,
    folder: TempDir,
}

/// Adds a name to a list, or removes it if `listed` is false.
fn set_listed(names: &mut Vec<Arc<str>>, name: &str, listed: bool) {
    names.retain(|known| **known != *name);
    if listed {
        names.push(name.into());
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Finds a free UDP port, because peers must know each other's addresses before they start.
fn free_udp() -> eyre::Result<SocketAddr> {
    Ok(UdpSocket::bind(loopback())?.local_addr()?)
}

/// Finds a free TCP port, so that a restarted process keeps its address.
fn free_tcp() -> eyre::Result<SocketAddr> {
    Ok(std::net::TcpListener::bind(loopback())?.local_addr()?)
}

fn write_identity(folder: &Path, name: &str, identity: &Identity) -> eyre::Result<settings::Tls> {
    let write = |part: &str, text: &str| -> eyre::Result<_> {
        let path = folder.join(format!("{name}.{part}.pem"));
        std::fs::write(&path, text).wrap_err_with(|| path.display().to_string())?;
        Ok(path)
    };
    Ok(settings::Tls {
        authority: write("authority", &identity.authority)?,
        certificate: write("certificate", &identity.certificate)?,
        key: write("key", &identity.key)?,
    })
}

/// Runs a future on an arbiter and returns its result.
pub async fn run_on<F, T>(arbiter: &Arbiter, future: F) -> eyre::Result<T>
where
    F: Future<Output = T> + Send + 'static,
    T: Send + 'static,
{
    let (sender, receiver) = oneshot::channel();
    arbiter.spawn(async move {
        // Fails only if the caller was cancelled.
        drop(sender.send(future.await));
    });
    receiver
        .await
        .wrap_err("arbiter thread stopped before the future completed")
}

impl Cluster {
    /// Starts a deployment, applies its inventory and waits until it serves calls.
    pub async fn start(spec: Spec) -> eyre::Result<Self> {
        let folder = tempfile::tempdir()?;
        let authority = Authority::new()?;
        let operator_keys_sha256 = vec![Arc::from(sha256(OPERATOR_KEY))];
        let log = settings::Log {
            level: "warn".into(),
            ..settings::Log::default()
        };
        let mut cluster = Self {
            entries: Vec::new(),
            controls: Vec::new(),
            engines: Vec::new(),
            plains: Vec::new(),
            removals: Vec::new(),
            change_count: 0,
            direct_config: Config {
                version: 0,
                inventory: Inventory::default(),
                zones_out: Vec::new(),
                targets_out: Vec::new(),
                zone_orders: Vec::new(),
            },
            arbiters: (0..STANDIN_THREADS).map(|_| Arbiter::new()).collect(),
            folder,
            spec,
        };
        let spec = cluster.spec.clone();
        let folder = cluster.folder.path().to_owned();
        let replicas = (0..spec.controls)
            .map(|number| {
                Ok(settings::Replica {
                    vm: format!("control-{number}").into(),
                    peers: free_udp()?,
                })
            })
            .collect::<eyre::Result<Vec<_>>>()?;
        for (number, replica) in replicas.iter().enumerate() {
            let identity = authority.issue(&replica.vm, Role::Control)?;
            cluster.controls.push(Control {
                admin: loopback(),
                settings: settings::Control {
                    vm: Arc::clone(&replica.vm),
                    zone: spec.zones[number % spec.zones.len()].as_str().into(),
                    listen: settings::ControlListen {
                        admin: free_tcp()?,
                        peers: replica.peers,
                    },
                    replicas: replicas.clone(),
                    data: folder.join(&*replica.vm),
                    bootstrap: true,
                    tls: write_identity(&folder, &replica.vm, &identity)?,
                    operator_keys_sha256: operator_keys_sha256.clone(),
                    log: log.clone(),
                },
                server: None,
            });
        }
        for number in 0..cluster.controls.len() {
            cluster.start_control(number).await?;
        }
        let mut peers = Vec::new();
        for zone in &spec.zones {
            for number in 0..spec.entries_per_zone {
                peers.push((zone.clone(), entry_name(zone, number), free_udp()?));
            }
        }
        for (zone, name, own) in &peers {
            let of_zone = |same: bool| {
                peers
                    .iter()
                    .filter(|(other, _, address)| (other == zone) == same && address != own)
                    .map(|(_, _, address)| *address)
                    .collect::<Vec<_>>()
            };
            let identity = authority.issue(name, Role::Entry)?;
            let settings = settings::Entry {
                vm: name.as_str().into(),
                zone: zone.as_str().into(),
                listen: settings::EntryListen {
                    callers: free_tcp()?,
                    targets: free_tcp()?,
                    admin: free_tcp()?,
                    peers: *own,
                },
                seeds: of_zone(true),
                control: replicas.iter().map(|replica| replica.peers).collect(),
                other_zones: of_zone(false),
                tls: write_identity(&folder, name, &identity)?,
                operator_keys_sha256: operator_keys_sha256.clone(),
                limits: settings::Limits {
                    drain_ms: spec.drain_ms,
                    ..settings::Limits::default()
                },
                log: log.clone(),
            };
            cluster.entries.push(Entry {
                name: name.clone(),
                zone: zone.clone(),
                callers: settings.listen.callers,
                admin: settings.listen.admin,
                settings,
                identity,
                server: None,
            });
        }
        for number in 0..cluster.entries.len() {
            cluster.start_entry(number).await?;
        }
        cluster.apply(&spec.inventory()).await?;
        for number in 0..spec.engines {
            cluster.start_engine(number, |_| {}).await?;
        }
        for number in 0..spec.plains {
            let zone = spec.zones[number % spec.zones.len()].clone();
            let settings = plain::Settings {
                name: format!("{}-{number}", spec.plain_service),
                zone: zone.clone(),
                service: spec.plain_service.clone(),
                entries: cluster.targets_of(&zone),
                announce_key: announce_key(&spec.plain_service),
                seed: spec.seed ^ (0x1000 + number as u64),
                ..spec.plain.clone()
            };
            let plain = run_on(&cluster.arbiters[0], Plain::start(settings)).await??;
            cluster.plains.push(PlainTarget { zone, plain });
        }
        cluster.wait_until_ready().await?;
        Ok(cluster)
    }

    /// Starts or restarts a control replica.
    pub async fn start_control(&mut self, number: usize) -> eyre::Result<()> {
        let control = &mut self.controls[number];
        let options = primrosepin_control::Options {
            seed: Some(self.spec.seed ^ (0x4000 + number as u64)),
            ..primrosepin_control::Options::default()
        };
        let server = primrosepin_control::Server::start(control.settings.clone(), options).await?;
        control.admin = control.settings.listen.admin;
        control.server = Some(server);
        Ok(())
    }

    /// Stops a control replica.
    pub async fn stop_control(&mut self, number: usize) -> eyre::Result<()> {
        match self.controls[number].server.take() {
            Some(server) => server.stop().await,
            None => Ok(()),
        }
    }

    /// Starts or restarts an entry VM.
    pub async fn start_entry(&mut self, number: usize) -> eyre::Result<()> {
        let entry = &mut self.entries[number];
        let direct = (self.direct_config.version > 0).then(|| Arc::new(self.direct_config.clone()));
        let options = entry::Options {
            config: direct,
            seed: Some(self.spec.seed ^ number as u64),
            policy: self.spec.policy,
            identity: Some(entry.identity.clone()),
        };
        let server = entry::Server::start(entry.settings.clone(), options)
            .await
            .wrap_err_with(|| format!("entry VM {}", entry.name))?;
        entry.server = Some(server);
        Ok(())
    }

    /// Stops an entry VM gracefully.
    pub async fn stop_entry(&mut self, number: usize) -> eyre::Result<()> {
        match self.entries[number].server.take() {
            Some(server) => server.stop().await,
            None => Ok(()),
        }
    }

    fn targets_of(&self, zone: &str) -> Vec<SocketAddr> {
        self.entries
            .iter()
            .filter(|entry| entry.zone == zone)
            .map(|entry| entry.settings.listen.targets)
            .collect()
    }

    /// Starts an engine, after `change` has adapted its settings.
    pub async fn start_engine<F>(&mut self, number: usize, change: F) -> eyre::Result<()>
    where
        F: FnOnce(&mut engine::Settings),
    {
        let spec = &self.spec;
        let zone = spec.zones[number % spec.zones.len()].clone();
        let mut settings = engine::Settings {
            name: format!("{}-{number}", spec.engine_service),
            zone: zone.clone(),
            service: spec.engine_service.clone(),
            models: vec![engine::settings::Model {
                name: spec.engine_service.clone(),
                version: "1".into(),
            }],
            entries: self.targets_of(&zone),
            announce_key: announce_key(&spec.engine_service),
            seed: spec.seed ^ (0x2000 + number as u64),
            ..spec.engine.clone()
        };
        change(&mut settings);
        let arbiter = &self.arbiters[number % self.arbiters.len()];
        let engine = run_on(arbiter, Engine::start(settings)).await??;
        self.engines.push(EngineTarget { zone, engine });
        Ok(())
    }

    /// Sends a configuration change to the control replicas in turn until one accepts it, and
    /// returns the new version.
    pub async fn change(&mut self, path: &str, mut body: Value) -> eyre::Result<u64> {
        self.change_count += 1;
        body["id"] = json!(format!("bench-{}-{}", self.spec.seed, self.change_count));
        let http = client();
        let mut last = String::new();
        for round in 0..100 {
            let control = &self.controls[round % self.controls.len()];
            let sent = http
                .post(format!("http://{}{path}", control.admin))
                .bearer_auth(OPERATOR_KEY)
                .force_close()
                .timeout(Duration::from_secs(5))
                .send_json(&body)
                .await;
            match sent {
                Ok(mut response) => {
                    let value: Value = response.json().await.unwrap_or_default();
                    if response.status().is_success()
                        && let Some(version) = value["version"].as_u64()
                    {
                        return Ok(version);
                    }
                    last = format!("{}: {value}", response.status());
                    if response.status().is_client_error() {
                        break;
                    }
                }
                Err(error) => last = error.to_string(),
            }
            actix_rt::time::sleep(Duration::from_millis(100)).await;
        }
        Err(eyre!("no control replica accepted {path}: {last}"))
    }

    /// Changes the configuration of the entry VMs directly, in a deployment without control.
    fn configure<F>(&mut self, change: F) -> u64
    where
        F: FnOnce(&mut Config),
    {
        self.direct_config.version += 1;
        change(&mut self.direct_config);
        let config = Arc::new(self.direct_config.clone());
        for entry in &self.entries {
            if let Some(server) = &entry.server {
                server.configure(Arc::clone(&config));
            }
        }
        config.version
    }

    /// Applies an inventory, based on the version in force.
    pub async fn apply(&mut self, inventory: &Inventory) -> eyre::Result<u64> {
        if self.controls.is_empty() {
            return Ok(self.configure(|config| config.inventory = inventory.clone()));
        }
        let base = self.version().await;
        let text = serde_json::to_string(inventory)?;
        self.change(
            "/v1/config/apply",
            json!({ "base": base, "inventory": text }),
        )
        .await
    }

    /// Returns the configuration version in force at the control replicas; zero if there is none.
    pub async fn version(&self) -> u64 {
        let http = client();
        for control in &self.controls {
            let sent = http
                .get(format!("http://{}/v1/config", control.admin))
                .bearer_auth(OPERATOR_KEY)
                .force_close()
                .timeout(Duration::from_secs(2))
                .send()
                .await;
            if let Ok(mut response) = sent
                && response.status().is_success()
            {
                let value: Value = response.json().await.unwrap_or_default();
                return value["version"].as_u64().unwrap_or(0);
            }
        }
        0
    }

    /// Takes a zone out or brings it back.
    pub async fn set_zone_out(&mut self, zone: &str, out: bool) -> eyre::Result<()> {
        let asked_us = now_us();
        if self.controls.is_empty() {
            self.configure(|config| set_listed(&mut config.zones_out, zone, out));
        } else {
            self.change(&format!("/v1/zones/{zone}"), json!({ "out": out }))
                .await?;
        }
        let of_zone = |name: &str| name == zone;
        let engines = self.engines.iter().filter(|target| of_zone(&target.zone));
        let plains = self.plains.iter().filter(|target| of_zone(&target.zone));
        let targets = engines
            .map(|target| target.engine.name())
            .chain(plains.map(|target| target.plain.name()))
            .collect();
        self.record_removal(targets, out, asked_us);
        Ok(())
    }

    /// Takes a target out or brings it back.
    pub async fn set_target_out(&mut self, target: &str, out: bool) -> eyre::Result<()> {
        let asked_us = now_us();
        if self.controls.is_empty() {
            self.configure(|config| set_listed(&mut config.targets_out, target, out));
        } else {
            self.change(&format!("/v1/targets/{target}"), json!({ "out": out }))
                .await?;
        }
        self.record_removal(vec![target.to_owned()], out, asked_us);
        Ok(())
    }

    fn record_removal(&mut self, targets: Vec<String>, out: bool, asked_us: u64) {
        if out {
            self.removals.push(Removal {
                targets,
                from_us: now_us(),
                until_us: None,
            });
            return;
        }
        for removal in &mut self.removals {
            if removal.until_us.is_none() && removal.targets == targets {
                removal.until_us = Some(asked_us);
            }
        }
    }

    /// Waits until each entry VM answers a generation and a plain call, and each zone has a
    /// coordinator. Without a coordinator, spanning prompts and cold targets have to wait.
    pub async fn wait_until_ready(&self) -> eyre::Result<()> {
        let http = client();
        for entry in &self.entries {
            let mut last = String::new();
            let mut ready = false;
            for _ in 0..150 {
                match self.probe(&http, entry).await {
                    Ok(()) => {
                        ready = true;
                        break;
                    }
                    Err(reason) => last = reason,
                }
                actix_rt::time::sleep(Duration::from_millis(100)).await;
            }
            if !ready {
                return Err(eyre!(
                    "entry VM {} did not become ready: {last}",
                    entry.name
                ));
            }
        }
        Ok(())
    }

    async fn probe(&self, http: &awc::Client, entry: &Entry) -> Result<(), String> {
        let route = self.spec.route();
        let fetch = async |request: awc::ClientRequest, key: &str, body: Bytes| {
            let mut response = request
                .bearer_auth(key)
                .insert_header(("content-type", "application/json"))
                .force_close()
                .timeout(Duration::from_secs(5))
                .send_body(body)
                .await
                .map_err(|error| error.to_string())?;
            let body = response.body().await.unwrap_or_default();
            let text = String::from_utf8_lossy(&body).into_owned();
            if response.status().is_success() {
                Ok(text)
            } else {
                Err(format!("{} {text}", response.status()))
            }
        };
        let key = &route.keys[0];
        let prompt = crate::workload::body(&route.model, "ready", 100, 1, 4);
        let generation = http.post(format!("http://{}/v1/chat/completions", entry.callers));
        let answer = fetch(generation, key, prompt).await?;
        if !answer.contains("\"answered\"") {
            return Err(answer);
        }
        if !self.plains.is_empty() {
            let plain = http.get(format!("http://{}{}/ready", entry.callers, route.path));
            fetch(plain, key, Bytes::new()).await?;
        }
        let status = http.get(format!("http://{}/status", entry.admin));
        let status = fetch(status, OPERATOR_KEY, Bytes::new()).await?;
        let status: Value = serde_json::from_str(&status).unwrap_or_default();
        if status["coordinator"].is_null() {
            return Err("the zone has no coordinator".into());
        }
        Ok(())
    }

    /// Returns the caller addresses of the running entry VMs.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.entries
            .iter()
            .filter(|entry| entry.server.is_some())
            .map(|entry| entry.callers)
            .collect()
    }

    /// Stops all processes of the deployment.
    pub async fn stop(mut self) -> eyre::Result<()> {
        let stops: Vec<_> = self
            .entries
            .iter_mut()
            .filter_map(|entry| entry.server.take())
            .map(entry::Server::stop)
            .collect();
        for stopped in futures_util::future::join_all(stops).await {
            stopped?;
        }
        for number in 0..self.controls.len() {
            self.stop_control(number).await?;
        }
        for target in &self.engines {
            target.engine.stop().await;
        }
        for target in &self.plains {
            target.plain.stop().await;
        }
        for arbiter in self.arbiters.drain(..) {
            arbiter.stop();
            if arbiter.join().is_err() {
                log::warn!("stand-in thread panicked");
            }
        }
        Ok(())
    }
}
