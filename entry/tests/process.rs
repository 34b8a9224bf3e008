//! End-to-end tests with one control process and two entry processes, started from their binaries.

mod support;

use std::cell::Cell;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};
use std::rc::Rc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use actix_rt::net::TcpStream;
use actix_rt::time::sleep;
use primrosepin_config::settings::{Control, ControlListen, EntryListen, Log, Replica, Tls};
use primrosepin_core::inventory::Inventory;
use primrosepin_transport::Role;
use primrosepin_transport::keys::Authority;
use serde_json::{Value, json};
use support::{
    Answer, CALLER_KEY, OPERATOR_KEY, Target, call_at, generation, sha256, tokens, write_event,
    write_json, write_stream, write_stream_end, write_stream_head,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const ENTRY: &str = env!("CARGO_BIN_EXE_primrosepin-entry");

/// Time limit for each condition. Generous, since it only ends a test that has already failed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Polls `check` until it returns true. Panics with `what` after [`WAIT_TIMEOUT`].
async fn wait_for<F>(what: &str, check: F)
where
    F: AsyncFn() -> bool,
{
    let end = Instant::now() + WAIT_TIMEOUT;
    while !check().await {
        assert!(
            Instant::now() < end,
            "timed out after {WAIT_TIMEOUT:?} waiting for: {what}"
        );
        sleep(Duration::from_millis(20)).await;
    }
}

/// Returns the path of the control binary, which cargo places next to the entry binary.
fn control_binary() -> PathBuf {
    let path = Path::new(ENTRY).with_file_name("primrosepin-control");
    assert!(
        path.exists(),
        "{} is missing; build it with `cargo test --workspace` or `cargo build -p primrosepin-control`",
        path.display()
    );
    path
}

/// Returns a free address that a process can keep across restarts.
///
/// The ports are below the ephemeral port range, so that no other socket is assigned the port while
/// the process is down.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 20_000 + (std::process::id() % 240) as u16 * 50;
    loop {
        let port = first + NEXT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// A child process that is killed when dropped. Prints its log if the test panics.
struct Process {
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Process {
    fn start(binary: PathBuf, settings: PathBuf) -> Self {
        let log = settings.with_extension("log");
        File::create(&log).unwrap();
        let child = Self::spawn(&binary, &settings, &log);
        Self {
            binary,
            settings,
            log,
            child,
        }
    }

    fn spawn(binary: &Path, settings: &Path, log: &Path) -> Child {
        Command::new(binary)
            .arg("--settings")
            .arg(settings)
            .stderr(File::options().append(true).open(log).unwrap())
            .spawn()
            .unwrap()
    }

    /// Kills the process with SIGKILL.
    fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Restarts the process with the same settings.
    fn restart(&mut self) {
        self.child = Self::spawn(&self.binary, &self.settings, &self.log);
    }

    fn terminate(&self) {
        let id = self.child.id().to_string();
        let kill = Command::new("kill").args(["-TERM", &id]).status();
        assert!(kill.unwrap().success());
    }

    /// Waits for the process to exit on its own.
    async fn ended(&mut self) -> ExitStatus {
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(
                Instant::now() < end,
                "timed out after {WAIT_TIMEOUT:?} waiting for: process exits"
            );
            sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails only if the process has already exited.
        drop(self.child.kill());
        drop(self.child.wait());
        if std::thread::panicking() {
            let log = fs::read_to_string(&self.log).unwrap_or_default();
            eprintln!("--- {}\n{log}", self.log.display());
        }
    }
}

/// Directory of a deployment, removed when dropped.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.0));
    }
}

/// A control process and two entry processes of one zone.
struct Deployment {
    control: Process,
    admin: SocketAddr,
    entries: [Process; 2],
    listen: [EntryListen; 2],
    /// Last field, so that the directory is removed after the processes have been killed.
    _folder: Folder,
}

fn write_settings<T>(folder: &Path, vm: &str, settings: &T) -> PathBuf
where
    T: serde::Serialize,
{
    let path = folder.join(vm).with_extension("json");
    fs::write(&path, serde_json::to_vec(settings).unwrap()).unwrap();
    path
}

fn write_keys(folder: &Path, authority: &Authority, vm: &str, role: Role) -> Tls {
    let identity = authority.issue(vm, role).unwrap();
    let write = |name: &str, text: &str| {
        let path = folder.join(format!("{vm}-{name}.pem"));
        fs::write(&path, text).unwrap();
        path
    };
    Tls {
        authority: write("authority", &identity.authority),
        certificate: write("certificate", &identity.certificate),
        key: write("key", &identity.key),
    }
}

/// Returns the inventory of [`support::config`] with both entry VMs in zone `z`.
fn inventory(share: u32) -> Inventory {
    let mut inventory = support::config().inventory;
    inventory.zones.truncate(1);
    inventory.zones[0].entries = vec!["e1".into(), "e2".into()];
    inventory.organisations[0].share = share;
    inventory
}

impl Deployment {
    /// Starts the processes and applies the inventory as version 1.
    async fn start(test: &str) -> Self {
        let name = format!("process-{}-{test}", std::process::id());
        let folder = Folder(Path::new(env!("CARGO_TARGET_TMPDIR")).join(name));
        let path = &folder.0;
        fs::create_dir_all(path).unwrap();
        let authority = Authority::new().unwrap();
        let control = ControlListen {
            admin: free_address(),
            peers: free_address(),
        };
        let settings = Control {
            vm: "c1".into(),
            zone: "z".into(),
            listen: control,
            replicas: vec![Replica {
                vm: "c1".into(),
                peers: control.peers,
            }],
            data: path.join("data"),
            bootstrap: true,
            tls: write_keys(path, &authority, "c1", Role::Control),
            operator_keys_sha256: vec![sha256(OPERATOR_KEY)],
            log: Log::default(),
        };
        let settings = write_settings(path, "c1", &settings);
        let listen = [(); 2].map(|()| EntryListen {
            callers: free_address(),
            targets: free_address(),
            admin: free_address(),
            peers: free_address(),
        });
        let entries = [0, 1].map(|index| {
            let vm = ["e1", "e2"][index];
            let mut settings = support::settings();
            settings.vm = vm.into();
            settings.listen = listen[index];
            settings.seeds = vec![listen[1 - index].peers];
            settings.control = vec![control.peers];
            settings.tls = write_keys(path, &authority, vm, Role::Entry);
            Process::start(ENTRY.into(), write_settings(path, vm, &settings))
        });
        let deployment = Self {
            control: Process::start(control_binary(), settings),
            admin: control.admin,
            entries,
            listen,
            _folder: folder,
        };
        deployment.apply("first", 0, 1).await;
        for index in [0, 1] {
            deployment.wait_for_version(index, 1).await;
        }
        deployment
    }

    /// Applies an inventory and asserts that it is accepted as version `base + 1`. A request
    /// without a response is resent with the same id, as operators do.
    async fn apply(&self, id: &str, base: u64, share: u32) {
        let inventory = serde_json::to_string(&inventory(share)).unwrap();
        let body = json!({"id": id, "base": base, "inventory": inventory});
        let url = format!("http://{}/v1/config/apply", self.admin);
        wait_for(&format!("control answers change {id}"), async || {
            let request = awc::Client::default().post(&url).bearer_auth(OPERATOR_KEY);
            let Ok(mut answer) = request.send_json(&body).await else {
                return false;
            };
            // 503: no leader has been elected yet.
            if answer.status() == 503 {
                return false;
            }
            let text = answer.body().await.unwrap();
            assert_eq!(answer.status(), 200, "{text:?}");
            let answer: Value = serde_json::from_slice(&text).unwrap();
            assert_eq!(answer["version"], base + 1, "{answer}");
            true
        })
        .await;
    }

    /// Returns the current configuration of control.
    async fn config(&self) -> Option<Value> {
        get(format!("http://{}/v1/config", self.admin)).await
    }

    /// Returns the status of an entry process.
    async fn status(&self, index: usize) -> Option<Value> {
        get(format!("http://{}/status", self.listen[index].admin)).await
    }

    async fn wait_for_version(&self, index: usize, version: u64) {
        let what = format!("version {version} is in force at entry process {index}");
        wait_for(&what, async || {
            let status = self.status(index).await;
            status.is_some_and(|status| status["ready"] == true && status["version"] == version)
        })
        .await;
    }

    /// Announces a target and waits until both entry processes know it.
    async fn announce(&self, target: &Target, name: &'static str, service: &'static str) {
        let targets = self.listen.map(|listen| listen.targets).to_vec();
        target.announce_at(targets, name, service, json!({})).await;
        for index in [0, 1] {
            self.wait_for_target(index, name).await;
        }
    }

    async fn wait_for_target(&self, index: usize, name: &str) {
        let what = format!("target {name} is known at entry process {index}");
        wait_for(&what, async || {
            let status = self.status(index).await;
            let targets = status
                .as_ref()
                .and_then(|status| status["targets"].as_array());
            targets.is_some_and(|targets| targets.iter().any(|target| target["name"] == name))
        })
        .await;
    }

    async fn generate(&self, index: usize) {
        let callers = self.listen[index].callers;
        let answer = call_at(callers, "/v1/completions", &generation(true), &[]).await;
        assert_eq!(answer.status, 200, "entry process {index}: {answer:?}");
        assert_eq!(answer.final_outcome().as_deref(), Some("answered"));
        assert!(answer.body.starts_with(&tokens(0..3)), "{}", answer.body);
    }

    async fn order(&self, index: usize) -> Answer {
        let headers = [("idempotency-key", "k1")];
        let callers = self.listen[index].callers;
        call_at(callers, "/orders/once", &json!({"kit": 7}), &headers).await
    }
}

/// Sends a GET request as an operator. Returns the JSON body if the status is 200.
async fn get(url: String) -> Option<Value> {
    let request = awc::Client::default().get(url).bearer_auth(OPERATOR_KEY);
    let mut answer = request.send().await.ok()?;
    if answer.status() != 200 {
        return None;
    }
    answer.json().await.ok()
}

async fn engine() -> Target {
    Target::start(async |request, stream| write_stream(stream, &request, 3).await).await
}

/// Guards against code that works only within a single process, for example with certificates,
/// addresses or a configuration that exist only in memory.
#[actix_rt::test]
async fn each_entry_process_serves_requests() {
    let deployment = Deployment::start("answers").await;
    let target = engine().await;
    deployment.announce(&target, "t1", "lm").await;
    for index in [0, 1] {
        deployment.generate(index).await;
    }
    assert_eq!(target.requests("/v1/completions").len(), 2);
}

/// Guards against an accepted change that is lost when control is killed, and against stored data
/// that prevents a restarted control process from accepting further changes.
#[actix_rt::test]
async fn control_keeps_the_configuration_after_sigkill() {
    let mut deployment = Deployment::start("control").await;
    let target = engine().await;
    deployment.announce(&target, "t1", "lm").await;
    let before = deployment.config().await.unwrap();
    assert_eq!(before["version"], 1);
    deployment.control.kill();
    // Entry processes keep serving with the last configuration.
    for index in [0, 1] {
        deployment.generate(index).await;
    }
    deployment.control.restart();
    let what = "the restarted control process has a configuration";
    wait_for(what, async || {
        let config = deployment.config().await;
        // Version 0: the log is not applied until control has become leader.
        config.is_some_and(|config| config["version"] != 0)
    })
    .await;
    assert_eq!(deployment.config().await.unwrap(), before);
    // A resend gets the outcome of the first request.
    deployment.apply("first", 0, 1).await;
    deployment.apply("second", 1, 2).await;
    for index in [0, 1] {
        deployment.wait_for_version(index, 2).await;
        deployment.generate(index).await;
    }
}

/// Guards against an entry process whose crash affects the other one, and against a restarted one
/// that serves with an old configuration or, if control is down, gets none.
#[actix_rt::test]
async fn an_entry_process_returns_after_sigkill() {
    let mut deployment = Deployment::start("entry").await;
    let target = engine().await;
    deployment.announce(&target, "t1", "lm").await;
    deployment.entries[0].kill();
    deployment.generate(1).await;
    deployment.apply("second", 1, 2).await;
    deployment.wait_for_version(1, 2).await;
    deployment.generate(1).await;
    deployment.entries[0].restart();
    deployment.wait_for_version(0, 2).await;
    deployment.wait_for_target(0, "t1").await;
    deployment.generate(0).await;
    // If control is down, the configuration comes from the other entry process.
    deployment.control.kill();
    deployment.entries[0].kill();
    deployment.entries[0].restart();
    deployment.wait_for_version(0, 2).await;
    deployment.wait_for_target(0, "t1").await;
    deployment.generate(0).await;
}

/// Guards against a SIGTERM that truncates a running stream, and against a process that does not
/// exit afterwards or exits with an error.
#[actix_rt::test]
async fn a_stream_completes_after_sigterm() {
    let mut deployment = Deployment::start("sigterm").await;
    let gate = Rc::new(Cell::new(false));
    let open = Rc::clone(&gate);
    let target = Target::start(move |request, mut stream| {
        let open = Rc::clone(&open);
        async move {
            write_stream_head(&mut stream, request.attempt()).await;
            write_event(&mut stream, request.attempt(), 0).await;
            wait_for("the test opens the gate", async || open.get()).await;
            write_event(&mut stream, request.attempt(), 1).await;
            write_stream_end(&mut stream).await;
            Some(stream)
        }
    })
    .await;
    deployment.announce(&target, "t1", "lm").await;
    let callers = deployment.listen[0].callers;
    let mut caller = TcpStream::connect(callers).await.unwrap();
    let body = generation(true).to_string();
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    caller.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    while !String::from_utf8_lossy(&answer).contains(&tokens(0..1)) {
        answer.push(caller.read_u8().await.unwrap());
    }
    deployment.entries[0].terminate();
    wait_for("the process refuses connections", async || {
        TcpStream::connect(callers).await.is_err()
    })
    .await;
    gate.set(true);
    caller.read_to_end(&mut answer).await.unwrap();
    let answer = String::from_utf8(answer).unwrap();
    assert!(answer.contains(&tokens(1..2)), "{answer}");
    assert!(answer.contains("data: [DONE]\n\n"), "{answer}");
    assert!(answer.contains("\"outcome\":\"answered\""), "{answer}");
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
    let status = deployment.entries[0].ended().await;
    assert_eq!(status.code(), Some(0), "{status}");
}

/// Guards against a second run of an at-most-once request that is resent to another entry process,
/// both during and after the first run.
#[actix_rt::test]
async fn a_resend_to_the_other_entry_process_does_not_run() {
    let deployment = Deployment::start("once").await;
    let gate = Rc::new(Cell::new(false));
    let open = Rc::clone(&gate);
    let target = Target::start(move |request, mut stream| {
        let open = Rc::clone(&open);
        async move {
            // Only the first run waits, so that a second run would show in the response to the
            // resend.
            if request.connection == 0 {
                wait_for("the test opens the gate", async || open.get()).await;
            }
            write_json(&mut stream, &request, 201, &json!({"order": 1})).await;
            Some(stream)
        }
    })
    .await;
    deployment.announce(&target, "p1", "orders").await;
    let early = async {
        wait_for("the first run reaches the target", async || {
            !target.requests("/orders/once").is_empty()
        })
        .await;
        let early = deployment.order(1).await;
        gate.set(true);
        early
    };
    let (first, early) = futures_util::join!(deployment.order(0), early);
    assert_eq!((first.status, first.outcome()), (201, "answered"));
    assert_eq!((early.status, early.outcome()), (409, "unknown"));
    wait_for(
        "the other entry process returns the recorded response",
        async || {
            let again = deployment.order(1).await;
            // The key counts as in flight until the outcome has been recorded.
            if again.status == 409 {
                return false;
            }
            assert_eq!((again.status, again.outcome()), (201, "answered"));
            assert_eq!(again.body, first.body);
            true
        },
    )
    .await;
    assert_eq!(target.requests("/orders/once").len(), 1);
}
