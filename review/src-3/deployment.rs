//! Entry and control processes of the deploy file on loopback addresses, and the operator.

use std::ffi::{c_int, c_ulong};
use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::Failure;
use crate::http::{Answer, call};
use crate::record::Record;

pub const CALLER_PORT: u16 = 8227;
pub const READY_PORT: u16 = 8220;
pub const CONTROL_PORT: u16 = 8229;
pub const INTERNAL_PORT: u16 = 7340;

/// Program of the deploy file.
const PROGRAM: &str = "target/release/primrosepin-platform";

unsafe extern "C" {
    fn prctl(option: c_int, ...) -> c_int;
}

/// Makes the kernel kill the calling process when the script ends, also if it is killed.
fn end_with_script() -> std::io::Result<()> {
    const PR_SET_PDEATHSIG: c_int = 1;
    const SIGKILL: c_ulong = 9;
    // SAFETY: this option takes a signal number and touches no memory.
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    }
}

/// A process. It is killed on drop.
pub struct Process {
    pub ip: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub fn start(&mut self) -> Result<(), Failure> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(PROGRAM);
        command
            .env("PRIMROSEPIN_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log));
        // SAFETY: the hook makes one system call and allocates nothing.
        unsafe { command.pre_exec(end_with_script) };
        self.child = Some(command.spawn()?);
        Ok(())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails only if the process has ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Time within which the first desired state must be confirmed.
const PUBLISH_LIMIT: Duration = Duration::from_secs(20);

/// Returns the address that a redirect names; none if it is no redirect.
fn redirect(answer: &Answer) -> Option<SocketAddr> {
    let location = answer.header("location").filter(|_| answer.status == 307)?;
    let rest = location.strip_prefix("http://")?;
    rest.split('/').next()?.parse().ok()
}

/// A small deployment.
pub struct Deployment {
    pub cores: Vec<Process>,
    pub fronts: Vec<Process>,
    pub network: u8,
    folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.cores.clear();
        self.fronts.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns a loopback network in which nothing listens, from 127.`first`.0.0 on.
fn free_network(first: u8) -> Result<u8, Failure> {
    let is_free = |network: &u8| {
        let sample = [
            (1, CONTROL_PORT),
            (1, INTERNAL_PORT),
            (2, CALLER_PORT),
            (2, READY_PORT),
            (2, INTERNAL_PORT),
        ];
        (1..=9).all(|number| {
            sample.iter().all(|(third, port)| {
                TcpListener::bind((Ipv4Addr::new(127, *network, *third, number), *port)).is_ok()
            })
        })
    };
    (first..first + 9)
        .find(is_free)
        .ok_or_else(|| Failure("no free loopback network".into()))
}

impl Deployment {
    /// Starts processes with empty disks, in zones by turns.
    pub fn start(network: u8, fronts: usize, cores: usize) -> Result<Self, Failure> {
        if !std::path::Path::new(PROGRAM).exists() {
            return Err(Failure(format!("{PROGRAM} is not built")));
        }
        let network = free_network(network)?;
        let folder = std::env::temp_dir().join(format!("review-{}-{network}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut deployment = Self {
            cores: Vec::new(),
            fronts: Vec::new(),
            network,
            folder,
        };
        for number in 0..cores {
            let process = deployment.prepare("core", number, true)?;
            deployment.cores.push(process);
        }
        for number in 0..fronts {
            let process = deployment.prepare("front", number, true)?;
            deployment.fronts.push(process);
        }
        for process in deployment.cores.iter_mut().chain(&mut deployment.fronts) {
            process.start()?;
        }
        Ok(deployment)
    }

    fn ip(&self, kind: &str, number: usize) -> Ipv4Addr {
        let third = if kind == "core" { 1 } else { 2 };
        Ipv4Addr::new(127, self.network, third, number as u8 + 1)
    }

    /// Returns the address of a worker.
    pub fn worker_ip(&self, number: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network, 3, number as u8 + 1)
    }

    /// Writes the settings of a process, with the fields and bounds of the first installation's sheet.
    fn prepare(&self, kind: &str, number: usize, bootstrap: bool) -> Result<Process, Failure> {
        let ip = self.ip(kind, number);
        let name = format!("{kind}-{number}");
        let seeds: Vec<String> = (0..3)
            .map(|seed| format!("\"{}:{CONTROL_PORT}\"", self.ip("core", seed)))
            .collect();
        let (serves, listen, counts, memory) = if kind == "core" {
            (
                "control",
                format!("control = \"{ip}:{CONTROL_PORT}\""),
                true,
                256,
            )
        } else {
            let listen = format!("front = \"{ip}:{CALLER_PORT}\"\nready = \"{ip}:{READY_PORT}\"");
            ("front", listen, false, 260)
        };
        let data = self.folder.join(format!("{name}-data"));
        let data_dir = if kind == "core" {
            fs::create_dir_all(&data)?;
            format!("data_dir = \"{}\"\n", data.display())
        } else {
            String::new()
        };
        let settings = self.folder.join(format!("{name}.toml"));
        let text = format!(
            "node_name = \"{name}\"\nrole = \"{serves}\"\nmachine_class = \"{kind}\"\nserves = [\"{serves}\"]\n\
             ip = \"{ip}\"\nzone = \"zone-{zone}\"\nregion = \"r\"\n\
             internal_ports = [{INTERNAL_PORT},{last}]\nseeds = [{seeds}]\nbootstrap = {bootstrap}\n\
             counts_as_loss = {counts}\ndiscovery = \"registry\"\nentry = \"vip\"\nheartbeat_ms = 1200\n\
             config_mode = \"highest\"\n{data_dir}\
             [zones]\nzone-0 = \"r\"\nzone-1 = \"r\"\nzone-2 = \"r\"\n[listen]\n{listen}\n\
             [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = {memory}\nmax_fds = 4096\nlink_mbps = 1000.0\n\
             disk_mb = 128\n[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\n\
             drain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_ms = 2000\nstale_bound_ms = 250\n\
             max_stretch_ms = 5000\nstrict_revocation = true\nrevoke_ms = 5000\nretry_ratio = 0.2\n\
             retry_window_s = 10\nretry_slack = 106\ncold_factor = 1.5\ncold_slack = 5\nevacuate_ms = 5000\n\
             recover_s = 12\npass_ms = 120\nretry_after_s = 0\nstall_ms = 1500\nhold_max_ms = 20000\n\
             free_ms = 4000\nmax_idle_ms = 9000\n",
            zone = number % 3,
            last = INTERNAL_PORT + 15,
            seeds = seeds.join(","),
        );
        fs::write(&settings, text)?;
        Ok(Process {
            ip: ip.into(),
            settings,
            log: self.folder.join(format!("{name}.log")),
            child: None,
        })
    }

    /// Returns the address for consumers.
    pub fn front_address(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.fronts[number].ip, CALLER_PORT)
    }

    /// Returns the addresses for workers and the operator.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        let addresses = self
            .cores
            .iter()
            .map(|core| SocketAddr::new(core.ip, CONTROL_PORT));
        addresses.collect()
    }

    /// Publishes a desired state as the operator does: at the control machines in turn, following two redirects, until
    /// it is confirmed.
    pub fn publish(&self, state: &str, record: &Record) -> Result<(), Failure> {
        let end = Instant::now() + PUBLISH_LIMIT;
        let addresses = self.control_addresses();
        for mut to in addresses.iter().copied().cycle() {
            if Instant::now() > end {
                break;
            }
            for _ in 0..3 {
                let headers = [("Content-Type", "application/json")];
                let second = Duration::from_secs(1);
                let answer = call(to, "PUT", "/config", &headers, state.as_bytes(), second);
                let Ok(answer) = answer else { break };
                if answer.status == 200 {
                    record.line(&format!("operator: the desired state is confirmed by {to}"));
                    return Ok(());
                }
                let Some(next) = redirect(&answer) else { break };
                to = next;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(Failure("the desired state is not confirmed".into()))
    }

    /// Waits until a front answers the balancer's question with 200.
    pub fn wait_until_ready(&self, front: usize, limit: Duration) -> Result<(), Failure> {
        let to = SocketAddr::new(self.fronts[front].ip, READY_PORT);
        let end = Instant::now() + limit;
        while Instant::now() < end {
            let answer = call(to, "GET", "/ready", &[], b"", Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status == 200) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(Failure(format!("front-{front} does not become ready")))
    }
}
