//! The configuration of a region: routes, services, organisations.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::Engine;

/// How often a request of a route may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// It is idempotent.
    Idempotent,
    /// At most once for each attempt of the caller.
    AtMostOnce,
    /// A stream that another target can resume after the last delivered event.
    Resumable,
}

/// A route: what callers may ask for, and where it runs.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name for logs.
    pub name: Arc<str>,
    /// Host that callers address.
    pub host: Arc<str>,
    /// Path prefix, with a slash at both ends.
    pub prefix: Arc<str>,
    /// How often a request may run.
    pub retry_policy: RetryPolicy,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// Longest time from arrival to the final answer.
    pub timeout: Duration,
    /// Time within which the first event or the answer is on time.
    pub objective: Duration,
    /// Longest pause between events that is on time; none if the route does not say.
    pub gap: Option<Duration>,
    /// Rank; 0 comes first.
    pub priority: u8,
    /// Services with their weights.
    pub split: SmallVec<[(Arc<str>, u32); 2]>,
    /// Targets on which one attempt of a caller may run.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
}

/// A service: targets that serve the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name.
    pub name: Arc<str>,
    /// Connections that one target takes from all callers.
    pub max_connections: u32,
    /// Requests that a target in cold start bears in a second; zero if it bears any.
    pub cold_per_s: f64,
    /// The model engine; none for a plain service.
    pub engine: Option<Engine>,
    /// Shortest of the pauses between events that are on time for the routes to it; set by
    /// [`Config::new`].
    pub gap: Option<Duration>,
}

impl Service {
    /// Returns whether the targets are model engines.
    pub fn is_engine(&self) -> bool {
        self.engine.is_some()
    }
}

/// An organisation with its keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// Name.
    pub name: Arc<str>,
    /// Keys of its callers.
    pub keys: Vec<Arc<str>>,
    /// Rank that goes before that of the route.
    pub priority: Option<u8>,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Longest head, bytes.
    pub head_bytes: usize,
    /// Longest body, bytes.
    pub body_bytes: usize,
    /// Longest time for a head.
    pub head_timeout: Duration,
    /// Longest time without a request on a connection.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 8 * 1024 * 1024,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_mins(1),
        }
    }
}

/// Why a configuration is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigError {
    /// A route names a service that is not there.
    UnknownService {
        /// Route.
        route: Arc<str>,
        /// Service that it names.
        service: Arc<str>,
    },
    /// Two routes have the same host and prefix.
    DuplicateRoute {
        /// Earlier route.
        first: Arc<str>,
        /// Later route.
        second: Arc<str>,
    },
    /// The weights of a route add up to zero.
    ZeroWeight {
        /// Route.
        route: Arc<str>,
    },
    /// The timeout of a route is zero.
    ZeroTimeout {
        /// Route.
        route: Arc<str>,
    },
    /// Two organisations have the same key.
    DuplicateKey {
        /// Earlier organisation.
        first: Arc<str>,
        /// Later organisation.
        second: Arc<str>,
    },
}

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::UnknownService { route, service } => {
                write!(
                    f,
                    "route {route} names service {service}, which is not there"
                )
            }
            Self::DuplicateRoute { first, second } => {
                write!(
                    f,
                    "routes {first} and {second} have the same host and prefix"
                )
            }
            Self::ZeroWeight { route } => write!(f, "the weights of route {route} add up to 0"),
            Self::ZeroTimeout { route } => write!(f, "the timeout of route {route} is 0"),
            Self::DuplicateKey { first, second } => {
                write!(f, "organisations {first} and {second} share a key")
            }
        }
    }
}

impl std::error::Error for ConfigError {}

/// A checked configuration with its indexes.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// Version that the operators gave.
    pub version: u64,
    /// What callers may send.
    pub limits: Limits,
    routes: Vec<Arc<Route>>,
    /// Routes by host, longest prefix first.
    hosts: HashMap<Arc<str>, Vec<usize>>,
    services: HashMap<Arc<str>, Arc<Service>>,
    /// Organisation by key; none if requests need no key.
    keys: Option<HashMap<Arc<str>, Arc<Organisation>>>,
}

impl Config {
    /// Checks and indexes a configuration. Without organisations no request needs a key.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        organisations: Option<Vec<Organisation>>,
        limits: Limits,
    ) -> Result<Self, ConfigError> {
        let gap = |name: &Arc<str>| {
            let to = |route: &&Route| route.split.iter().any(|(service, _)| service == name);
            routes.iter().filter(to).filter_map(|route| route.gap).min()
        };
        let services: HashMap<_, _> = services
            .into_iter()
            .map(|service| Service {
                gap: gap(&service.name),
                ..service
            })
            .map(|service| (Arc::clone(&service.name), Arc::new(service)))
            .collect();
        let routes: Vec<_> = routes.into_iter().map(Arc::new).collect();
        let mut hosts: HashMap<Arc<str>, Vec<usize>> = HashMap::new();
        let mut places: HashMap<(Arc<str>, Arc<str>), Arc<str>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            let name = || Arc::clone(&route.name);
            if let Some((service, _)) = route.split.iter().find(|(s, _)| !services.contains_key(s))
            {
                let service = Arc::clone(service);
                return Err(ConfigError::UnknownService {
                    route: name(),
                    service,
                });
            }
            if route
                .split
                .iter()
                .map(|(_, weight)| u64::from(*weight))
                .sum::<u64>()
                == 0
            {
                return Err(ConfigError::ZeroWeight { route: name() });
            }
            if route.timeout.is_zero() {
                return Err(ConfigError::ZeroTimeout { route: name() });
            }
            let place = (Arc::clone(&route.host), Arc::clone(&route.prefix));
            if let Some(first) = places.insert(place, name()) {
                return Err(ConfigError::DuplicateRoute {
                    first,
                    second: name(),
                });
            }
            hosts
                .entry(Arc::clone(&route.host))
                .or_default()
                .push(index);
        }
        for indexes in hosts.values_mut() {
            indexes.sort_by_key(|index| std::cmp::Reverse(routes[*index].prefix.len()));
        }
        let keys = organisations.map(index_keys).transpose()?;
        Ok(Self {
            version,
            limits,
            routes,
            hosts,
            services,
            keys,
        })
    }

    /// Returns the route with the longest prefix of a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let indexes = self.hosts.get(host)?;
        let mut routes = indexes.iter().map(|index| &self.routes[*index]);
        routes.find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns a route by its name.
    pub fn route_named(&self, name: &str) -> Option<&Arc<Route>> {
        self.routes.iter().find(|route| &*route.name == name)
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all routes.
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }

    /// Returns whether requests need a key.
    pub fn needs_key(&self) -> bool {
        self.keys.is_some()
    }

    /// Returns the organisation that holds a key.
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.keys.as_ref()?.get(key)
    }
}

fn index_keys(
    organisations: Vec<Organisation>,
) -> Result<HashMap<Arc<str>, Arc<Organisation>>, ConfigError> {
    let mut keys: HashMap<Arc<str>, Arc<Organisation>> = HashMap::new();
    for organisation in organisations {
        let organisation = Arc::new(organisation);
        let own: HashSet<&Arc<str>> = organisation.keys.iter().collect();
        for key in own {
            if let Some(first) = keys.insert(Arc::clone(key), Arc::clone(&organisation)) {
                return Err(ConfigError::DuplicateKey {
                    first: Arc::clone(&first.name),
                    second: Arc::clone(&organisation.name),
                });
            }
        }
    }
    Ok(keys)
}
