//! A worker leaves a huge prompt unanswered, while memory is set aside for that prompt at other workers.

use std::fmt::Write as _;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Failure, Fleet, KEY, KOLO, call, desired_state};
use crate::worker::{Manner, Shared, Worker};

/// Bound of the users' pages.
const MAX_IDLE: Duration = Duration::from_millis(9_000);
/// Time limit of the consumer.
const LIMIT: Duration = Duration::from_secs(15);

/// Returns whether the rule held.
pub fn run(trouble: bool, record: &mut String) -> Result<bool, Failure> {
    let fleet = Fleet::start(KOLO, 2, 3)?;
    let controls = fleet.control_addresses();
    let shared = Arc::<Mutex<Shared>>::default();
    let manner = Manner {
        work: Duration::from_millis(2_000),
        streams: true,
        ..Manner::default()
    };
    let mut workers = Vec::new();
    for number in 0..10 {
        let zone = KOLO.zones[number % 3];
        let ip = fleet.ip(3, number as u8 + 1);
        workers.push(Worker::start(&format!("i-{number}"), KOLO.model, &ip, zone, controls.clone(), manner.clone(), &shared)?);
    }
    let status = fleet.operate("PUT", "/config", desired_state(KOLO, 7).as_bytes(), Duration::from_secs(30))?;
    writeln!(record, "desired state confirmed with {status}")?;
    fleet.wait_until_ready()?;
    thread::sleep(Duration::from_secs(4));
    shared.lock().unwrap_or_else(PoisonError::into_inner).hangs = trouble;
    let begin = Instant::now();
    let to = fleet.caller_address(0);
    let key = format!("Bearer {KEY}");
    let limit = LIMIT.as_millis().to_string();
    let headers = [
        ("Primrosepin-Request-Id", "9c41d07be2a35f68"),
        ("Primrosepin-Deadline-Ms", limit.as_str()),
        ("Authorization", &key),
        ("Primrosepin-Model", "m"),
        ("Primrosepin-Token-Count", "600000,60"),
        ("Primrosepin-Prompt-Prefix", "5c1e07a2:40,91bd3f06:599960"),
    ];
    let answer = call(to, "POST", &format!("/{}/1", KOLO.long), &headers, b"prompt", LIMIT);
    let took = begin.elapsed().as_millis();
    match answer {
        Ok(answer) => writeln!(record, "answer {} after {took} ms, complete: {}", answer.status, answer.complete)?,
        Err(error) => writeln!(record, "no answer after {took} ms: {error}")?,
    }
    thread::sleep(Duration::from_secs(4));
    let shared = shared.lock().unwrap_or_else(PoisonError::into_inner);
    for (id, at) in &shared.hung {
        writeln!(record, "{} left {id} unanswered, arrived {} ms", shared.grey.as_deref().unwrap_or_default(), (*at - begin).as_millis())?;
    }
    let mut longest = Duration::ZERO;
    for ticket in &shared.tickets {
        let unused = ticket.used_at.unwrap_or(ticket.until).min(ticket.until) - ticket.since;
        writeln!(
            record,
            "{} at {}: {} tokens from {} ms to {} ms, {} orders, released: {}, used: {}, unused for {} ms",
            ticket.id,
            ticket.worker,
            ticket.tokens,
            (ticket.since - begin).as_millis(),
            (ticket.until - begin).as_millis(),
            ticket.orders,
            ticket.released,
            ticket.used_at.map_or("never".into(), |at| format!("at {} ms", (at - begin).as_millis())),
            unused.as_millis()
        )?;
        longest = longest.max(unused);
    }
    if shared.tickets.is_empty() || trouble && shared.hung.is_empty() {
        return Err("no memory was set aside, or no request was left unanswered".into());
    }
    writeln!(record, "longest time unused: {} ms; allowed: {} ms", longest.as_millis(), MAX_IDLE.as_millis())?;
    Ok(longest <= MAX_IDLE)
}
