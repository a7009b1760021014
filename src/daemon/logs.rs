//! Logs to standard output that never block: a thread writes them, and what it can't keep up with is counted.

use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
};

/// Lines that may wait for the writer.
const QUEUED_LINES: usize = 2_000;
/// Environment variable that chooses what is logged, in the form of `env_logger`.
const FILTER_VARIABLE: &str = "RUST_LOG";

static LOST_LINES: AtomicU64 = AtomicU64::new(0);

/// Hands lines to the writer.
struct LineQueue(SyncSender<Vec<u8>>);

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.0.try_send(line.to_vec()).is_err() {
            LOST_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts logging to standard output. A second call does nothing.
pub fn start_logs() {
    let (lines, queue) = sync_channel(QUEUED_LINES);
    let writer = thread::Builder::new().name("logs".to_owned());
    let target = match writer.spawn(move || write_lines(&queue)) {
        Ok(_) => env_logger::Target::Pipe(Box::new(LineQueue(lines))),
        Err(_) => env_logger::Target::Stdout,
    };
    let filter = env_logger::Env::default().filter_or(FILTER_VARIABLE, "info");
    // The only error is that a logger has been set before.
    let _ = env_logger::Builder::from_env(filter).target(target).try_init();
}

fn write_lines(queue: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    while let Ok(line) = queue.recv() {
        let lost = LOST_LINES.swap(0, Ordering::Relaxed);
        let told = if lost > 0 {
            writeln!(out, "event=log-lines-lost count={lost}")
        } else {
            Ok(())
        };
        // Without standard output there is nowhere to say so.
        let _ = told.and_then(|()| out.write_all(&line));
    }
}
