//! Stand-in model engine.

pub mod cache;
mod http;
mod model;
pub mod settings;
mod stream;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, oneshot, watch};

pub use self::settings::Settings;

use self::model::{Model, Plan};
use crate::announcer::Announcer;
use crate::fault::Fault;
use crate::record::{Record, Status};
use crate::server::{self, Connections};
use crate::time::now_us;

/// Longest time between two checks of the leases while the engine is idle.
const IDLE_INTERVAL_MS: u64 = 20;

/// Deviation from the schedule of steps above which the driver starts a new schedule instead of
/// catching up.
const SCHEDULE_LAG_US_MAX: u64 = 50_000;

#[derive(Debug)]
pub(crate) struct Shared {
    model: Mutex<Model>,
    connections: Arc<Connections>,
    /// Wakes the driver.
    wake: Notify,
    /// Changes trigger an announcement.
    changed: watch::Sender<u64>,
    /// Injected crash: time until the restart, milliseconds, and whether the engine is then cold.
    crash: Mutex<Option<(u64, bool)>>,
    /// Request to stop; the sender reports that it is done.
    stop: Mutex<Option<oneshot::Sender<()>>>,
    address: SocketAddr,
}

impl Shared {
    pub(crate) fn model(&self) -> MutexGuard<'_, Model> {
        self.model.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn announce(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    pub(crate) fn inject_fault(&self, fault: &Fault) {
        let now_us = now_us();
        let mut model = self.model();
        model.pending.set(fault, now_us);
        match *fault {
            Fault::Die { for_ms, cold } => {
                *self.crash.lock().unwrap_or_else(PoisonError::into_inner) = Some((for_ms, cold));
            }
            Fault::GoCold { silent } => {
                let grace_ms = model.settings.cold_grace_ms;
                model.turn_cold(now_us, silent, grace_ms);
            }
            Fault::Silence => self.connections.hang_open(),
            _ => {}
        }
        drop(model);
        self.wake.notify_one();
        self.announce();
    }
}

/// A running stand-in engine. Dropping the handle leaves it running.
#[derive(Debug, Clone)]
pub struct Engine {
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts an engine on the actix runtime of the caller.
    pub async fn start(settings: Settings) -> io::Result<Self> {
        let listener = server::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let announcer = Announcer {
            entries: settings.entries.clone(),
            key: settings.announce_key.clone(),
            interval: Duration::from_millis(settings.announce_ms),
            seed: settings.seed,
        };
        let (changed, changes) = watch::channel(0);
        let shared = Arc::new(Shared {
            model: Mutex::new(Model::new(settings, now_us())),
            connections: Arc::new(Connections::default()),
            wake: Notify::new(),
            changed,
            crash: Mutex::new(None),
            stop: Mutex::new(None),
            address,
        });
        let weak = Arc::downgrade(&shared);
        actix_rt::spawn(announcer.run(changes, move || {
            let shared = weak.upgrade()?;
            let address = shared.address.to_string();
            shared.model().announcement(&address, now_us())
        }));
        actix_rt::spawn(drive(Arc::clone(&shared), listener));
        Ok(Self { shared })
    }

    /// Returns the HTTP address.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns the name of the target.
    pub fn name(&self) -> String {
        self.shared.model().settings.name.clone()
    }

    /// Returns the records of all runs, in the order of their arrival.
    pub fn records(&self) -> Vec<Record> {
        self.shared.model().records.clone()
    }

    /// Returns the current state.
    pub fn status(&self) -> Status {
        self.shared.model().status()
    }

    /// Injects a fault.
    pub fn inject_fault(&self, fault: &Fault) {
        self.shared.inject_fault(fault);
    }

    /// Sets whether the engine announces `draining` and refuses new work.
    pub fn set_draining(&self, draining: bool) {
        self.shared.model().draining = draining;
        self.shared.announce();
    }

    /// Closes all connections and stops.
    pub async fn stop(&self) {
        let (stopped, done) = oneshot::channel();
        *self
            .shared
            .stop
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(stopped);
        self.shared.wake.notify_one();
        // An error means that the runtime of the engine has ended, which stops the engine as well.
        drop(done.await);
    }
}

/// Runs the steps of the model, and opens and closes the listener.
async fn drive(shared: Arc<Shared>, mut listener: tokio::net::TcpListener) {
    loop {
        let handler = http::handler(Arc::clone(&shared));
        let server = server::serve(listener, Arc::clone(&shared.connections), handler);
        let end = step_until_end(&shared).await;
        server.abort();
        // The listener is closed once its task has ended.
        drop(server.await);
        shared.connections.abort_all();
        shared.model().shut_down(now_us());
        let (down_ms, cold) = match end {
            End::Stopped(stopped) => {
                // Nothing to do if the receiver was dropped.
                let _ = stopped.send(());
                return;
            }
            End::Crashed { down_ms, cold } => (down_ms, cold),
        };
        log::info!(
            "engine {} crashed; restarting in {down_ms} ms",
            shared.address
        );
        actix_rt::time::sleep(Duration::from_millis(down_ms)).await;
        listener = match server::bind(shared.address).await {
            Ok(listener) => listener,
            Err(error) => {
                log::error!("engine {} cannot restart: {error}", shared.address);
                return;
            }
        };
        shared.model().restart(now_us(), cold);
        shared.announce();
    }
}

#[derive(Debug)]
enum End {
    Stopped(oneshot::Sender<()>),
    Crashed { down_ms: u64, cold: bool },
}

async fn step_until_end(shared: &Shared) -> End {
    let mut schedule_us = now_us();
    let mut was_cold = None;
    loop {
        let stop = shared
            .stop
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(stopped) = stop {
            return End::Stopped(stopped);
        }
        let crash = shared
            .crash
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some((down_ms, cold)) = crash {
            return End::Crashed { down_ms, cold };
        }
        let now = now_us();
        let plan = {
            let mut model = shared.model();
            let plan = model.plan(now);
            let cold = model.status().cold;
            if was_cold.replace(cold).is_some_and(|before| before != cold) {
                shared.announce();
            }
            if plan == Plan::Crash {
                return End::Crashed {
                    down_ms: model.settings.down_ms,
                    cold: true,
                };
            }
            plan
        };
        match plan {
            Plan::Step(step_us) => {
                if now.saturating_sub(schedule_us) > SCHEDULE_LAG_US_MAX
                    || schedule_us > now + SCHEDULE_LAG_US_MAX
                {
                    schedule_us = now;
                }
                schedule_us += step_us;
                let wait_us = schedule_us.saturating_sub(now_us());
                if wait_us > 0 {
                    actix_rt::time::sleep(Duration::from_micros(wait_us)).await;
                } else {
                    tokio::task::yield_now().await;
                }
                shared.model().complete_step(now_us());
            }
            Plan::Idle | Plan::Crash => {
                // After a time-out the loop only checks the leases again.
                drop(
                    actix_rt::time::timeout(
                        Duration::from_millis(IDLE_INTERVAL_MS),
                        shared.wake.notified(),
                    )
                    .await,
                );
                schedule_us = now_us();
            }
        }
    }
}
