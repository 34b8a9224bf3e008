//! Load driver: sends calls at their times from several threads.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use actix_rt::Arbiter;
use tokio::sync::mpsc;

use crate::caller::{Route, Seen, client, send};
use crate::clock::{now_us, sleep_until};
use crate::workload::Call;

/// Threads that send calls.
const THREADS: usize = 2;

/// Entry VMs that the platform's load balancer sends to.
#[derive(Debug, Clone, Default)]
pub struct Balancer {
    entries: Arc<Mutex<Vec<SocketAddr>>>,
}

impl Balancer {
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

/// Sends calls at their times after `begin_us`; yields what the callers saw, in order of their
/// ends.
pub fn drive(
    calls: Vec<Call>,
    begin_us: u64,
    route: &Route,
    balancer: &Balancer,
) -> (Vec<Arbiter>, mpsc::UnboundedReceiver<Seen>) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let mut shares: Vec<Vec<Call>> = vec![Vec::new(); THREADS];
    for (number, call) in calls.into_iter().enumerate() {
        shares[number % THREADS].push(call);
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
    balancer: Balancer,
    sender: mpsc::UnboundedSender<Seen>,
) {
    let http = client();
    let route = Arc::new(route);
    for call in share {
        let due_us = begin_us + call.at_us;
        sleep_until(due_us).await;
        let (http, route, sender) = (http.clone(), Arc::clone(&route), sender.clone());
        let Some(entry) = balancer.pick(call.draw) else {
            log::warn!("no entry VM is left at {}", now_us());
            continue;
        };
        actix_rt::spawn(async move {
            let seen = send(&http, &route, entry, call, due_us).await;
            // Fails only if the run was given up.
            drop(sender.send(seen));
        });
    }
}
