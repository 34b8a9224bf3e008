//! A small deployment of real processes on loopback addresses.

use std::fmt::Write as _;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::os::unix::process::CommandExt as _;
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

pub const CALLER_PORT: u16 = 8227;
const READY_PORT: u16 = 8220;
pub const CONTROL_PORT: u16 = 8229;
const INTERNAL_PORT: u16 = 7340;
const METRICS_PORT: u16 = 9464;

/// Names and figures of a deployment of the users, from its site file.
#[derive(Debug, Clone, Copy)]
pub struct Site {
    pub zones: [&'static str; 3],
    region: &'static str,
    /// Service of model workers.
    pub model: &'static str,
    /// Plain service.
    pub plain: &'static str,
    /// Route with short prompts, and one with very long prompts.
    pub short: &'static str,
    pub long: &'static str,
    /// Routes whose requests may run once, and at will.
    pub order: &'static str,
    pub read: &'static str,
    retry_slack: u32,
}

pub const KOLO: Site = Site {
    zones: ["trnava-a", "nitra-b", "senec-c"],
    region: "sk-west",
    model: "kolo-lm",
    plain: "kolo-orders",
    short: "fit-query",
    long: "catalogue-ruling",
    order: "place-order",
    read: "stock-read",
    retry_slack: 236,
};

pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const HOST: &str = "ficu95.example";

/// Why a case could not run.
pub type Failure = Box<dyn std::error::Error>;

/// Ids of the running processes of the deployment.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

unsafe extern "C" {
    fn prctl(option: std::ffi::c_int, argument: std::ffi::c_ulong) -> std::ffi::c_int;
}

/// Ends this process and the deployment after `limit`, so that a case that hangs leaves nothing behind.
pub fn limit_time(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        for id in RUNNING.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            // Fails if the process has ended.
            let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
        }
        eprintln!("the case took too long");
        std::process::exit(2);
    });
}

/// A process of the deployment. It is killed on drop.
#[derive(Debug)]
pub struct Process {
    pub name: String,
    pub ip: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub fn start(&mut self, program: &Path) -> io::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let mut command = Command::new(program);
        command
            .env_clear()
            .env("PRIMROSEPIN_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // SAFETY: a single system call. The process ends with this one (PR_SET_PDEATHSIG, SIGKILL).
        unsafe {
            command.pre_exec(|| {
                prctl(1, 9);
                Ok(())
            });
        }
        let child = command.spawn()?;
        RUNNING.lock().unwrap_or_else(PoisonError::into_inner).push(child.id());
        self.child = Some(child);
        Ok(())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let id = child.id();
            RUNNING.lock().unwrap_or_else(PoisonError::into_inner).retain(|other| *other != id);
            // Fails if the process has ended.
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

/// Entry and control processes, each with its own loopback address.
#[derive(Debug)]
pub struct Fleet {
    pub entries: Vec<Process>,
    pub controls: Vec<Process>,
    pub network: u8,
    pub site: Site,
    program: PathBuf,
    folder: PathBuf,
}

impl Fleet {
    /// Starts a deployment with the bounds of a site.
    pub fn start(site: Site, entries: usize, controls: usize) -> Result<Self, Failure> {
        let program = Path::new("target/release/primrosepin-platform").canonicalize()?;
        let network = free_network().ok_or("no free loopback network")?;
        let unique = format!("primrosepin-review-4-{}-{network}", std::process::id());
        let folder = std::env::temp_dir().join(unique);
        fs::create_dir_all(&folder)?;
        let mut fleet = Self {
            entries: Vec::new(),
            controls: Vec::new(),
            network,
            site,
            program,
            folder,
        };
        for number in 0..controls {
            let process = fleet.prepare("core", 1, number, controls)?;
            fleet.controls.push(process);
        }
        for number in 0..entries {
            let process = fleet.prepare("front", 2, number, controls)?;
            fleet.entries.push(process);
        }
        let program = fleet.program.clone();
        for process in fleet.controls.iter_mut().chain(&mut fleet.entries) {
            process.start(&program)?;
        }
        Ok(fleet)
    }

    fn prepare(
        &self,
        class: &str,
        third: u8,
        number: usize,
        controls: usize,
    ) -> Result<Process, Failure> {
        let ip = format!("127.{}.{third}.{}", self.network, number + 1);
        let name = format!("{class}-{number}");
        let (zone, region) = (self.site.zones[number % 3], self.site.region);
        let seeds: Vec<String> = (0..controls.min(3))
            .map(|seed| format!("\"127.{}.1.{}:{CONTROL_PORT}\"", self.network, seed + 1))
            .collect();
        let is_core = class == "core";
        let data = self.folder.join(format!("{name}-data"));
        let mut text = String::new();
        writeln!(text, "node_name = \"{name}\"\nrole = \"{}\"", if is_core { "control" } else { "entry" })?;
        writeln!(text, "machine_class = \"{class}\"")?;
        writeln!(text, "serves = [\"{}\"]", if is_core { "control" } else { "front" })?;
        writeln!(text, "ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"{region}\"")?;
        writeln!(text, "internal_ports = [{INTERNAL_PORT},{}]", INTERNAL_PORT + 15)?;
        writeln!(text, "seeds = [{}]\nbootstrap = true", seeds.join(","))?;
        writeln!(text, "counts_as_loss = {is_core}\ndiscovery = \"registry\"\nentry = \"vip\"")?;
        writeln!(text, "heartbeat_ms = 1200\nconfig_mode = \"highest\"")?;
        if is_core {
            fs::create_dir_all(&data)?;
            writeln!(text, "data_dir = \"{}\"", data.display())?;
        }
        writeln!(text, "[zones]")?;
        for zone in self.site.zones {
            writeln!(text, "{zone} = \"{region}\"")?;
        }
        if is_core {
            writeln!(text, "[listen]\ncontrol = \"{ip}:{CONTROL_PORT}\"")?;
        } else {
            writeln!(text, "[listen]\nfront = \"{ip}:{CALLER_PORT}\"\nready = \"{ip}:{READY_PORT}\"")?;
        }
        let (cpu, memory_mb, fds) = if is_core { (0.15, 256, 4096) } else { (0.12, 160, 4100) };
        writeln!(text, "[limits]\ncpu_share = {cpu}\ncores = 1\nmemory_mb = {memory_mb}\nmax_fds = {fds}")?;
        writeln!(text, "[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0")?;
        writeln!(text, "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 4000\nack_ms = 5000")?;
        writeln!(text, "catch_up_s = 6\ndrain_ms = 2500\ngrace_s = 8\nloss_slack_ms = 200\nconfig_ms = 2500")?;
        writeln!(text, "stale_bound_ms = 250\nmax_stretch_ms = 6000\nstrict_revocation = true\nrevoke_ms = 5000")?;
        writeln!(text, "retry_ratio = 0.2\nretry_window_s = 10\nretry_slack = {}", self.site.retry_slack)?;
        writeln!(text, "cold_factor = 1.5\ncold_slack = 5\nevacuate_ms = 5000\nrecover_s = 15\npass_ms = 200")?;
        writeln!(text, "stall_ms = 1500\nhold_max_ms = 20000\nfree_ms = 4000\nmax_idle_ms = 9000")?;
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        Ok(Process {
            log: self.folder.join(format!("{name}.log")),
            name,
            ip,
            settings,
            child: None,
        })
    }

    /// Returns a loopback address for a stand-in.
    pub fn ip(&self, third: u8, number: u8) -> String {
        format!("127.{}.{third}.{number}", self.network)
    }

    pub fn caller_address(&self, entry: usize) -> SocketAddr {
        address(&self.entries[entry].ip, CALLER_PORT)
    }

    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.controls
            .iter()
            .map(|process| address(&process.ip, CONTROL_PORT))
            .collect()
    }

    /// Sends a call of the operator as the pages say: to any control process, following redirects, until the answer is
    /// conclusive.
    pub fn operate(&self, method: &str, path: &str, body: &[u8], within: Duration) -> Result<u16, Failure> {
        let end = Instant::now() + within;
        let all = self.control_addresses();
        let mut turn = 0;
        while Instant::now() < end {
            let mut to = all[turn % all.len()];
            turn += 1;
            for _ in 0..3 {
                let Ok(answer) = call(to, method, path, &[], body, Duration::from_secs(1)) else {
                    break;
                };
                match answer.status {
                    307 => {
                        let location = answer.header("location").unwrap_or_default().to_owned();
                        let rest = location.trim_start_matches("http://");
                        let Ok(next) = rest.split('/').next().unwrap_or_default().parse() else {
                            break;
                        };
                        to = next;
                    }
                    500.. => break,
                    status => return Ok(status),
                }
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(format!("no conclusive answer to {method} {path}").into())
    }

    /// Waits until all entry processes say that they are ready.
    pub fn wait_until_ready(&self) -> Result<(), Failure> {
        for entry in &self.entries {
            let to = address(&entry.ip, READY_PORT);
            let end = Instant::now() + Duration::from_secs(30);
            while !call(to, "GET", "/ready", &[], b"", Duration::from_secs(1))
                .is_ok_and(|answer| answer.status == 200)
            {
                if Instant::now() > end {
                    return Err(format!("{} is not ready", entry.name).into());
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in self.entries.iter_mut().chain(&mut self.controls) {
            process.kill();
        }
        if std::env::var_os("KEEP_FOLDER").is_none() {
            // Fails only if a file is still in use.
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("settings and logs: {}", self.folder.display());
        }
    }
}

pub fn address(ip: &str, port: u16) -> SocketAddr {
    SocketAddr::new(ip.parse().expect("an address"), port)
}

/// Returns a loopback network in which the ports of a deployment are free.
fn free_network() -> Option<u8> {
    let first = std::process::id() % 60;
    let all = (0..60).map(|step| 180 + ((first + step) % 60) as u8);
    let is_free = |network: &u8| {
        let ports = [CALLER_PORT, READY_PORT, CONTROL_PORT, INTERNAL_PORT, METRICS_PORT];
        (1..=2).all(|third| {
            ports
                .iter()
                .all(|port| TcpListener::bind((format!("127.{network}.{third}.1").as_str(), *port)).is_ok())
        })
    };
    let mut all = all;
    all.find(is_free)
}

/// An HTTP answer.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived up to its end.
    pub complete: bool,
    /// How the connection ended if the body is not complete.
    pub end: String,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Sends a request on a new connection and reads the answer.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    within: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, within)?;
    stream.set_read_timeout(Some(within))?;
    stream.write_all(&encode(method, path, headers, body))?;
    read_answer(&mut stream)
}

/// Encodes a request on a connection that is kept.
pub fn encode(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n");
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    if method != "GET" || !body.is_empty() {
        let _ = write!(head, "Content-Length: {}\r\n", body.len());
    }
    head.push_str("\r\n");
    [head.as_bytes(), body].concat()
}

/// Splits a head into its first line and its headers.
pub fn parse_head(head: &str) -> (String, Vec<(String, String)>) {
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
    (first, headers.collect())
}

/// Reads one answer. Fails if the connection ends before the end of the head.
pub fn read_answer<R>(stream: &mut R) -> io::Result<Answer>
where
    R: Read,
{
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 * 1024];
    let end = loop {
        if let Some(end) = find(&bytes, b"\r\n\r\n") {
            break end;
        }
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.extend_from_slice(&buffer[..count]);
    };
    let (first, headers) = parse_head(&String::from_utf8_lossy(&bytes[..end]));
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
    let mut answer = Answer {
        status: status.unwrap_or_default(),
        headers,
        body: bytes.split_off(end + 4),
        ..Answer::default()
    };
    let length: Option<usize> = answer.header("content-length").and_then(|text| text.parse().ok());
    loop {
        let is_complete = match length {
            Some(length) => answer.body.len() >= length,
            None => answer.body.ends_with(b"0\r\n\r\n"),
        };
        if is_complete {
            answer.complete = true;
            return Ok(answer);
        }
        match stream.read(&mut buffer) {
            Ok(0) => answer.end = "closed".into(),
            Err(error) => answer.end = error.to_string(),
            Ok(count) => {
                answer.body.extend_from_slice(&buffer[..count]);
                continue;
            }
        }
        return Ok(answer);
    }
}

pub fn find(bytes: &[u8], text: &[u8]) -> Option<usize> {
    bytes.windows(text.len()).position(|part| part == text)
}

/// Returns a desired state with the routes, services and limits of a site.
pub fn desired_state(site: Site, version: u64) -> String {
    let stream = |name: &str, timeout: u32, goal: u32, gap: u32| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\"route_type\":\"stream\",\
             \"timeout_ms\":{timeout},\"goal_ms\":{goal},\"priority\":1,\"service\":\"{}\",\"max_attempts\":2,\
             \"public\":false,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":{gap}}}",
            site.model
        )
    };
    let plain = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\"route_type\":\"{kind}\",\
             \"timeout_ms\":10000,\"goal_ms\":150,\"priority\":2,\"service\":\"{}\",\
             \"max_attempts\":{attempts},\"public\":false}}",
            site.plain
        )
    };
    let routes = [
        stream(site.short, 10_000, 300, 250),
        stream(site.long, 15_000, 4_000, 1_000),
        plain(site.order, "unsafe", 1),
        plain(site.read, "safe", 2),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{}\",\"health_path\":\"/health\",\
         \"max_conns\":608,\"protocol\":\"h1\",\"tls\":false,\"cold_s\":3.0,\"cold_per_s\":36.0,\"engine\":{{\
         \"slots\":12,\"kv_capacity\":405000,\"kv_token_bytes\":163840,\"link_mbps\":400000.0,\"stride\":38,\
         \"models\":[{{\"name\":\"m\"}}],\"step_ms\":1.31,\"per_seq_ms\":0.000917,\"context_per_k\":0.00213,\
         \"read_per_s\":154000.0,\"pairs_per_m\":0.162,\"chunk\":2048,\"report_lag_ms\":200.0,\"hop_ms\":0.1}}}},\
         {{\"name\":\"{}\",\"health_path\":\"/health\",\"max_conns\":510,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_s\":0.0,\"cold_per_s\":0.0}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"hule930\",\
         \"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(","), site.model, site.plain
    )
}
