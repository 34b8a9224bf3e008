//! Links between processes of different builds.

use std::net::Ipv4Addr;

use primrosepin_gateway::account::Share;
use primrosepin_gateway::link;
use primrosepin_gateway::message::Message;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Guards against a link that ends, again after each new connection, because the other process is of a newer build
/// and sends a kind of message that this one does not know.
#[actix_rt::test]
async fn a_link_outlives_messages_of_unknown_kinds() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut peer = TcpStream::connect(address).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let mut bytes = Vec::new();
    let mut push = |message: &[u8]| {
        bytes.extend_from_slice(&(message.len() as u32).to_le_bytes());
        bytes.extend_from_slice(message);
    };
    let known = Message::RelayAck { number: 7 }.encode().unwrap();
    push(&[&known[..1], &[120, 1, 2, 3]].concat());
    push(&known);
    // Another version of the format ends the link.
    push(&[known[0] + 1, 0]);
    peer.write_all(&bytes).await.unwrap();
    let (_outgoing, queue) = mpsc::channel(1);
    let mut received = Vec::new();
    let ended = link::run(stream, Share::uncounted(), queue, |message| {
        received.push(message);
    })
    .await;
    assert!(ended.is_err());
    assert_eq!(received, [Message::RelayAck { number: 7 }]);
}
