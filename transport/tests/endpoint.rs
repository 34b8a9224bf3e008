//! Tests of the transport over real sockets.

use std::net::SocketAddr;
use std::time::Duration;

use primrosepin_core::message::Message;
use primrosepin_core::vm::{Incarnation, Instance};
use primrosepin_transport::keys::Authority;
use primrosepin_transport::{Endpoint, Identity, Incoming, Role, Settings};
use tokio::sync::mpsc::Receiver;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

fn start(identity: Identity, vm: &str) -> (Endpoint, Receiver<Incoming>, SocketAddr) {
    let (endpoint, incoming) = Endpoint::start(Settings {
        bind: "127.0.0.1:0".parse().unwrap(),
        identity,
        instance: Instance {
            name: vm.into(),
            incarnation: Incarnation(1),
        },
    })
    .unwrap();
    let address = endpoint.local_address().unwrap();
    (endpoint, incoming, address)
}

fn answer_all(mut incoming: Receiver<Incoming>) {
    actix_rt::spawn(async move {
        while let Some(message) = incoming.recv().await {
            let Some(reply) = message.reply else { continue };
            reply.send(message.message).await;
        }
    });
}

/// Guards against a sender that is not the VM named in its certificate.
#[actix_rt::test]
async fn message_carries_the_certified_sender() {
    let authority = Authority::new().unwrap();
    let (a, _incoming, _) = start(authority.issue("vm-a", Role::Entry).unwrap(), "vm-a");
    let (_b, mut incoming, b_address) =
        start(authority.issue("vm-b", Role::Entry).unwrap(), "vm-b");
    let (impostor, _keep, _) = start(authority.issue("vm-c", Role::Entry).unwrap(), "vm-a");

    let refused = impostor
        .call(b_address, Message::ConfigPull { have: 9 }, CALL_TIMEOUT)
        .await;
    assert!(refused.is_err());
    a.send(b_address, Message::ConfigPull { have: 1 });
    let message = incoming.recv().await.unwrap();
    assert_eq!(&*message.from.name, "vm-a");
    assert_eq!(message.message, Message::ConfigPull { have: 1 });
}

/// Guards against a process with a certificate of another deployment.
#[actix_rt::test]
async fn foreign_authority_is_refused() {
    let authority = Authority::new().unwrap();
    let foreign = Authority::new().unwrap();
    let (_b, incoming, b_address) = start(authority.issue("vm-b", Role::Entry).unwrap(), "vm-b");
    answer_all(incoming);
    let (outsider, _keep, _) = start(foreign.issue("vm-a", Role::Entry).unwrap(), "vm-a");
    let answer = outsider
        .call(b_address, Message::ConfigPull { have: 1 }, CALL_TIMEOUT)
        .await;
    assert!(answer.is_err());
}

/// Guards against a restarted peer that stays unreachable behind a dead connection.
#[actix_rt::test]
async fn call_reaches_a_restarted_peer() {
    let authority = Authority::new().unwrap();
    let (a, _incoming, _) = start(authority.issue("vm-a", Role::Entry).unwrap(), "vm-a");
    let identity = authority.issue("vm-b", Role::Control).unwrap();
    let (b, incoming, b_address) = start(identity.clone(), "vm-b");
    answer_all(incoming);
    let call = Message::ConfigPull { have: 1 };
    assert_eq!(
        a.call(b_address, call.clone(), CALL_TIMEOUT).await.unwrap(),
        call
    );
    b.close().await;
    drop(b);

    let restarted = loop {
        let settings = Settings {
            bind: b_address,
            identity: identity.clone(),
            instance: Instance {
                name: "vm-b".into(),
                incarnation: Incarnation(2),
            },
        };
        if let Ok(started) = Endpoint::start(settings) {
            break started;
        }
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    };
    answer_all(restarted.1);
    let mut tries = 0;
    while a.call(b_address, call.clone(), CALL_TIMEOUT).await.is_err() {
        tries += 1;
        assert!(tries < 10, "peer stays unreachable after its restart");
    }
}

/// Guards against a key rotation that needs a restart.
#[actix_rt::test]
async fn rotation_applies_to_new_connections() {
    let old = Authority::new().unwrap();
    let new = Authority::new().unwrap();
    let (a, _incoming, _) = start(old.issue("vm-a", Role::Entry).unwrap(), "vm-a");
    let (_b, incoming, b_address) = start(new.issue("vm-b", Role::Entry).unwrap(), "vm-b");
    answer_all(incoming);
    let call = Message::ConfigPull { have: 1 };
    assert!(a.call(b_address, call.clone(), CALL_TIMEOUT).await.is_err());
    a.set_identity(&new.issue("vm-a", Role::Entry).unwrap())
        .unwrap();
    assert_eq!(
        a.call(b_address, call.clone(), CALL_TIMEOUT).await.unwrap(),
        call
    );
}
