//! The programs of the deploy file as separate processes, and the operator.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;
use crate::record::note;

const CALLER_PORT: u16 = 8227;
const READY_PORT: u16 = 8220;
const CONTROL_PORT: u16 = 8229;
const INTERNAL_PORT: u16 = 7340;
const METRICS_PORT: u16 = 9464;

pub const ZONES: [&str; 3] = ["trnava-a", "nitra-b", "senec-c"];
pub const HOST: &str = "desk.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// A running program. It is killed on drop.
struct Process {
    name: String,
    child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Number of seeds in the settings.
pub const SEEDS: usize = 3;

/// Control processes and entry processes in a loopback network of their own. The first three control processes, one in
/// each zone, are the seeds.
pub struct Deployment {
    network: u8,
    folder: PathBuf,
    program: String,
    control_vms: usize,
    processes: Vec<Process>,
}

impl Deployment {
    /// Starts the processes.
    pub fn start(control_vms: usize, entry_vms: usize) -> Result<Self, String> {
        let program = std::env::var("PRIMROSEPIN_PLATFORM")
            .map_err(|_| "PRIMROSEPIN_PLATFORM does not name the program".to_owned())?;
        let network = free_network().ok_or("no free loopback network")?;
        let folder = std::env::temp_dir().join(format!("primrosepin-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut deployment = Self {
            network,
            folder,
            program,
            control_vms,
            processes: Vec::new(),
        };
        for number in 0..control_vms {
            deployment.start_process("core", number, true)?;
        }
        for number in 0..entry_vms {
            deployment.start_process("front", number, true)?;
        }
        Ok(deployment)
    }

    fn name(kind: &str, number: usize) -> String {
        format!("{kind}-{}-{}", ZONES[number % 3], number / 3 + 1)
    }

    /// Kills the process of a control VM.
    pub fn kill_control(&mut self, number: usize) {
        let name = Self::name("core", number);
        // Dropping it kills it.
        self.processes.retain(|process| process.name != name);
        note(&format!("{name} killed"));
    }

    /// Waits until the log of a control VM tells that another one was admitted as a learner.
    pub fn wait_for_learner(&self, leader: usize) -> Result<(), String> {
        let log = self.folder.join(format!("{}.log", Self::name("core", leader)));
        let end = Instant::now() + Duration::from_secs(5);
        while Instant::now() < end {
            let text = std::fs::read_to_string(&log).unwrap_or_default();
            if text.contains("(voter: false)") {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Err("the control VM was not admitted".to_owned())
    }

    /// Stops or continues the process of a control VM.
    pub fn signal_control(&self, number: usize, signal: &str) -> Result<(), String> {
        let name = Self::name("core", number);
        let process = self.processes.iter().find(|process| process.name == name);
        let id = process.ok_or("the process does not run")?.child.id();
        note(&format!("{name} gets SIG{signal}"));
        let sent = Command::new("kill").args([&format!("-{signal}"), &id.to_string()]).status();
        match sent {
            Ok(status) if status.success() => Ok(()),
            _ => Err(format!("cannot send SIG{signal}")),
        }
    }

    /// Empties the disk of a control VM whose process was killed.
    pub fn wipe_control(&self, number: usize) -> Result<(), String> {
        let name = Self::name("core", number);
        let data = self.folder.join(format!("{name}-data"));
        note(&format!("{name} loses its disk"));
        std::fs::remove_dir_all(data).map_err(|error| error.to_string())
    }

    /// Starts the process of a control VM again, as the platform does: not to found a new system.
    pub fn restart_control(&mut self, number: usize) -> Result<(), String> {
        self.start_process("core", number, false)
    }

    /// Returns whether a control VM knows who leads: it answers a read, or names the one that does.
    pub fn is_member(&self, number: usize) -> bool {
        let to = self.control_address(number);
        let answer = http::call(to, "GET", "/config", &[], b"", Duration::from_secs(1));
        answer.is_ok_and(|answer| matches!(answer.status(), 200 | 307))
    }

    /// Kills all processes, or those of entry VMs only, at the same moment, and starts them again after `down`.
    pub fn kill_all(
        &mut self,
        entry_vms: usize,
        only_entry: bool,
        down: Duration,
    ) -> Result<(), String> {
        let is_killed = |name: &str| !only_entry || name.starts_with("front");
        for process in &mut self.processes {
            if is_killed(&process.name) {
                // Fails if the process has ended.
                let _ = process.child.kill();
            }
        }
        self.processes.retain(|process| !is_killed(&process.name));
        note(if only_entry { "entry processes killed" } else { "all processes killed" });
        std::thread::sleep(down);
        for number in 0..self.control_vms {
            if !only_entry {
                self.start_process("core", number, false)?;
            }
        }
        for number in 0..entry_vms {
            self.start_process("front", number, false)?;
        }
        Ok(())
    }

    /// Returns the number of the control VM that answers reads of the desired state, and the version that it holds.
    pub fn leader(&self) -> Option<(usize, u64)> {
        let limit = Duration::from_secs(1);
        (0..self.control_vms).find_map(|number| {
            let to = self.control_address(number);
            let answer = http::call(to, "GET", "/config", &[], b"", limit).ok()?;
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let version = text.split("\"version\":").nth(1)?;
            let digits: String = version.chars().take_while(char::is_ascii_digit).collect();
            (answer.status() == 200).then_some((number, digits.parse().ok()?))
        })
    }

    fn ip(&self, kind: &str, number: usize) -> Ipv4Addr {
        let third = if kind == "core" { 1 } else { 2 };
        Ipv4Addr::new(127, self.network, third, number as u8 + 1)
    }

    /// Returns the address of a worker.
    pub fn worker_ip(&self, number: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network, 3, number as u8 + 1)
    }

    fn start_process(&mut self, kind: &str, number: usize, bootstrap: bool) -> Result<(), String> {
        let ip = self.ip(kind, number);
        let zone = ZONES[number % 3];
        let name = Self::name(kind, number);
        let tolerated = if self.control_vms > 3 { 2 } else { 1 };
        let data = self.folder.join(format!("{name}-data"));
        std::fs::create_dir_all(&data).map_err(|error| error.to_string())?;
        let seeds: Vec<String> = (0..SEEDS)
            .map(|seed| format!("\"{}:{CONTROL_PORT}\"", self.ip("core", seed)))
            .collect();
        let (serves, listen, disk) = if kind == "core" {
            let listen = format!("control = \"{ip}:{CONTROL_PORT}\"");
            ("control", listen, format!("data_dir = \"{}\"\n", data.display()))
        } else {
            let listen =
                format!("front = \"{ip}:{CALLER_PORT}\"\nready = \"{ip}:{READY_PORT}\"");
            ("front", listen, String::new())
        };
        let text = format!(
            "node_name = \"{name}\"\nrole = \"{}\"\nmachine_class = \"{kind}\"\nserves = [\"{serves}\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"sk-west\"\n\
             internal_ports = [{INTERNAL_PORT},{}]\nseeds = [{}]\nbootstrap = {bootstrap}\n\
             counts_as_loss = {}\ndiscovery = \"registry\"\nentry = \"vip\"\nheartbeat_ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"places\",\"spans\"]\n\
             config_mode = \"highest\"\n{disk}\
             [zones]\ntrnava-a = \"sk-west\"\nnitra-b = \"sk-west\"\nsenec-c = \"sk-west\"\n\
             [listen]\n{listen}\n\
             [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 128\n\
             [fault_tolerance]\nmachines = {tolerated}\nzones = 1\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\n\
             drain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_ms = 2000\nstale_bound_ms = 250\n\
             max_stretch_ms = 5000\nstrict_revocation = true\nrevoke_ms = 5000\nretry_ratio = 0.2\n\
             retry_window_s = 10\nretry_slack = 106\ncold_factor = 1.5\ncold_slack = 5\n\
             evacuate_ms = 5000\nrecover_s = 12\npass_ms = 120\nretry_after_s = 0\nstall_ms = 1500\n\
             hold_max_ms = 20000\nfree_ms = 4000\nmax_idle_ms = 9000\n",
            if kind == "core" { "control" } else { "entry" },
            INTERNAL_PORT + 15,
            seeds.join(","),
            kind == "core",
        );
        let settings = self.folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text).map_err(|error| error.to_string())?;
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let program = &self.program;
        let child = Command::new(program)
            .env("PRIMROSEPIN_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(errors))
            .spawn()
            .map_err(|error| format!("cannot start {program}: {error}"))?;
        note(&format!("{name} started at {ip}"));
        self.processes.push(Process { name, child });
        Ok(())
    }

    pub fn caller_address(&self, entry_vm: usize) -> SocketAddr {
        (self.ip("front", entry_vm), CALLER_PORT).into()
    }

    pub fn control_address(&self, number: usize) -> SocketAddr {
        (self.ip("core", number), CONTROL_PORT).into()
    }

    /// Sends an operator's order as the platform does: to any control VM, following redirects, again until it
    /// is confirmed. Returns the time of the confirmation.
    pub fn order(&self, method: &str, path: &str, body: &[u8]) -> Result<Duration, String> {
        let end = Instant::now() + Duration::from_secs(20);
        let mut attempt = 0;
        while Instant::now() < end {
            let mut to = self.control_address(attempt % self.control_vms);
            attempt += 1;
            for _ in 0..3 {
                let headers = [("Content-Type", "application/json")];
                let limit = Duration::from_secs(1);
                let Ok(answer) = http::call(to, method, path, &headers, body, limit) else {
                    break;
                };
                match answer.status() {
                    200 => return Ok(note(&format!("operator: {method} {path} confirmed by {to}"))),
                    307 => {
                        let location = answer.header("location").unwrap_or_default();
                        let rest = location.strip_prefix("http://").unwrap_or_default();
                        let host = rest.split('/').next().unwrap_or_default();
                        to = host.parse().map_err(|_| format!("bad redirect {location}"))?;
                    }
                    500.. => break,
                    status => return Err(format!("{method} {path} answered {status}")),
                }
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(format!("{method} {path} was not confirmed"))
    }

    /// Waits until an entry VM reports that it is ready.
    pub fn wait_until_ready(&self, entry_vm: usize) -> Result<(), String> {
        let to = (self.ip("front", entry_vm), READY_PORT).into();
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            let answer = http::call(to, "GET", "/ready", &[], b"", Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err("an entry VM is not ready".to_owned())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.processes.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            // A folder that stays behind does no harm.
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            println!("logs are in {}", self.folder.display());
        }
    }
}

/// Returns the second number of a loopback network whose ports are free.
fn free_network() -> Option<u8> {
    let first = std::process::id() as usize;
    (0..200)
        .map(|offset| 20 + ((first + offset * 7) % 200) as u8)
        .find(|network| {
            let ports = [CALLER_PORT, READY_PORT, CONTROL_PORT, INTERNAL_PORT, METRICS_PORT];
            (1..=2).all(|third| {
                (1..=8).all(|last| {
                    let ip = Ipv4Addr::new(127, *network, third, last);
                    ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok())
                })
            })
        })
}

/// Returns the desired state of a small deployment.
pub fn config(version: u64) -> Vec<u8> {
    let engine = "\"engine\":{\"slots\":16,\"kv_capacity\":405000,\"kv_token_bytes\":163840,\"link_mbps\":400000.0,\
         \"stride\":34,\"models\":[{\"name\":\"m\"}],\"step_ms\":1.31,\"per_seq_ms\":0.000917,\
         \"context_per_k\":0.00213,\"read_per_s\":154000.0,\"pairs_per_m\":0.162,\"chunk\":2048,\
         \"report_lag_ms\":200.0,\"loads_per_s\":0.0,\"loads_at_once\":8,\"usual\":{\"prompt\":11316,\
         \"answer\":1266},\"hop_ms\":0.1}";
    let stream = |name: &str, goal: u64, timeout: u64, gap: u64| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\"route_type\":\"stream\",\
             \"timeout_ms\":{timeout},\"goal_ms\":{goal},\"priority\":1,\"service\":\"kolo-lm\",\
             \"max_attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":{gap}}}"
        )
    };
    let plain = |name: &str, kind: &str, attempts: u64| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\"route_type\":\"{kind}\",\
             \"timeout_ms\":1000,\"goal_ms\":150,\"priority\":2,\"service\":\"kolo-orders\",\
             \"max_attempts\":{attempts},\"public\":false}}"
        )
    };
    let routes = [
        stream("fit-query", 300, 10_000, 250),
        stream("order-history", 1_500, 10_000, 600),
        stream("catalogue-ruling", 3_000, 15_000, 1_000),
        plain("place-order", "unsafe", 1),
        plain("stock-read", "safe", 2),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"kolo-lm\",\"health_path\":\"/health\",\"max_conns\":434,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_s\":3.0,\"cold_per_s\":36.0,{engine}}},\
         {{\"name\":\"kolo-orders\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
    .into_bytes()
}
