//! HTTP/2 connections of callers without TLS.

mod support;

use actix_rt::net::TcpStream;
use bytes::Bytes;
use h2::client::SendRequest;
use primrosepin_entry::Server;
use support::{
    CALLER_KEY, Target, generation, settings, start_entry, tokens, wait_until, write_event,
    write_stream, write_stream_head,
};
use tokio::io::AsyncReadExt;

async fn connect(server: &Server) -> (SendRequest<Bytes>, actix_rt::task::JoinHandle<bool>) {
    let socket = TcpStream::connect(server.addresses().callers)
        .await
        .unwrap();
    let (client, connection) = h2::client::handshake(socket).await.unwrap();
    let ended = actix_rt::spawn(async move { connection.await.is_ok() });
    (client, ended)
}

/// Sends a generation request. Returns the future response and the send half of the stream.
async fn send(
    client: &mut SendRequest<Bytes>,
    stream: bool,
) -> (h2::client::ResponseFuture, h2::SendStream<Bytes>) {
    let request = http::Request::post("http://entry/v1/completions")
        .header("authorization", format!("Bearer {CALLER_KEY}"))
        .body(())
        .unwrap();
    let mut ready = client.clone().ready().await.unwrap();
    let (response, mut sending) = ready.send_request(request, false).unwrap();
    sending
        .send_data(generation(stream).to_string().into(), true)
        .unwrap();
    (response, sending)
}

async fn read(response: h2::client::ResponseFuture) -> String {
    read_body(response.await.unwrap().into_body()).await
}

async fn read_body(mut body: h2::RecvStream) -> String {
    let mut text = Vec::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.unwrap();
        body.flow_control().release_capacity(chunk.len()).unwrap();
        text.extend_from_slice(&chunk);
    }
    String::from_utf8(text).unwrap()
}

/// Guards against concurrent streams of one connection that block each other or are truncated.
#[actix_rt::test]
async fn streams_share_a_connection() {
    let server = start_entry(settings()).await;
    let target =
        Target::start(async |request, stream| write_stream(stream, &request, 200).await).await;
    target.announce(&server, "t1", "lm").await;
    let (mut client, _ended) = connect(&server).await;
    let mut responses = Vec::new();
    for _ in 0..8 {
        responses.push(send(&mut client, true).await.0);
    }
    for response in responses {
        let text = read(response).await;
        assert!(text.starts_with(&tokens(0..200)));
        assert!(text.contains("\"outcome\":\"answered\""));
    }
    drop(client);
    server.stop().await.unwrap();
}

/// Guards against engine memory that stays in use after the caller has reset its stream or closed
/// its connection, both before the first token and in the middle of a streamed response.
#[actix_rt::test]
async fn a_disconnected_caller_cancels_the_attempt() {
    for (stream, reset) in [(false, true), (true, true), (false, false), (true, false)] {
        let server = start_entry(settings()).await;
        let target = Target::start(move |request, mut connection| async move {
            if stream {
                write_stream_head(&mut connection, request.attempt()).await;
                write_event(&mut connection, request.attempt(), 0).await;
            }
            drop(connection.read_u8().await);
            None
        })
        .await;
        target.announce(&server, "t1", "lm").await;
        let (mut client, ended) = connect(&server).await;
        let (response, mut sending) = send(&mut client, stream).await;
        let response = if stream {
            let mut body = response.await.unwrap().into_body();
            body.data().await.unwrap().unwrap();
            None
        } else {
            Some(response)
        };
        wait_until(async || !target.requests("/v1/completions").is_empty()).await;
        if reset {
            sending.send_reset(h2::Reason::CANCEL);
        } else {
            ended.abort();
        }
        wait_until(async || !target.requests("/v1/cancel").is_empty()).await;
        drop((response, client));
        server.stop().await.unwrap();
    }
}

/// Guards against a shutdown that closes an HTTP/2 connection without GOAWAY or truncates a stream.
#[actix_rt::test]
async fn a_graceful_shutdown_sends_goaway() {
    let server = start_entry(settings()).await;
    let address = server.addresses().callers;
    let target = Target::start(move |request, mut stream| async move {
        write_stream_head(&mut stream, request.attempt()).await;
        write_event(&mut stream, request.attempt(), 0).await;
        // The shutdown has started once the entry process refuses connections.
        wait_until(async || TcpStream::connect(address).await.is_err()).await;
        write_event(&mut stream, request.attempt(), 1).await;
        support::write_stream_end(&mut stream).await;
        Some(stream)
    })
    .await;
    target.announce(&server, "t1", "lm").await;
    let (mut client, ended) = connect(&server).await;
    let (response, _sending) = send(&mut client, true).await;
    let response = response.await.unwrap();
    let rest = read_body(response.into_body());
    let (text, stopped) = futures_util::join!(rest, server.stop());
    stopped.unwrap();
    assert!(text.contains(&tokens(1..2)), "{text}");
    assert!(text.contains("\"outcome\":\"answered\""), "{text}");
    assert!(ended.await.unwrap(), "the connection ended without GOAWAY");
    assert!(client.ready().await.is_err());
}
