//! Load driver: sends calls at their scheduled times from several threads.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use actix_rt::Arbiter;
use tokio::sync::mpsc;

use crate::caller::{Observation, Route, client, send};
use crate::clock::{now_us, sleep_until};
use crate::workload::Call;

/// Number of threads that send calls.
const SENDER_THREADS: usize = 2;

/// Stands in for the platform's load balancer: the entry VMs that receive calls.
#[derive(Debug, Clone, Default)]
pub struct LoadBalancer {
    entries: Arc<Mutex<Vec<SocketAddr>>>,
}

impl LoadBalancer {
    /// Creates a balancer.
    pub fn new(entries: Vec<SocketAddr>) -> Self {
        Self {
            entries: Arc::new(Mutex::new(entries)),
        }
    }

    /// Replaces the entry VMs.
    pub fn set(&self, entries: Vec<SocketAddr>) {
        *self.entries.lock().unwrap_or_else(PoisonError::into_inner) = entries;
    }

    fn pick(&self, draw: u64) -> Option<SocketAddr> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let number = draw.checked_rem(entries.len() as u64)?;
        entries.get(number as usize).copied()
    }
}

/// Sends calls at their scheduled times after `begin_us`. The receiver yields an observation per
/// call, in the order in which the calls end.
pub fn drive(
    calls: Vec<Call>,
    begin_us: u64,
    route: &Route,
    balancer: &LoadBalancer,
) -> (Vec<Arbiter>, mpsc::UnboundedReceiver<Observation>) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let mut shares: Vec<Vec<Call>> = vec![Vec::new(); SENDER_THREADS];
    for (number, call) in calls.into_iter().enumerate() {
        shares[number % SENDER_THREADS].push(call);
    }
    let arbiters = shares.into_iter().map(|share| {
        let arbiter = Arbiter::new();
        let (route, balancer, sender) = (route.clone(), balancer.clone(), sender.clone());
        arbiter.spawn_fn(move || {
            actix_rt::spawn(send_share(share, begin_us, route, balancer, sender));
        });
        arbiter
    });
    (arbiters.collect(), receiver)
}

async fn send_share(
    share: Vec<Call>,
    begin_us: u64,
    route: Route,
    balancer: LoadBalancer,
    sender: mpsc::UnboundedSender<Observation>,
) {
    let http = client();
    let route = Arc::new(route);
    for call in share {
        let due_us = begin_us + call.at_us;
        sleep_until(due_us).await;
        let (http, route, sender) = (http.clone(), Arc::clone(&route), sender.clone());
        let Some(entry) = balancer.pick(call.draw) else {
            log::warn!("call dropped at {} us: no entry VM is running", now_us());
            continue;
        };
        actix_rt::spawn(async move {
            let observation = send(&http, &route, entry, call, due_us).await;
            // Fails only if the run was aborted and the receiver dropped.
            drop(sender.send(observation));
        });
    }
}
