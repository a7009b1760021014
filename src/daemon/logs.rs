//! Non-blocking logs to standard output: a thread writes the lines. Lines that overflow its queue are dropped and
//! counted.

use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
};

/// Capacity of the queue of the writer thread, in lines.
const LINE_QUEUE_CAPACITY: usize = 2_000;
/// Environment variable with the log filter, in the syntax of `env_logger`.
const FILTER_VARIABLE: &str = "RUST_LOG";

static LOST_LINES: AtomicU64 = AtomicU64::new(0);

/// Sends lines to the writer thread, without blocking.
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

/// Starts logging to standard output. Has no effect if a logger is already set.
pub fn start_logs() {
    let (lines, queue) = sync_channel(LINE_QUEUE_CAPACITY);
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
        let written = if lost > 0 {
            writeln!(out, "event=log-lines-lost count={lost}")
        } else {
            Ok(())
        };
        // A failed write to standard output can't be reported anywhere else.
        let _ = written.and_then(|()| out.write_all(&line));
    }
}
