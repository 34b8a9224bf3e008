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

/// Longest time between two looks at the leases.
const IDLE_MS: u64 = 20;

/// Lag behind schedule after which the driver starts a new schedule instead of catching up.
const LAG_US_MAX: u64 = 50_000;

#[derive(Debug)]
pub(crate) struct Shared {
    model: Mutex<Model>,
    connections: Arc<Connections>,
    wake: Notify,
    changed: watch::Sender<u64>,
    death: Mutex<Option<(u64, bool)>>,
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

    pub(crate) fn fault(&self, fault: &Fault) {
        let now_us = now_us();
        let mut model = self.model();
        model.pending.set(fault, now_us);
        match *fault {
            Fault::Die { for_ms, cold } => {
                *self.death.lock().unwrap_or_else(PoisonError::into_inner) = Some((for_ms, cold));
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
            death: Mutex::new(None),
            stop: Mutex::new(None),
            address,
        });
        let announced = Arc::downgrade(&shared);
        actix_rt::spawn(announcer.run(changes, move || {
            let shared = announced.upgrade()?;
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

    /// Returns what the engine knows of each run.
    pub fn records(&self) -> Vec<Record> {
        self.shared.model().records.clone()
    }

    /// Returns the state.
    pub fn status(&self) -> Status {
        self.shared.model().status()
    }

    /// Injects a fault.
    pub fn inject_fault(&self, fault: &Fault) {
        self.shared.fault(fault);
    }

    /// Announces `draining` and refuses new work, or ends that.
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
        // An error means that the runtime of the engine is gone, which stops it as well.
        drop(done.await);
    }
}

/// Steps the model and opens and closes the listener.
async fn drive(shared: Arc<Shared>, mut listener: tokio::net::TcpListener) {
    loop {
        let handler = http::handler(Arc::clone(&shared));
        let serving = server::serve(listener, Arc::clone(&shared.connections), handler);
        let end = step_until_end(&shared).await;
        serving.abort();
        // The listener is closed once its task is gone.
        drop(serving.await);
        shared.connections.abort_all();
        shared.model().shut_down(now_us());
        let (down_ms, cold) = match end {
            End::Stopped(stopped) => {
                // The receiver may be gone, which needs no answer.
                let _ = stopped.send(());
                return;
            }
            End::Died { down_ms, cold } => (down_ms, cold),
        };
        log::info!("engine {} is down for {down_ms} ms", shared.address);
        actix_rt::time::sleep(Duration::from_millis(down_ms)).await;
        listener = match server::bind(shared.address).await {
            Ok(listener) => listener,
            Err(error) => {
                log::error!("engine {} cannot return: {error}", shared.address);
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
    Died { down_ms: u64, cold: bool },
}

async fn step_until_end(shared: &Shared) -> End {
    let mut schedule_us = now_us();
    let mut state = None;
    loop {
        let stop = shared
            .stop
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(stopped) = stop {
            return End::Stopped(stopped);
        }
        let death = shared
            .death
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some((down_ms, cold)) = death {
            return End::Died { down_ms, cold };
        }
        let now = now_us();
        let plan = {
            let mut model = shared.model();
            let plan = model.plan(now);
            let cold = model.status().cold;
            if state.replace(cold).is_some_and(|before| before != cold) {
                shared.announce();
            }
            if plan == Plan::Crash {
                return End::Died {
                    down_ms: model.settings.down_ms,
                    cold: true,
                };
            }
            plan
        };
        match plan {
            Plan::Step(step_us) => {
                if now.saturating_sub(schedule_us) > LAG_US_MAX || schedule_us > now + LAG_US_MAX {
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
                // A time-out here only means another look at the leases.
                drop(
                    actix_rt::time::timeout(Duration::from_millis(IDLE_MS), shared.wake.notified())
                        .await,
                );
                schedule_us = now_us();
            }
        }
    }
}
