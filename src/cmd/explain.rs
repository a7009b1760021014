//! `fuchsiashore explain`.

use {
    super::{error::CmdError, options::OperatorOptions},
    crate::daemon::log_word,
    std::{
        collections::{BTreeSet, HashSet},
        fs,
    },
};

/// Fields that identify the call of a log line: the call's own id, or the id of one of its attempts.
const ID_FIELDS: [&str; 2] = ["id", "attempt"];

/// Prints the log lines of one call from the collected logs of all daemons, ordered by time.
pub fn run(options: &OperatorOptions) -> Result<(), CmdError> {
    let id = options.call.as_deref();
    let id = id.ok_or_else(|| CmdError::usage("no call given; pass --call ID"))?;
    if options.files.is_empty() {
        return Err(CmdError::usage("no files given; pass the daemons' logs"));
    }
    let mut lines = Vec::new();
    for file in &options.files {
        let text = fs::read_to_string(file).map_err(|error| CmdError::File {
            path: file.display().to_string(),
            error,
        })?;
        lines.extend(text.lines().map(str::to_owned));
    }
    // Lines have the id as one word, whatever the caller sent.
    let found = lines_of(&lines, &log_word(id));
    if found.is_empty() {
        println!(
            "no line names {id}: the call was answered in time, its lines were over the limit (see suppressed=), its head could \
             not be read (see request-unread), or its log is not among the files"
        );
    }
    for line in found {
        println!("{line}");
    }
    Ok(())
}

/// Returns the lines with the id of a call or of one of its attempts, ordered by time stamp, without duplicates.
fn lines_of(lines: &[String], id: &str) -> Vec<String> {
    let named: Vec<&String> = lines
        .iter()
        .filter(|line| fields(line).any(|(name, value)| ID_FIELDS.contains(&name) && value == id))
        .collect();
    let attempts: HashSet<&str> = named
        .iter()
        .flat_map(|line| fields(line))
        .filter(|(name, _)| *name == "attempt")
        .map(|(_, value)| value)
        .collect();
    let of_attempts = lines
        .iter()
        .filter(|line| fields(line).any(|(name, value)| name == "attempt" && attempts.contains(value)));
    let found: BTreeSet<&String> = named.into_iter().chain(of_attempts).collect();
    found.into_iter().cloned().collect()
}

/// Yields the `key=value` fields of a log line, separated by single spaces.
fn fields(line: &str) -> impl Iterator<Item = (&str, &str)> {
    line.split(' ').filter_map(|word| word.split_once('='))
}
