//! Command line of `fuchsiashore-lab`.

use {
    super::{
        admission::render_admission,
        balance::render_balance,
        caller::{CallerSettings, run_caller},
        figures,
        kv::KvServer,
        ports::free_ports,
        target::{TargetBehaviour, TargetServer},
    },
    crate::http::{CLIENT_IDLE_TIMEOUT, bind, plain_client},
    lexopt::prelude::{Long, Short, Value, ValueExt},
    miette::Diagnostic,
    std::{collections::HashMap, ffi::OsString, fs, io, net::SocketAddr, str::FromStr},
    thiserror::Error,
};

const USAGE: &str = "\
Usage: fuchsiashore-lab COMMAND [OPTIONS]

  kv --listen A                        the platform's key-value service
  target --listen A --version V [--behaviour good|failing|slow|silent|fragile|failing-after:SECONDS]
  call --daemons A,B --requests 'GET /stock,POST /order' --rate N --count N --name NAME [--keep FILE]
  verify --targets A,B --keep FILE     check the runs counted by targets against the answers to callers
  figures --trials N --seed N [--length long|short] [--only TEXT]
                                       measure simulated moves, with the decision code alone
  admission --seed N                   play loads over gates in memory and print who is served
  balance --seed N                     play the choice of targets by old figures and print how even the load is
  ports --count N                      print N free ports

Fakes for tests and the quick start; not for production.
";

/// Error of a `fuchsiashore-lab` command.
#[derive(Debug, Error, Diagnostic)]
pub enum LabError {
    /// The arguments are invalid.
    #[error("{0}")]
    #[diagnostic(help("see fuchsiashore-lab --help"))]
    Usage(String),
    /// A socket or file failed.
    #[error("{0}")]
    #[diagnostic(help("choose a free port or a writable file"))]
    Io(#[from] io::Error),
}

impl LabError {
    /// Exit code of every error.
    pub const EXIT_CODE: u8 = 2;
}

type LabOptions = HashMap<String, String>;

/// Runs the command named by the arguments, which exclude the program's name.
pub fn run(args: impl IntoIterator<Item = OsString>) -> Result<(), LabError> {
    let (command, options) = read_options(args)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    match command.as_str() {
        "kv" => runtime.block_on(KvServer::default().serve(bind(option(&options, "listen")?)?))?,
        "target" => {
            let behaviour = options.get("behaviour").map_or("good", String::as_str);
            let behaviour: TargetBehaviour = behaviour.parse().map_err(LabError::Usage)?;
            let version: String = option(&options, "version")?;
            let listener = bind(option(&options, "listen")?)?;
            runtime.block_on(TargetServer::new(&version, behaviour).serve(listener))?;
        }
        "call" => runtime.block_on(call(&options))?,
        "verify" => runtime.block_on(verify(&options))?,
        "figures" => {
            let scenarios = match options.get("length").map_or("long", String::as_str) {
                "long" => figures::long_scenarios(),
                "short" => figures::short_scenarios(),
                other => {
                    return Err(LabError::Usage(format!(
                        "unknown length `{other}`; write long or short"
                    )));
                }
            };
            let rows = figures::measure(
                scenarios,
                options.get("only").map_or("", String::as_str),
                option(&options, "trials")?,
                option(&options, "seed")?,
            );
            print!("{}", figures::render(&rows));
        }
        "admission" => print!(
            "{}",
            render_admission(&[0.9, 1.2, 1.5], option(&options, "seed")?)
        ),
        "balance" => print!("{}", render_balance(option(&options, "seed")?)),
        "ports" => print_ports(option(&options, "count")?),
        _ => print!("{USAGE}"),
    }
    Ok(())
}

fn read_options(args: impl IntoIterator<Item = OsString>) -> Result<(String, LabOptions), LabError> {
    let mut command = String::new();
    let mut options = LabOptions::new();
    let mut parser = lexopt::Parser::from_args(args);
    let usage = |error: lexopt::Error| LabError::Usage(error.to_string());
    while let Some(arg) = parser.next().map_err(usage)? {
        match arg {
            Value(word) => command = word.string().map_err(usage)?,
            Long("help") => return Ok((String::new(), options)),
            Long(name) => {
                let name = name.to_owned();
                let value = parser.value().and_then(ValueExt::string).map_err(usage)?;
                options.insert(name, value);
            }
            Short(_) => return Err(usage(arg.unexpected())),
        }
    }
    Ok((command, options))
}

fn option<T: FromStr>(options: &LabOptions, name: &str) -> Result<T, LabError> {
    let text = options
        .get(name)
        .ok_or_else(|| LabError::Usage(format!("--{name} is missing")))?;
    text.parse()
        .map_err(|_| LabError::Usage(format!("invalid value `{text}` for --{name}")))
}

async fn call(options: &LabOptions) -> Result<(), LabError> {
    let daemons: String = option(options, "daemons")?;
    let requests: String = option(options, "requests")?;
    let settings = CallerSettings {
        daemons: daemons.split(',').map(parse_address).collect::<Result<_, _>>()?,
        requests: requests.split(',').map(parse_request).collect::<Result<_, _>>()?,
        rate: option(options, "rate")?,
        count: option(options, "count")?,
        name: option(options, "name")?,
    };
    let report = run_caller(settings).await;
    for (outcome, count) in &report.outcomes {
        println!("{outcome} {count}");
    }
    println!("wrong {}", report.mismatched);
    let quantile_ms = |quantile: f64| report.latency_us.value_at_quantile(quantile) as f64 / 1e3;
    println!("p50_ms {:.2}\np99_ms {:.2}", quantile_ms(0.5), quantile_ms(0.99));
    if let Some(file) = options.get("keep") {
        let confirmed = report.confirmed.iter().map(|call| format!("confirmed {call}\n"));
        let not_run = report.not_run.iter().map(|call| format!("not-run {call}\n"));
        fs::write(file, confirmed.chain(not_run).collect::<String>())?;
    }
    Ok(())
}

/// Checks the runs counted by targets against the answers to callers. A confirmed call that did not run exactly once is
/// an error, and so is a call that ran although it was refused as not run.
async fn verify(options: &LabOptions) -> Result<(), LabError> {
    let targets: String = option(options, "targets")?;
    let reported = fs::read_to_string(option::<String>(options, "keep")?)?;
    let client = plain_client(CLIENT_IDLE_TIMEOUT);
    let mut runs: HashMap<String, u32> = HashMap::new();
    for target in targets.split(',') {
        let failure = |error: reqwest::Error| LabError::Io(io::Error::other(error));
        let answer = client
            .get(format!("http://{target}/lab/runs"))
            .send()
            .await
            .map_err(failure)?;
        for line in answer.text().await.map_err(failure)?.lines() {
            let Some((call, count)) = line.rsplit_once(' ') else {
                continue;
            };
            *runs.entry(call.to_owned()).or_default() += count.parse::<u32>().unwrap_or(0);
        }
    }
    let reported_calls = reported.lines().filter_map(|line| line.split_once(' '));
    let (mut doubled, mut false_not_run, mut unconfirmed) = (0, 0, 0);
    for (outcome, call) in reported_calls {
        let count = runs.get(call).copied().unwrap_or(0);
        if outcome == "not-run" {
            false_not_run += u32::from(count > 0);
        } else {
            doubled += u32::from(count > 1);
            unconfirmed += u32::from(count == 0);
        }
    }
    println!("doubled {doubled}\nfalse-not-run {false_not_run}\nconfirmed-without-run {unconfirmed}");
    if doubled + false_not_run + unconfirmed > 0 {
        return Err(LabError::Usage(
            "answers to callers do not match the runs at the targets; see the timeline".to_owned(),
        ));
    }
    Ok(())
}

fn parse_address(text: &str) -> Result<SocketAddr, LabError> {
    text.parse()
        .map_err(|_| LabError::Usage(format!("invalid address `{text}`; write IP:PORT")))
}

fn parse_request(text: &str) -> Result<(reqwest::Method, String), LabError> {
    let invalid = || LabError::Usage(format!("invalid request `{text}`; write `GET /path`"));
    let (method, path) = text.trim().split_once(' ').ok_or_else(invalid)?;
    Ok((method.parse().map_err(|_| invalid())?, path.to_owned()))
}

/// Prints free ports, one a line.
fn print_ports(count: usize) {
    for address in free_ports(count) {
        println!("{}", address.port());
    }
}
