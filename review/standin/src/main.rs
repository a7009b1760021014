//! Drivers of the review's scripts. Each starts the daemons of the deploy file, stand-ins of everything else, and judges
//! by what clients, endpoints and the store have seen.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod churn;
mod clock;
mod forgotten;
mod freshness;
mod http;
mod mesh;
mod msgpack;
mod queued;
mod rollouts;
mod soak;
mod store;
mod stranded;

use std::{
    env, fs,
    panic::{AssertUnwindSafe, catch_unwind},
    process::ExitCode,
    thread,
    time::Duration,
};

/// How a case ended.
pub enum Ending {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let (name, record) = (
        env::args().nth(1).unwrap_or_default(),
        env::args().nth(2).unwrap_or_default(),
    );
    let folder = env::temp_dir().join(format!("review-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    // Ends the driver, and with it the daemons, well before the limit of 120 s.
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(100));
        println!("the case took too long");
        std::process::exit(2);
    });
    let record = mesh::Record::create(&record);
    let folder_name = folder.to_string_lossy().into_owned();
    let run = || match name.as_str() {
        "soak" => soak::run(&folder_name, &record),
        "churn" => churn::run(&folder_name, &record),
        "stranded" => stranded::run(&folder_name, &record),
        "queued" => queued::run(&folder_name, &record),
        "rollouts" => rollouts::run(&folder_name, &record),
        "clock" => clock::run(&folder_name, &record),
        "freshness" => freshness::run(&folder_name, &record),
        "forgotten" => forgotten::run(&folder_name, &record),
        _ => Ending::NotRun,
    };
    let ending = catch_unwind(AssertUnwindSafe(run)).unwrap_or(Ending::NotRun);
    if env::var("KEEP_LOGS").is_err() {
        let _ = fs::remove_dir_all(&folder);
    } else {
        println!("logs: {folder_name}");
    }
    let (text, code) = match ending {
        Ending::Held => ("the rule held", 0),
        Ending::Broken => ("the rule was broken", 1),
        Ending::NotRun => ("the case could not run", 2),
    };
    record.print(text);
    ExitCode::from(code)
}
