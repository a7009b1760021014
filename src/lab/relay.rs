//! A plain TCP relay that can go silent, cut its connections or garble nothing: the cut between two ends, and
//! the floor that benchmarks compare with.

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

/// Time between two looks of a silenced direction.
const SILENT_LOOK: Duration = Duration::from_millis(20);

/// The relay.
#[derive(Debug, Clone, Default)]
pub struct CutRelay {
    /// While set, connections opened before stay open and carry nothing; new ones work.
    silence: Arc<AtomicBool>,
}

impl CutRelay {
    /// Makes every connection that is open now silent for good.
    pub fn silence_open(&mut self) {
        self.silence.store(true, Ordering::Release);
        self.silence = Arc::default();
    }

    /// Relays connections to `to` until the runtime ends.
    pub async fn serve(
        relay: Arc<parking_lot::Mutex<Self>>,
        listener: TcpListener,
        to: SocketAddr,
    ) -> std::io::Result<()> {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        loop {
            let (near, _) = listener.accept().await?;
            let silence = Arc::clone(&relay.lock().silence);
            tokio::spawn(async move {
                let Ok(far) = TcpStream::connect(to).await else {
                    return;
                };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let (near_read, near_write) = near.into_split();
                let (far_read, far_write) = far.into_split();
                tokio::join!(
                    copy(near_read, far_write, Arc::clone(&silence)),
                    copy(far_read, near_write, silence),
                );
            });
        }
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, silence: Arc<AtomicBool>) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let Ok(length) = from.read(&mut buffer).await else {
            return;
        };
        while silence.load(Ordering::Acquire) {
            tokio::time::sleep(SILENT_LOOK).await;
        }
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
