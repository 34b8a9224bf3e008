//! Definition of the command line.

use std::path::PathBuf;

use bpaf::{Bpaf, OptionParser, Parser, construct, long};

/// Operates a primrosepin deployment.
///
/// Exit codes: 0 success; 1 refused, not healthy or not in force in time; 2 invalid command line or file;
/// 3 unknown whether the change was accepted.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, generate(parser))]
pub struct Options {
    /// Print one JSON object instead of text
    pub json: bool,
    /// Command to run.
    #[bpaf(external)]
    pub command: Command,
}

/// Commands of the operator client.
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Checks, compares and applies configurations
    #[bpaf(command)]
    Config(#[bpaf(external(config_command))] ConfigCommand),
    /// Takes an availability zone out of service or brings it back
    #[bpaf(command)]
    Zone(#[bpaf(external(zone_command))] ZoneCommand),
    /// Takes a target out of service or brings it back
    #[bpaf(command)]
    Target(#[bpaf(external(target_command))] TargetCommand),
    /// Reports whether the deployment is healthy and, if not, what to do
    #[bpaf(command)]
    Status {
        /// Control replicas to query.
        #[bpaf(external)]
        server: Server,
    },
    /// Shows VMs, zones and load, updated periodically
    #[bpaf(command)]
    Top {
        /// Control replicas to query.
        #[bpaf(external)]
        server: Server,
        /// Admin address of an entry VM whose load is shown as well; may be repeated
        #[bpaf(long("entry"), argument("ADDR"))]
        entries: Vec<String>,
        /// Seconds between updates
        #[bpaf(long("interval"), argument("SECONDS"), fallback(2), display_fallback)]
        interval_s: u64,
        /// Number of updates to show; without it, runs until interrupted
        #[bpaf(argument("NUMBER"))]
        count: Option<u64>,
    },
    /// Finds the log lines of a request and the cause of its end
    #[bpaf(command)]
    Explain {
        /// Id of the request
        #[bpaf(positional("REQUEST"))]
        request: String,
        /// Log files of entry VMs
        #[bpaf(positional("FILE"), some("expected at least one log file"))]
        files: Vec<PathBuf>,
    },
    /// Creates and lists certificates of processes, and creates API keys
    #[bpaf(command)]
    Keys(#[bpaf(external(keys_command))] KeysCommand),
    /// Prints a commented example inventory
    #[bpaf(command)]
    Inventory(#[bpaf(external(inventory_command))] InventoryCommand),
}

/// Control replicas to connect to, and the operator key.
#[derive(Debug, Clone, Bpaf)]
pub struct Server {
    /// Admin addresses of control replicas, tried in order until one answers.
    #[bpaf(external)]
    pub controls: Vec<String>,
    /// File that contains the operator key; without it, the key is read from `PRIMROSEPIN_KEY`
    #[bpaf(long("key-file"), argument("FILE"))]
    pub key_file: Option<PathBuf>,
    /// Seconds to wait until the outcome is known
    #[bpaf(long("timeout"), argument("SECONDS"), fallback(30), display_fallback)]
    pub timeout_s: u64,
}

fn controls() -> impl Parser<Vec<String>> {
    let arguments = long("control")
        .help("Admin address of a control replica; may be repeated. Without it, PRIMROSEPIN_CONTROL, a comma-separated list, is used")
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

/// Id of a change, and how long to wait until it is in force.
#[derive(Debug, Clone, Bpaf)]
pub struct SendOptions {
    /// Id printed by an earlier run whose outcome is unknown; the change is not applied a second time
    #[bpaf(argument("ID"))]
    pub id: Option<String>,
    /// Return as soon as the change is accepted
    #[bpaf(long("no-wait"))]
    pub no_wait: bool,
    /// Seconds to wait until the change is in force at every VM
    #[bpaf(long("wait"), argument("SECONDS"), fallback(15), display_fallback)]
    pub wait_s: u64,
}

/// Commands for configurations.
#[derive(Debug, Clone, Bpaf)]
pub enum ConfigCommand {
    /// Checks a file without connecting to control
    #[bpaf(command)]
    Check {
        /// Kind of file: inventory, entry or control
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
    /// Prints the inventory in force and its version, for editing
    #[bpaf(command)]
    Show {
        /// Control replicas to query.
        #[bpaf(external)]
        server: Server,
    },
    /// Shows the differences between the inventory in force and a file
    #[bpaf(command)]
    Diff {
        /// Control replicas to query.
        #[bpaf(external)]
        server: Server,
        /// Inventory file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Applies an inventory and waits until it is in force
    #[bpaf(command)]
    Apply {
        /// Control replicas to send the change to.
        #[bpaf(external)]
        server: Server,
        /// Version that the file is based on, or "current" to replace whichever is in force; without it, the
        /// number in the first line of the file, "// version N"
        #[bpaf(argument("VERSION"))]
        base: Option<Base>,
        /// Options for sending the change.
        #[bpaf(external)]
        send_options: SendOptions,
        /// Inventory file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Lists accepted changes
    #[bpaf(command)]
    History {
        /// Control replicas to query.
        #[bpaf(external)]
        server: Server,
    },
    /// Shows the configuration version in force at each VM
    #[bpaf(command)]
    Status {
        /// Control replicas to query.
        #[bpaf(external)]
        server: Server,
    },
}

/// Kind of a configuration file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Inventory of the deployment.
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

/// Version that a change is based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Base {
    /// This version. It is a conflict if another version is in force.
    Version(u64),
    /// The version in force when the command starts.
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

/// Commands for zones.
#[derive(Debug, Clone, Bpaf)]
pub enum ZoneCommand {
    /// Takes a zone out of service: it gets no new requests, running requests finish
    #[bpaf(command)]
    Out(#[bpaf(external(zone_change))] ZoneChange),
    /// Brings a zone back into service
    #[bpaf(command)]
    In(#[bpaf(external(zone_change))] ZoneChange),
}

/// Arguments of a zone command.
#[derive(Debug, Clone, Bpaf)]
pub struct ZoneChange {
    /// Admin address of an entry VM; may be repeated. Sends the order to these VMs instead of control, for a
    /// zone that control cannot reach
    #[bpaf(long("local"), argument("ADDR"))]
    pub local: Vec<String>,
    /// Control replicas to send the change to.
    #[bpaf(external)]
    pub server: Server,
    /// Options for sending the change.
    #[bpaf(external)]
    pub send_options: SendOptions,
    /// Name of the zone
    #[bpaf(positional("NAME"))]
    pub name: String,
}

/// Commands for targets.
#[derive(Debug, Clone, Bpaf)]
pub enum TargetCommand {
    /// Takes a target out of service: it gets no new requests, running requests finish
    #[bpaf(command)]
    Out(#[bpaf(external(target_change))] TargetChange),
    /// Brings a target back into service
    #[bpaf(command)]
    In(#[bpaf(external(target_change))] TargetChange),
}

/// Arguments of a target command.
#[derive(Debug, Clone, Bpaf)]
pub struct TargetChange {
    /// Control replicas to send the change to.
    #[bpaf(external)]
    pub server: Server,
    /// Options for sending the change.
    #[bpaf(external)]
    pub send_options: SendOptions,
    /// Name of the target
    #[bpaf(positional("NAME"))]
    pub name: String,
}

/// Commands for certificates and API keys.
#[derive(Debug, Clone, Bpaf)]
pub enum KeysCommand {
    /// Creates the certificate and key of a process, and the authority if the folder contains none
    #[bpaf(command)]
    New {
        /// Folder that contains the authority
        #[bpaf(argument("DIR"))]
        dir: PathBuf,
        /// Name of the VM
        #[bpaf(argument("NAME"))]
        vm: String,
        /// Role of the process: entry or control
        #[bpaf(argument("ROLE"))]
        role: Role,
    },
    /// Runs the next step of replacing the authority or, with --vm, replaces the keys of one VM
    #[bpaf(command)]
    Rotate {
        /// Folder that contains the authority
        #[bpaf(argument("DIR"))]
        dir: PathBuf,
        /// Name of the VM whose keys are replaced; the current authority issues the certificates
        #[bpaf(argument("NAME"))]
        vm: Option<String>,
    },
    /// Lists the authorities and certificates in a folder, without private keys
    #[bpaf(command)]
    Show {
        /// Folder that contains the authority
        #[bpaf(argument("DIR"))]
        dir: PathBuf,
    },
    /// Prints a new random API key and its SHA-256
    #[bpaf(command)]
    Api,
}

/// Role of a process, parsed from the command line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Role(pub primrosepin_transport::Role);

impl std::str::FromStr for Role {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let role = primrosepin_transport::Role::parse(text);
        Ok(Self(role.ok_or("expected entry or control")?))
    }
}

/// Commands for inventories.
#[derive(Debug, Clone, Bpaf)]
pub enum InventoryCommand {
    /// Prints a commented example inventory
    #[bpaf(command)]
    New,
}

/// Checks the consistency of the parser definition. For tests; panics on an inconsistency.
pub fn check_invariants() {
    let parser: OptionParser<Options> = parser();
    parser.check_invariants(true);
}
