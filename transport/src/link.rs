//! Connection to one address, opened on demand and replaced after a failure.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use eyre::Context;
use quinn::VarInt;
use tokio::sync::Mutex;
use tokio::time::timeout;

use crate::identity::DEPLOYMENT_NAME;

/// Time limit of one connection attempt, long enough for several round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Connection to one address.
#[derive(Debug)]
pub(crate) struct Link {
    address: SocketAddr,
    current: Mutex<Option<quinn::Connection>>,
    client_config: Arc<RwLock<quinn::ClientConfig>>,
}

impl Link {
    pub(crate) fn new(
        address: SocketAddr,
        client_config: Arc<RwLock<quinn::ClientConfig>>,
    ) -> Self {
        Self {
            address,
            current: Mutex::new(None),
            client_config,
        }
    }

    /// Returns the open connection, or opens one. Only one attempt runs at a time.
    pub(crate) async fn connection(
        &self,
        endpoint: &quinn::Endpoint,
    ) -> eyre::Result<quinn::Connection> {
        let mut current = self.current.lock().await;
        if let Some(connection) = current.as_ref()
            && connection.close_reason().is_none()
        {
            return Ok(connection.clone());
        }
        let client_config = self
            .client_config
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let connecting = endpoint.connect_with(client_config, self.address, DEPLOYMENT_NAME)?;
        let connection = timeout(CONNECT_TIMEOUT, connecting)
            .await
            .wrap_err("connection attempt timed out")??;
        *current = Some(connection.clone());
        Ok(connection)
    }

    /// Closes `failed` and forgets it if it is the current connection, so that the next message opens a new
    /// one.
    pub(crate) async fn discard(&self, failed: &quinn::Connection) {
        let mut current = self.current.lock().await;
        if current
            .as_ref()
            .is_some_and(|connection| connection.stable_id() == failed.stable_id())
        {
            *current = None;
        }
        failed.close(VarInt::from_u32(0), b"replaced");
    }
}
