//! Tests of the transport over loopback sockets.

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

fn echo_calls(mut incoming: Receiver<Incoming>) {
    actix_rt::spawn(async move {
        while let Some(message) = incoming.recv().await {
            let Some(reply) = message.reply else { continue };
            reply.send(message.message).await;
        }
    });
}

/// Guards against accepting a frame whose sender is not the VM named in the certificate of the connection.
#[actix_rt::test]
async fn sender_must_match_the_certificate() {
    let authority = Authority::new().unwrap();
    let (a, _incoming, _) = start(authority.issue("vm-a", Role::Entry).unwrap(), "vm-a");
    let (_b, mut incoming, b_address) =
        start(authority.issue("vm-b", Role::Entry).unwrap(), "vm-b");
    let (impostor, _impostor_incoming, _) =
        start(authority.issue("vm-c", Role::Entry).unwrap(), "vm-a");

    let rejected = impostor
        .call(b_address, Message::ConfigPull { have: 9 }, CALL_TIMEOUT)
        .await;
    assert!(rejected.is_err());
    a.send(b_address, Message::ConfigPull { have: 1 });
    let message = incoming.recv().await.unwrap();
    assert_eq!(&*message.from.name, "vm-a");
    assert_eq!(message.message, Message::ConfigPull { have: 1 });
}

/// Guards against accepting a process whose certificate was issued by the authority of another deployment.
#[actix_rt::test]
async fn untrusted_authority_is_rejected() {
    let authority = Authority::new().unwrap();
    let untrusted = Authority::new().unwrap();
    let (_b, incoming, b_address) = start(authority.issue("vm-b", Role::Entry).unwrap(), "vm-b");
    echo_calls(incoming);
    let (outsider, _outsider_incoming, _) =
        start(untrusted.issue("vm-a", Role::Entry).unwrap(), "vm-a");
    let reply = outsider
        .call(b_address, Message::ConfigPull { have: 1 }, CALL_TIMEOUT)
        .await;
    assert!(reply.is_err());
}

/// Guards against calls to a restarted peer that keep using the connection to its earlier process.
#[actix_rt::test]
async fn call_reaches_a_restarted_peer() {
    let authority = Authority::new().unwrap();
    let (a, _incoming, _) = start(authority.issue("vm-a", Role::Entry).unwrap(), "vm-a");
    let identity = authority.issue("vm-b", Role::Control).unwrap();
    let (b, incoming, b_address) = start(identity.clone(), "vm-b");
    echo_calls(incoming);
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
    echo_calls(restarted.1);
    let mut attempts = 0;
    while a.call(b_address, call.clone(), CALL_TIMEOUT).await.is_err() {
        attempts += 1;
        assert!(
            attempts < 10,
            "restarted peer was not reached after {attempts} calls"
        );
    }
}

/// Guards against a replaced identity that takes effect only after a restart of the process.
#[actix_rt::test]
async fn new_identity_applies_to_new_connections() {
    let old = Authority::new().unwrap();
    let new = Authority::new().unwrap();
    let (a, _incoming, _) = start(old.issue("vm-a", Role::Entry).unwrap(), "vm-a");
    let (_b, incoming, b_address) = start(new.issue("vm-b", Role::Entry).unwrap(), "vm-b");
    echo_calls(incoming);
    let call = Message::ConfigPull { have: 1 };
    assert!(a.call(b_address, call.clone(), CALL_TIMEOUT).await.is_err());
    a.set_identity(&new.issue("vm-a", Role::Entry).unwrap())
        .unwrap();
    assert_eq!(
        a.call(b_address, call.clone(), CALL_TIMEOUT).await.unwrap(),
        call
    );
}
