//! Configuration of a region: routes, services and organisations.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::{Engine, Policy};

/// How often a request of a route may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once for each attempt of the caller.
    AtMostOnce,
    /// A stream that another target can resume after the last delivered event.
    Resumable,
}

/// Maps requests by host and path to services, with their limits.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name for logs and metrics.
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
    /// Latency objective: time within which the first event or the complete answer must arrive.
    pub objective: Duration,
    /// Objective for the gap between events of a stream; none if the route does not set one.
    pub gap: Option<Duration>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services and the weights by which requests are split among them.
    pub split: SmallVec<[(Arc<str>, u32); 2]>,
    /// Most targets on which one attempt of a caller may run.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
}

/// Targets that serve the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name by which routes refer to it.
    pub name: Arc<str>,
    /// Most connections that one target accepts from all callers together.
    pub max_connections: u32,
    /// Requests per second that a target in cold start can take; with zero, only
    /// [`Settings::cold_slack`](super::Settings::cold_slack) is allowed.
    pub cold_per_s: f64,
    /// Cost model of the engine; none for a plain service.
    pub engine: Option<Engine>,
    /// One-way delay between the availability zones that are farthest apart; zero if it is not configured.
    pub zone_delay: Duration,
    /// Smallest gap objective among the routes to this service; set by [`Config::new`].
    pub gap: Option<Duration>,
    /// Decisions that the configuration calls for; set by [`Config::new`].
    pub policy: Policy,
}

impl Service {
    /// Returns whether the targets are model engines.
    pub fn is_engine(&self) -> bool {
        self.engine.is_some()
    }
}

/// An organisation and the keys of its callers.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// Name, for logs and metrics.
    pub name: Arc<str>,
    /// Keys of its callers.
    pub keys: Vec<Arc<str>>,
    /// Priority that overrides that of the route.
    pub priority: Option<u8>,
}

/// Limits on callers' connections and requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes in a request head.
    pub head_bytes: usize,
    /// Most bytes in a request body.
    pub body_bytes: usize,
    /// Longest time for a request head to arrive.
    pub head_timeout: Duration,
    /// Longest time that a connection may be idle.
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

/// Why a configuration is rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigError {
    /// A route refers to a service that is not defined.
    UnknownService {
        /// Name of the route.
        route: Arc<str>,
        /// Name of the undefined service.
        service: Arc<str>,
    },
    /// Two routes have the same host and prefix.
    DuplicateRoute {
        /// Earlier route.
        first: Arc<str>,
        /// Later route.
        second: Arc<str>,
    },
    /// All weights of a route are zero.
    ZeroWeight {
        /// Name of the route.
        route: Arc<str>,
    },
    /// The timeout of a route is zero.
    ZeroTimeout {
        /// Name of the route.
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

/// A validated configuration with its indexes.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// Version given by the operators.
    pub version: u64,
    /// Limits on callers' connections and requests.
    pub limits: Limits,
    routes: Vec<Arc<Route>>,
    /// Routes by host, longest prefix first.
    hosts: HashMap<Arc<str>, Vec<usize>>,
    services: HashMap<Arc<str>, Arc<Service>>,
    /// Organisation by key; none if requests need no key.
    keys: Option<HashMap<Arc<str>, Arc<Organisation>>>,
}

impl Config {
    /// Validates and indexes a configuration. If `organisations` is none, no request needs a key.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        organisations: Option<Vec<Organisation>>,
        limits: Limits,
    ) -> Result<Self, ConfigError> {
        let routes_to = |name: &Arc<str>| {
            let name = Arc::clone(name);
            routes
                .iter()
                .filter(move |route| route.split.iter().any(|(service, _)| *service == name))
        };
        let services: HashMap<_, _> = services
            .into_iter()
            .map(|service| Service {
                gap: routes_to(&service.name).filter_map(|route| route.gap).min(),
                policy: Policy::new(&service, routes_to(&service.name)),
                ..service
            })
            .map(|service| (Arc::clone(&service.name), Arc::new(service)))
            .collect();
        let routes: Vec<_> = routes.into_iter().map(Arc::new).collect();
        let mut hosts: HashMap<Arc<str>, Vec<usize>> = HashMap::new();
        let mut names_by_prefix: HashMap<(Arc<str>, Arc<str>), Arc<str>> = HashMap::new();
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
            let host_and_prefix = (Arc::clone(&route.host), Arc::clone(&route.prefix));
            if let Some(first) = names_by_prefix.insert(host_and_prefix, name()) {
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

    /// Returns the route with the longest prefix of `path` on `host`.
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

    /// Returns whether non-public routes need a key.
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
