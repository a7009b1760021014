//! Plain TCP relay: injects silent connections in tests, and is the baseline of benchmarks.

use {
    std::{
        net::{SocketAddr, TcpListener},
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
    },
};

/// Interval at which a silenced connection checks its flag again.
const SILENCE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// TCP relay whose open connections can be silenced.
#[derive(Debug, Clone, Default)]
pub struct TcpRelay {
    /// Flag shared with the connections accepted since the last [`Self::silence_open_connections`]. Once set, they stay
    /// open and transfer nothing.
    is_silent: Arc<AtomicBool>,
}

impl TcpRelay {
    /// Silences all connections that are open now, permanently. Later connections work.
    pub fn silence_open_connections(&mut self) {
        self.is_silent.store(true, Ordering::Release);
        self.is_silent = Arc::default();
    }

    /// Relays connections of the listener to `to` until the runtime shuts down.
    pub async fn serve(
        relay: Arc<parking_lot::Mutex<Self>>,
        listener: TcpListener,
        to: SocketAddr,
    ) -> std::io::Result<()> {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        loop {
            let (client, _) = listener.accept().await?;
            let is_silent = Arc::clone(&relay.lock().is_silent);
            tokio::spawn(async move {
                let Ok(server) = TcpStream::connect(to).await else {
                    return;
                };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let (client_read, client_write) = client.into_split();
                let (server_read, server_write) = server.into_split();
                tokio::join!(
                    copy(client_read, server_write, Arc::clone(&is_silent)),
                    copy(server_read, client_write, is_silent),
                );
            });
        }
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, is_silent: Arc<AtomicBool>) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let Ok(length) = from.read(&mut buffer).await else {
            return;
        };
        while is_silent.load(Ordering::Acquire) {
            tokio::time::sleep(SILENCE_POLL_INTERVAL).await;
        }
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
