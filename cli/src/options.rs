//! The command line.

use std::path::PathBuf;

use bpaf::{Bpaf, OptionParser, Parser, construct, long};

/// Operates a primrosepin deployment.
///
/// Exit codes: 0 done; 1 refused, not healthy or not in force in time; 2 error in the command line or
/// in a file; 3 the change may or may not be accepted.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, generate(parser))]
pub struct Options {
    /// Print one JSON object instead of text
    pub json: bool,
    /// What to do.
    #[bpaf(external)]
    pub command: Command,
}

/// Commands of the operators' client.
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Checks, compares and applies the configuration
    #[bpaf(command)]
    Config(#[bpaf(external(config_command))] ConfigCommand),
    /// Takes an availability zone out of service or brings it back
    #[bpaf(command)]
    Zone(#[bpaf(external(zone_command))] ZoneCommand),
    /// Takes a target out of service or brings it back
    #[bpaf(command)]
    Target(#[bpaf(external(target_command))] TargetCommand),
    /// Tells whether the deployment is healthy and, if not, what to do
    #[bpaf(command)]
    Status {
        /// Where to ask.
        #[bpaf(external)]
        server: Server,
    },
    /// Shows VMs, zones and load again and again
    #[bpaf(command)]
    Top {
        /// Where to ask.
        #[bpaf(external)]
        server: Server,
        /// Admin address of an entry VM whose load is shown too, may be repeated
        #[bpaf(long("entry"), argument("ADDR"))]
        entries: Vec<String>,
        /// Seconds between two views
        #[bpaf(long("interval"), argument("SECONDS"), fallback(2), display_fallback)]
        interval_s: u64,
        /// Views to show; without it, until interrupted
        #[bpaf(argument("NUMBER"))]
        count: Option<u64>,
    },
    /// Finds in log files what became of a request, and why
    #[bpaf(command)]
    Explain {
        /// Id of the request
        #[bpaf(positional("REQUEST"))]
        request: String,
        /// Log files of entry VMs
        #[bpaf(positional("FILE"), some("name at least one log file"))]
        files: Vec<PathBuf>,
    },
    /// Creates and shows certificates of processes and API keys
    #[bpaf(command)]
    Keys(#[bpaf(external(keys_command))] KeysCommand),
    /// Prints a commented example of an inventory
    #[bpaf(command)]
    Inventory(#[bpaf(external(inventory_command))] InventoryCommand),
}

/// Control replicas and the operator's key.
#[derive(Debug, Clone, Bpaf)]
pub struct Server {
    /// Admin addresses of control replicas; the next one is tried when one does not answer.
    #[bpaf(external)]
    pub controls: Vec<String>,
    /// File with the operator key; without it, the key is read from `PRIMROSEPIN_KEY`
    #[bpaf(long("key-file"), argument("FILE"))]
    pub key_file: Option<PathBuf>,
    /// Seconds within which the outcome must be known
    #[bpaf(long("timeout"), argument("SECONDS"), fallback(30), display_fallback)]
    pub timeout_s: u64,
}

fn controls() -> impl Parser<Vec<String>> {
    let arguments = long("control")
        .help("Admin address of a control replica, may be repeated; without it, PRIMROSEPIN_CONTROL with commas")
        .argument::<String>("ADDR")
        .many();
    construct!(arguments).map(|given: Vec<String>| {
        if given.is_empty() {
            let list = std::env::var("PRIMROSEPIN_CONTROL").unwrap_or_default();
            let names = list.split(',').map(str::trim);
            names
                .filter(|name| !name.is_empty())
                .map(str::to_owned)
                .collect()
        } else {
            given
        }
    })
}

/// How to send a change and how long to wait until it is in force.
#[derive(Debug, Clone, Bpaf)]
pub struct Sending {
    /// Id of an earlier run whose outcome stayed unknown; the change is not applied twice
    #[bpaf(argument("ID"))]
    pub id: Option<String>,
    /// Return as soon as the change is accepted
    #[bpaf(long("no-wait"))]
    pub no_wait: bool,
    /// Seconds within which the change must be in force at each VM
    #[bpaf(long("wait"), argument("SECONDS"), fallback(15), display_fallback)]
    pub wait_s: u64,
}

/// Commands on the configuration.
#[derive(Debug, Clone, Bpaf)]
pub enum ConfigCommand {
    /// Checks a file without a connection
    #[bpaf(command)]
    Check {
        /// What the file holds: inventory, entry or control
        #[bpaf(
            long("as"),
            argument("KIND"),
            fallback(Kind::Inventory),
            display_fallback
        )]
        kind: Kind,
        /// File to check
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Prints the inventory in force with its version, ready to be edited
    #[bpaf(command)]
    Show {
        /// Where to ask.
        #[bpaf(external)]
        server: Server,
    },
    /// Shows how a file differs from the inventory in force
    #[bpaf(command)]
    Diff {
        /// Where to ask.
        #[bpaf(external)]
        server: Server,
        /// Inventory
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Applies an inventory and waits until it is in force
    #[bpaf(command)]
    Apply {
        /// Where to send it.
        #[bpaf(external)]
        server: Server,
        /// Version that the file was edited from, or "current" to replace any; without it, the number in
        /// the file's line "// version N"
        #[bpaf(argument("VERSION"))]
        base: Option<Base>,
        /// How to send it.
        #[bpaf(external)]
        sending: Sending,
        /// Inventory
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Lists accepted changes
    #[bpaf(command)]
    History {
        /// Where to ask.
        #[bpaf(external)]
        server: Server,
    },
    /// Shows which version is in force at each VM
    #[bpaf(command)]
    Status {
        /// Where to ask.
        #[bpaf(external)]
        server: Server,
    },
}

/// What a file holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// An inventory.
    Inventory,
    /// Settings of an entry process.
    Entry,
    /// Settings of a control process.
    Control,
}

impl std::fmt::Display for Kind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Inventory => "inventory",
            Self::Entry => "entry",
            Self::Control => "control",
        })
    }
}

impl std::str::FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "inventory" => Ok(Self::Inventory),
            "entry" => Ok(Self::Entry),
            "control" => Ok(Self::Control),
            _ => Err("expected inventory, entry or control".into()),
        }
    }
}

/// Version that a change starts from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Base {
    /// This version; another one in force is a conflict.
    Version(u64),
    /// Whatever is in force when the command starts.
    Current,
}

impl std::str::FromStr for Base {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        if text == "current" {
            return Ok(Self::Current);
        }
        let version = text.parse().ok();
        let version = version.ok_or("expected a version number or \"current\"")?;
        Ok(Self::Version(version))
    }
}

/// Commands on a zone.
#[derive(Debug, Clone, Bpaf)]
pub enum ZoneCommand {
    /// Takes a zone out of service: it gets no new work, running work finishes
    #[bpaf(command)]
    Out(#[bpaf(external(zone_change))] ZoneChange),
    /// Brings a zone back into service
    #[bpaf(command)]
    In(#[bpaf(external(zone_change))] ZoneChange),
}

/// A change of a zone.
#[derive(Debug, Clone, Bpaf)]
pub struct ZoneChange {
    /// Admin address of an entry VM, may be repeated: sends the order there and not to control, for a zone
    /// that control cannot reach
    #[bpaf(long("local"), argument("ADDR"))]
    pub local: Vec<String>,
    /// Where to send it.
    #[bpaf(external)]
    pub server: Server,
    /// How to send it.
    #[bpaf(external)]
    pub sending: Sending,
    /// Zone
    #[bpaf(positional("NAME"))]
    pub name: String,
}

/// Commands on a target.
#[derive(Debug, Clone, Bpaf)]
pub enum TargetCommand {
    /// Takes a target out of service: it gets no new work, running work finishes
    #[bpaf(command)]
    Out(#[bpaf(external(target_change))] TargetChange),
    /// Brings a target back into service
    #[bpaf(command)]
    In(#[bpaf(external(target_change))] TargetChange),
}

/// A change of a target.
#[derive(Debug, Clone, Bpaf)]
pub struct TargetChange {
    /// Where to send it.
    #[bpaf(external)]
    pub server: Server,
    /// How to send it.
    #[bpaf(external)]
    pub sending: Sending,
    /// Target
    #[bpaf(positional("NAME"))]
    pub name: String,
}

/// Commands on keys.
#[derive(Debug, Clone, Bpaf)]
pub enum KeysCommand {
    /// Creates the certificate and key of a process, and the authority if the folder has none
    #[bpaf(command)]
    New {
        /// Folder of the authority
        #[bpaf(argument("DIR"))]
        dir: PathBuf,
        /// Name of the VM
        #[bpaf(argument("NAME"))]
        vm: String,
        /// Role of the process: entry or control
        #[bpaf(argument("ROLE"))]
        role: Role,
    },
    /// Takes the next step of replacing the authority or, with --vm, the key of one process
    #[bpaf(command)]
    Rotate {
        /// Folder of the authority
        #[bpaf(argument("DIR"))]
        dir: PathBuf,
        /// Name of the VM whose key is replaced under the present authority
        #[bpaf(argument("NAME"))]
        vm: Option<String>,
    },
    /// Lists the authorities and certificates of a folder, without private keys
    #[bpaf(command)]
    Show {
        /// Folder of the authority
        #[bpaf(argument("DIR"))]
        dir: PathBuf,
    },
    /// Prints a new random API key and its SHA-256
    #[bpaf(command)]
    Api,
}

/// Role of a process on the command line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Role(pub primrosepin_transport::Role);

impl std::str::FromStr for Role {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let role = primrosepin_transport::Role::parse(text);
        Ok(Self(role.ok_or("expected entry or control")?))
    }
}

/// Commands on an inventory.
#[derive(Debug, Clone, Bpaf)]
pub enum InventoryCommand {
    /// Prints a commented example
    #[bpaf(command)]
    New,
}

/// Checks the parser's own invariants; used by tests.
pub fn check_invariants() {
    let parser: OptionParser<Options> = parser();
    parser.check_invariants(true);
}
