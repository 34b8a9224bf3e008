//! Entry and control processes of one deployment, each on a loopback address of its own.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use std::{fs, io, thread};

use crate::http::{self, Message};
use crate::record;

const CALLER_PORT: u16 = 8227;
const READY_PORT: u16 = 8220;
const CONTROL_PORT: u16 = 8229;
const METRICS_PORT: u16 = 9464;
const INTERNAL_PORT: u16 = 7340;

/// Time between the starts of two machines.
const START_GAP: Duration = Duration::from_millis(25);

/// Time limit for an expected state before the disruption.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Command of the deploy file.
const PROGRAM: &str = "target/release/primrosepin-platform";

/// A process of the deployment. It is killed on drop.
pub struct Process {
    pub name: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Whether its machine was taken away for good.
    pub is_removed: bool,
}

impl Process {
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .unwrap();
        let child = Command::new(PROGRAM)
            .env("PRIMROSEPIN_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(error) => crate::give_up(&format!("cannot start {PROGRAM}: {error}")),
        }
    }

    /// Keeps the process from bootstrapping a deployment at its next start.
    fn forbid_bootstrap(&self) {
        let text = fs::read_to_string(&self.settings).unwrap();
        let text = text.replace("bootstrap = true", "bootstrap = false");
        fs::write(&self.settings, text).unwrap();
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both fail only if the process has ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal, by its number.
    pub fn signal(&self, number: i32) {
        unsafe extern "C" {
            fn kill(process: i32, signal: i32) -> i32;
        }
        if let Some(child) = &self.child {
            // The process is a child that was not waited for, so its id is not in use elsewhere.
            unsafe { kill(child.id() as i32, number) };
        }
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub fn caller_address(&self) -> SocketAddr {
        (self.ip, CALLER_PORT).into()
    }

    pub fn ready_address(&self) -> SocketAddr {
        (self.ip, READY_PORT).into()
    }

    /// Returns whether it answers the balancer's question with 200.
    pub fn is_ready(&self) -> bool {
        http::call(
            self.ready_address(),
            "GET",
            "/ready",
            b"",
            Duration::from_secs(1),
        )
        .is_ok_and(|answer| answer.status() == 200)
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Processes of one deployment.
pub struct Deployment {
    pub entry: Vec<Process>,
    pub control: Vec<Process>,
    zones: Vec<String>,
    network: u8,
    folder: PathBuf,
}

impl Deployment {
    /// Starts entry processes in the given zones, and three control processes, one in each zone.
    pub fn start(zones: &[&str], entry_zones: &[usize]) -> Self {
        let folder = folder();
        fs::create_dir_all(&folder).unwrap();
        let mut deployment = Self {
            entry: Vec::new(),
            control: Vec::new(),
            zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
            network: free_network(),
            folder,
        };
        for number in 0..3 {
            let zone = number % zones.len();
            let process = deployment.prepare("core", number, zone);
            deployment.control.push(process);
        }
        for (number, zone) in entry_zones.iter().enumerate() {
            let process = deployment.prepare("front", number, *zone);
            deployment.entry.push(process);
        }
        // Machines start within 0.3 s of each other.
        for process in deployment.control.iter_mut().chain(&mut deployment.entry) {
            process.start();
            thread::sleep(START_GAP);
        }
        deployment
    }

    /// Starts a control process on a new machine, with an empty disk and at an address of its own.
    pub fn add_control(&mut self, zone: usize) {
        let number = self.control.len();
        let mut process = self.prepare("core", number, zone);
        process.forbid_bootstrap();
        process.start();
        record::write(&format!("{} is added", process.name));
        self.control.push(process);
    }

    /// Kills a control process, whose machine loses its disk.
    pub fn lose_disk(&mut self, number: usize) {
        let process = &mut self.control[number];
        process.kill();
        let data = self.folder.join(format!("{}-data", process.name));
        fs::remove_dir_all(&data).unwrap();
        fs::create_dir_all(&data).unwrap();
        process.forbid_bootstrap();
    }

    fn prepare(&self, role: &str, number: usize, zone: usize) -> Process {
        let third = if role == "core" { 1 } else { 2 };
        let ip = Ipv4Addr::new(127, self.network, third, number as u8 + 1);
        let name = format!("{role}-{}-{}", self.zones[zone], number + 1);
        let seeds: Vec<String> = self
            .control_addresses()
            .iter()
            .map(|address| format!("\"{address}\""))
            .collect();
        let listen = if role == "core" {
            format!("control = \"{ip}:{CONTROL_PORT}\"")
        } else {
            format!("front = \"{ip}:{CALLER_PORT}\"\nready = \"{ip}:{READY_PORT}\"")
        };
        let data = self.folder.join(format!("{name}-data"));
        fs::create_dir_all(&data).unwrap();
        let zones: String = self
            .zones
            .iter()
            .map(|zone| format!("{zone} = \"region\"\n"))
            .collect();
        let (serves, memory, descriptors) = match role {
            "core" => ("control", 256, 4096),
            _ => ("front", 260, 4100),
        };
        let text = format!(
            "node_name = \"{name}\"\nrole = \"{role}\"\nmachine_class = \"{role}\"\n\
             serves = [\"{serves}\"]\nip = \"{ip}\"\nzone = \"{}\"\nregion = \"region\"\n\
             internal_ports = [{INTERNAL_PORT},{}]\nseeds = [{}]\nbootstrap = true\n\
             counts_as_loss = {}\nheartbeat_ms = 1200\ndata_dir = \"{}\"\n[zones]\n{zones}\
             [listen]\n{listen}\n[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = {memory}\n\
             max_fds = {descriptors}\n[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n\
             [bounds]\ncontact_ms = 3000\nack_ms = 4000\ndrain_ms = 2000\ngrace_s = 8\n\
             config_ms = 2000\nrevoke_ms = 5000\nretry_ratio = 0.2\nretry_window_s = 10\n\
             retry_slack = 106\ncold_factor = 1.5\ncold_slack = 5\n",
            self.zones[zone],
            INTERNAL_PORT + 15,
            seeds.join(","),
            role == "core",
            data.display(),
        );
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, text).unwrap();
        Process {
            log: self.folder.join(format!("{name}.log")),
            name,
            ip,
            settings,
            child: None,
            is_removed: false,
        }
    }

    /// Returns the addresses of the first three control processes, which are the seeds.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        (1..=3)
            .map(|number| (Ipv4Addr::new(127, self.network, 1, number), CONTROL_PORT).into())
            .collect()
    }

    /// Returns the addresses that the operator has: those of the control machines that were not removed.
    fn operator_addresses(&self) -> Vec<SocketAddr> {
        let processes = self.control.iter().filter(|process| !process.is_removed);
        processes
            .map(|process| (process.ip, CONTROL_PORT).into())
            .collect()
    }

    /// Returns the answer to a call of the operator, if there is a clear one in time.
    pub fn try_operator_call(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Option<Message> {
        let started = Instant::now();
        let addresses = self.operator_addresses();
        for attempt in 0.. {
            let to = addresses[attempt % addresses.len()];
            if let Some(answer) = call_with_redirects(to, method, path, body) {
                return Some(answer);
            }
            if started.elapsed() > timeout {
                break;
            }
            thread::sleep(Duration::from_millis(100));
        }
        None
    }

    /// Returns the addresses at which the entry processes take consumers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.entry.iter().map(Process::caller_address).collect()
    }

    /// Returns the address of a worker.
    pub fn worker_ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network, 3, number)
    }

    /// Sends a call as the operator does: to any control process, with two redirects and retries.
    fn operator_call(&self, method: &str, path: &str, body: &[u8]) -> Message {
        self.try_operator_call(method, path, body, START_TIMEOUT)
            .unwrap_or_else(|| crate::give_up(&format!("no clear answer to {method} {path}")))
    }

    /// Publishes a desired state.
    pub fn publish(&self, document: &str) {
        let answer = self.operator_call("PUT", "/config", document.as_bytes());
        if answer.status() != 200 {
            crate::give_up(&format!("PUT /config: {}", answer.first_line));
        }
        record::write("operator: the desired state is confirmed");
    }

    /// Waits until all entry processes are ready.
    pub fn wait_until_ready(&self) {
        wait_until("entry processes ready", || {
            self.entry.iter().all(Process::is_ready)
        });
    }

    /// Ends all processes and removes the files.
    pub fn stop(mut self) {
        for process in self.entry.iter_mut().chain(&mut self.control) {
            process.kill();
        }
        remove_files();
    }
}

/// Returns the folder for settings, data and logs of this run.
fn folder() -> PathBuf {
    let process = std::process::id();
    std::env::temp_dir().join(format!("primrosepin-review-{process}"))
}

/// Removes the files of this run, unless the variable `KEEP_LOGS` is set.
pub fn remove_files() {
    if std::env::var_os("KEEP_LOGS").is_some() {
        println!("files are kept in {}", folder().display());
        return;
    }
    // Files that stay are in the temporary folder.
    let _ = fs::remove_dir_all(folder());
}

/// Returns a desired state with one route to one service, each given by its own fields. `more` follows the limits.
pub fn desired_state(version: u32, route: &str, service: &str, more: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"host\":\"desk.example\",\"priority\":1,{route}}}],\
         \"services\":[{{\"health_path\":\"/health\",\"protocol\":\"h1\",\"tls\":false,{service}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}{more}}}"
    )
}

/// Returns the fields of a route for orders that run at most once, to the service `orders`.
pub fn order_route(timeout_ms: u64) -> String {
    format!(
        "\"name\":\"place-order\",\"path_prefix\":\"/order/\",\"route_type\":\"unsafe\",\
         \"timeout_ms\":{timeout_ms},\"goal_ms\":5000,\"service\":\"orders\",\"max_attempts\":1,\
         \"public\":true"
    )
}

/// Fields of the service `orders`.
pub const ORDERS: &str = "\"name\":\"orders\",\"max_conns\":110,\"cold_s\":0.0,\"cold_per_s\":0.0";

/// Waits for a state that the case needs.
pub fn wait_until<F: FnMut() -> bool>(what: &str, mut holds: F) {
    let started = Instant::now();
    while !holds() {
        if started.elapsed() > START_TIMEOUT {
            crate::give_up(&format!("timed out waiting for: {what}"));
        }
        thread::sleep(Duration::from_millis(50));
    }
}

fn call_with_redirects(
    first: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
) -> Option<Message> {
    let mut to = first;
    for _ in 0..3 {
        let answer = http::call(to, method, path, body, Duration::from_secs(1)).ok()?;
        match answer.status() {
            307 => {
                let location = answer.field("location")?.strip_prefix("http://")?;
                to = location.split('/').next()?.parse().ok()?;
            }
            408 | 429 | 500.. => return None,
            _ => return Some(answer),
        }
    }
    None
}

/// Returns the second number of a loopback network in which nobody listens on the ports of the deployment. The numbers are
/// below those that the project's own tests use.
fn free_network() -> u8 {
    const FIRST: u8 = 20;
    const COUNT: u8 = 100;
    let start = (std::process::id() % u32::from(COUNT)) as u8;
    for step in 0..COUNT {
        let network = FIRST + (start + step) % COUNT;
        let is_free = |third: u8, port: u16| -> io::Result<()> {
            TcpListener::bind((Ipv4Addr::new(127, network, third, 1), port)).map(drop)
        };
        if is_free(1, METRICS_PORT).is_ok() && is_free(2, INTERNAL_PORT).is_ok() {
            return network;
        }
    }
    crate::give_up("no free loopback network")
}
