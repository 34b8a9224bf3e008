//! The cases. Each returns what broke the rule, if anything did.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::sleep;
use std::time::Duration;

use crate::deployment::{self, Deployment, HOST, KEY, SEEDS, ZONES};
use crate::http;
use crate::record::{note, now};
use crate::worker::{Arrival, Handling, Path, Worker};

/// `drain_ms` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);

type Broken = Option<String>;

/// Time without any disturbance after which all machines are in touch (`contact_ms`), with a margin.
const CALM: Duration = Duration::from_millis(4_000);

/// Sends one request as a consumer does, and records the answer.
fn request(deployment: &Deployment, path: &str, id: &str, tokens: Option<&str>) -> u16 {
    let to = deployment.caller_address(0);
    let (method, deadline, body): (_, _, &[u8]) = match path {
        "/stock-read/1" => ("GET", "1000", b""),
        "/place-order/1" => ("POST", "1000", b"order"),
        _ => ("POST", "10000", b"prompt"),
    };
    let key = format!("Bearer {KEY}");
    let parts = format!("5c1e07a2:40,{id}:4960");
    let mut headers = vec![
        ("Host", HOST),
        ("Primrosepin-Request-Id", id),
        ("Primrosepin-Deadline-Ms", deadline),
        ("Authorization", &key),
    ];
    if let Some(tokens) = tokens {
        headers.push(("Primrosepin-Model", "m"));
        headers.push(("Primrosepin-Token-Count", tokens));
        headers.push(("Primrosepin-Prompt-Prefix", &parts));
    }
    let answer = http::call(to, method, path, &headers, body, Duration::from_secs(12));
    let (status, text) = match answer {
        Ok(answer) if answer.complete => (answer.status(), answer.first_line),
        Ok(answer) => (0, format!("{} (not complete)", answer.first_line)),
        Err(error) => (0, format!("no answer: {error}")),
    };
    note(&format!("caller: {method} {path} {id}: {text}"));
    status
}

/// Returns the requests that reached a worker later than `drain_ms` after the confirmation that it leaves.
fn late(arrivals: &[Arrival], confirmed: Duration) -> Vec<&Arrival> {
    let late = arrivals.iter().filter(|arrival| arrival.at > confirmed + DRAIN);
    late.collect()
}

/// A worker says that it leaves; the path to the control daemon that it uses loses one packet, so it tells the next one.
pub fn leave(trouble: bool) -> Result<Broken, String> {
    let deployment = Arc::new(Deployment::start(3, 1)?);
    deployment.order("PUT", "/config", &deployment::config(7))?;
    let control: Vec<_> = (0..3).map(|number| deployment.control_address(number)).collect();
    let path = Path::start(deployment.worker_ip(0), control[0])?;
    let leaving = Worker::start(
        "i-leaving",
        "kolo-orders",
        ZONES[0],
        deployment.worker_ip(0),
        vec![path.address, control[1], control[2]],
    )?;
    let staying = Worker::start(
        "i-staying",
        "kolo-orders",
        ZONES[1],
        deployment.worker_ip(1),
        vec![control[1], control[2], control[0]],
    )?;
    deployment.wait_until_ready(0)?;
    sleep(CALM);
    let stopped = Arc::new(AtomicBool::new(false));
    let (sent, failed) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let callers: Vec<_> = (0..3)
        .map(|caller| {
            let (deployment, stopped) = (Arc::clone(&deployment), Arc::clone(&stopped));
            let (sent, failed) = (Arc::clone(&sent), Arc::clone(&failed));
            std::thread::spawn(move || {
                while !stopped.load(Ordering::Relaxed) {
                    let number = sent.fetch_add(1, Ordering::Relaxed);
                    let id = format!("order-{caller}-{number}");
                    if request(&deployment, "/place-order/1", &id, None) != 200 {
                        failed.fetch_add(1, Ordering::Relaxed);
                    }
                    sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    sleep(CALM);
    let before = (leaving.arrivals().len(), staying.arrivals().len());
    note(&format!("before: {} requests at i-leaving, {} at i-staying", before.0, before.1));
    leaving.wait_for_report();
    if trouble {
        path.lose_next();
    }
    let confirmed = leaving.leave();
    // It serves for `drain_ms` after the confirmation and a little longer, and exits.
    sleep(DRAIN + Duration::from_millis(400));
    leaving.stop();
    sleep(Duration::from_secs(3));
    stopped.store(true, Ordering::Relaxed);
    for caller in callers {
        // A caller that panicked has recorded nothing more.
        let _ = caller.join();
    }
    staying.stop();
    let confirmed = confirmed.ok_or("nobody confirmed that the worker leaves")?;
    if before.0 == 0 {
        return Err("no request reached the worker before it left".to_owned());
    }
    note(&format!(
        "{} orders sent, {} of them without a 200",
        sent.load(Ordering::Relaxed),
        failed.load(Ordering::Relaxed)
    ));
    let arrivals = leaving.arrivals();
    let late = late(&arrivals, confirmed);
    Ok(late.first().map(|first| {
        format!(
            "DRAIN: {} requests reached i-leaving later than 2,000 ms after the confirmation; the first one, {}, {} ms after it",
            late.len(),
            first.id,
            (first.at - confirmed).as_millis()
        )
    }))
}

/// A worker that has confirmed its leave closes the channel of a request that it has begun.
pub fn resend(trouble: bool) -> Result<Broken, String> {
    let deployment = Deployment::start(3, 1)?;
    deployment.order("PUT", "/config", &deployment::config(7))?;
    let control: Vec<_> = (0..3).map(|number| deployment.control_address(number)).collect();
    let workers: Vec<Worker> = (0..3)
        .map(|number| {
            let mut control = control.clone();
            control.rotate_left(number);
            let ip = deployment.worker_ip(number);
            let name = format!("i-{}", ZONES[number]);
            Worker::start(&name, "kolo-lm", ZONES[number], ip, control)
        })
        .collect::<Result<_, _>>()?;
    deployment.wait_until_ready(0)?;
    sleep(CALM);
    let tokens = Some("45000,700");
    // Leaves an open channel to the worker that takes such requests.
    if request(&deployment, "/order-history/1", "warm-up", tokens) != 200 {
        return Err("the first request was not served".to_owned());
    }
    for worker in &workers {
        let time = Duration::from_millis(3_000);
        let handling = if trouble { Handling::Close(time) } else { Handling::Answer(time) };
        worker.handle("r1", handling);
    }
    let deployment = Arc::new(deployment);
    let calling = Arc::clone(&deployment);
    let caller =
        std::thread::spawn(move || request(&calling, "/order-history/1", "r1", Some("45000,700")));
    sleep(Duration::from_millis(400));
    let has_it = |worker: &&Worker| worker.arrivals().iter().any(|arrival| arrival.id == "r1");
    let worker = workers.iter().find(has_it).ok_or("no worker has the request")?;
    let confirmed = worker.drain().ok_or("nobody confirmed that the worker drains")?;
    // A caller that panicked has no status.
    let status = caller.join().unwrap_or(0);
    note(&format!("the caller got {status}"));
    sleep(Duration::from_millis(500));
    let arrivals = worker.arrivals();
    let name = worker.name().to_owned();
    for worker in &workers {
        worker.stop();
    }
    let late = late(&arrivals, confirmed);
    Ok(late.first().map(|first| {
        format!(
            "DRAIN: request {} reached {name} {} ms after the confirmation that it drains",
            first.id,
            (first.at - confirmed).as_millis()
        )
    }))
}

/// Time after its return for which a control VM still counts as lost (`catch_up_s` of the grown sites).
const CATCH_UP: Duration = Duration::from_secs(6);

/// Time for which a control VM whose disk is lost is down.
const DOWN: Duration = Duration::from_millis(1_500);

/// Two control VMs at a time lose their disks and come back, with the time to catch up in between.
pub fn rejoin(trouble: bool) -> Result<Broken, String> {
    const CONTROL_VMS: usize = 6;
    let mut deployment = Deployment::start(CONTROL_VMS, 1)?;
    deployment.order("PUT", "/config", &deployment::config(7))?;
    sleep(CALM);
    let mut leader = deployment.leader().ok_or("no control VM answers reads")?.0;
    // Kills of the processes of seeds, until a control VM leads that is not a seed.
    for _ in 0..6 {
        note(&format!("control VM {leader} leads"));
        if !trouble || leader >= SEEDS {
            break;
        }
        let killed = [leader, (leader + 1) % SEEDS];
        for number in killed {
            deployment.kill_control(number);
        }
        sleep(Duration::from_millis(500));
        for number in killed {
            deployment.restart_control(number)?;
        }
        sleep(CATCH_UP + Duration::from_secs(1));
        leader = deployment.leader().ok_or("no control VM answers reads after a kill")?.0;
    }
    if trouble && leader < SEEDS {
        return Err("a seed still leads".to_owned());
    }
    deployment.order("PUT", "/config", &deployment::config(8))?;
    let other = (SEEDS..CONTROL_VMS).find(|number| *number != leader);
    let waves = [[0, 1], [2, other.unwrap_or(SEEDS)]];
    for wave in waves.iter().filter(|_| trouble) {
        for number in wave {
            deployment.kill_control(*number);
            deployment.wipe_control(*number)?;
        }
        sleep(DOWN);
        for number in wave {
            deployment.restart_control(*number)?;
        }
        sleep(CATCH_UP + Duration::from_secs(3));
    }
    // `recover_s` of the grown sites.
    sleep(Duration::from_secs(15));
    read_back(&deployment, 8)
}

/// A control VM that comes back with an empty disk freezes as it starts; later another one loses its disk.
pub fn frozen(trouble: bool) -> Result<Broken, String> {
    let mut deployment = Deployment::start(3, 1)?;
    deployment.order("PUT", "/config", &deployment::config(7))?;
    sleep(CALM);
    let leader = deployment.leader().ok_or("no control VM answers reads")?.0;
    note(&format!("control VM {leader} leads"));
    let emptied = (leader + 1) % 3;
    if trouble {
        deployment.kill_control(emptied);
        deployment.wipe_control(emptied)?;
        sleep(DOWN);
        deployment.restart_control(emptied)?;
        if std::env::var_os("WITHOUT_FREEZE").is_none() {
            deployment.wait_for_learner(leader)?;
            deployment.signal_control(emptied, "STOP")?;
            sleep(Duration::from_millis(7_000));
            deployment.signal_control(emptied, "CONT")?;
        }
        sleep(CATCH_UP + Duration::from_secs(3));
    }
    deployment.order("PUT", "/config", &deployment::config(8))?;
    if trouble {
        let leader = deployment.leader().ok_or("no control VM answers reads")?.0;
        note(&format!("control VM {leader} leads"));
        deployment.kill_control(leader);
        deployment.wipe_control(leader)?;
        sleep(DOWN);
        deployment.restart_control(leader)?;
    }
    sleep(Duration::from_secs(15));
    read_back(&deployment, 8)
}

/// Reads the desired state as the operator does, for twice `contact_ms` of the grown sites.
fn read_back(deployment: &Deployment, confirmed: u64) -> Result<Broken, String> {
    let until = now() + Duration::from_secs(8);
    let mut read = None;
    while read.is_none() && now() < until {
        read = deployment.leader();
        sleep(Duration::from_millis(100));
    }
    note(&format!("read of the desired state: control VM and version {read:?}"));
    Ok(match read {
        Some((_, version)) if version >= confirmed => None,
        Some((_, version)) => Some(format!(
            "CONFIG: version {confirmed} was confirmed, {version} is read back"
        )),
        None => Some(format!(
            "CONFIG: version {confirmed} was confirmed; no control VM returns a desired state, 15 s and more after all are back"
        )),
    })
}

/// Length of a freeze; `node_freeze` on core goes up to 6.7 s in the site file.
const FREEZE: Duration = Duration::from_millis(6_500);

/// `recover_s` of the grown sites.
const RECOVER: Duration = Duration::from_secs(15);

/// Sends ten requests in turn; returns how many are served.
fn served(deployment: &Deployment, round: &str) -> usize {
    let served = (0..10).filter(|number| {
        let id = format!("{round}-{number}");
        request(deployment, "/stock-read/1", &id, None) == 200
    });
    served.count()
}

/// Seeds freeze for some seconds, two at a time at most; at the end all processes are killed and start again.
pub fn thaw(trouble: bool) -> Result<Broken, String> {
    const CONTROL_VMS: usize = 8;
    let mut deployment = Deployment::start(CONTROL_VMS, 1)?;
    deployment.order("PUT", "/config", &deployment::config(7))?;
    let control: Vec<_> = (0..CONTROL_VMS).map(|number| deployment.control_address(number)).collect();
    let workers: Vec<Worker> = (0..2)
        .map(|number| {
            let ip = deployment.worker_ip(number);
            let name = format!("i-{}", ZONES[number]);
            Worker::start(&name, "kolo-orders", ZONES[number], ip, control.clone())
        })
        .collect::<Result<_, _>>()?;
    deployment.wait_until_ready(0)?;
    sleep(CALM);
    let before = served(&deployment, "before");
    for _ in 0..5 {
        let leader = deployment.leader().map(|(number, _)| number);
        let mut inside: Vec<usize> = (0..SEEDS).filter(|seed| deployment.is_member(*seed)).collect();
        note(&format!("control VM {leader:?} leads, seeds that know it: {inside:?}"));
        if inside.is_empty() || !trouble {
            break;
        }
        inside.sort_by_key(|seed| Some(*seed) != leader);
        inside.truncate(2);
        for seed in &inside {
            deployment.signal_control(*seed, "STOP")?;
        }
        sleep(FREEZE);
        for seed in &inside {
            deployment.signal_control(*seed, "CONT")?;
        }
        sleep(CATCH_UP + Duration::from_millis(500));
    }
    let still = served(&deployment, "after-freezes");
    // ONLY_ENTRY=1 shows that a restart of the entry VM is enough.
    let only_entry = std::env::var_os("ONLY_ENTRY").is_some();
    deployment.kill_all(1, only_entry, Duration::from_secs(1))?;
    sleep(RECOVER);
    let after = served(&deployment, "at-the-end");
    let read = deployment.leader();
    note(&format!(
        "served of ten: {before} before, {still} after the freezes, {after} after the kill and the return; read of the desired state: {read:?}"
    ));
    for worker in &workers {
        worker.stop();
    }
    if before * 4 < 10 || still * 4 < 10 {
        return Err("too few requests were served before the final fault".to_owned());
    }
    Ok((after * 4 < 10).then(|| {
        format!("RECOVER: {after} of 10 requests are served 15 s after all machines are back, {still} of 10 were before")
    }))
}
