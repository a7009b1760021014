//! Arguments and settings of the operators' program.

use {
    super::error::CmdError,
    crate::{
        clock::TimePoint,
        config::{ConfigTables, ParseFaults, parse_tables},
        ini::read_sections,
        store::HttpStore,
    },
    lexopt::prelude::{Long, Short, Value, ValueExt},
    std::{env, ffi::OsString, fs, path::PathBuf, str::FromStr, sync::Arc},
};

/// Environment variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "FUCHSIASHORE_SETTINGS";
/// Default of `--wait-ms`, in milliseconds.
const DEFAULT_WAIT_MS: u64 = 30_000;

/// Settings of the operators' program.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OperatorSettings {
    /// Address of the store (host and port).
    pub store: Option<Arc<str>>,
    /// Operators' address of a daemon (host and port).
    pub daemon: Option<Arc<str>>,
    /// Author of changes.
    pub author: Option<Arc<str>>,
}

impl OperatorSettings {
    /// Reads and checks settings from text.
    pub fn parse(file: &str, text: &str) -> Result<Self, ParseFaults> {
        let mut faults = Vec::new();
        let mut settings = Self::default();
        for mut section in read_sections(&Arc::from(file), text, &mut faults) {
            if section.title == "operator" {
                settings.store = section.take("store").map(Arc::from);
                settings.daemon = section.take("daemon").map(Arc::from);
                settings.author = section.take("author").map(Arc::from);
            } else {
                faults.push(section.fault("", "unknown section; only [operator] is allowed"));
            }
            section.reject_unknown_keys(&mut faults);
        }
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(ParseFaults(faults))
        }
    }
}

/// Parsed arguments and settings; each command uses its own subset.
#[derive(Debug, Default)]
pub struct OperatorOptions {
    /// Name of the command.
    pub command: String,
    /// Whether to print help and exit.
    pub wants_help: bool,
    /// Files given to the command: tables, or logs of daemons; also other operands.
    pub files: Vec<PathBuf>,
    /// Settings, from options or else from the settings file.
    pub settings: OperatorSettings,
    /// Reason for a change.
    pub message: Option<String>,
    /// Whether to wait until every daemon has applied the version.
    pub wait: bool,
    /// Maximum time to wait, in milliseconds.
    pub wait_ms: u64,
    /// Whether to print JSON.
    pub json: bool,
    /// Whether a version that was taken back may be tried again.
    pub again: bool,
    /// Configuration version to show or restore.
    pub version: Option<u64>,
    /// Pool whose events to print.
    pub pool: Option<String>,
    /// Identity of the move whose events to print.
    pub move_id: Option<u64>,
    /// Name of the daemon whose events to print.
    pub name: Option<String>,
    /// Earliest time of the events to print.
    pub since: TimePoint,
    /// Identity of the call to explain.
    pub call: Option<String>,
    /// Whether an evacuation is taken back.
    pub back: bool,
    /// Pool whose open move to cancel.
    pub cancel: Option<String>,
}

impl OperatorOptions {
    /// Parses the arguments and the settings file that they or `FUCHSIASHORE_SETTINGS` name.
    pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Self, CmdError> {
        let mut options = Self {
            wait_ms: DEFAULT_WAIT_MS,
            ..Self::default()
        };
        let mut given = OperatorSettings::default();
        let mut path = env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
        let mut parser = lexopt::Parser::from_args(args);
        while let Some(arg) = parser.next().map_err(|error| usage(&error))? {
            match arg {
                Value(name) if options.command.is_empty() => {
                    options.command = name.string().map_err(|error| usage(&error))?;
                }
                Value(file) => options.files.push(file.into()),
                Long("help") | Short('h') => options.wants_help = true,
                Long("settings") => path = Some(string_value(&mut parser)?.into()),
                Long("store") => given.store = Some(string_value(&mut parser)?.into()),
                Long("daemon") => given.daemon = Some(string_value(&mut parser)?.into()),
                Long("author") => given.author = Some(string_value(&mut parser)?.into()),
                Long("message") | Short('m') => options.message = Some(string_value(&mut parser)?),
                Long("wait") => options.wait = true,
                Long("wait-ms") => options.wait_ms = parsed_value(&mut parser)?,
                Long("json") => options.json = true,
                Long("back") => options.back = true,
                Long("again") => options.again = true,
                Long("version") => options.version = Some(parsed_value(&mut parser)?),
                Long("pool") => options.pool = Some(string_value(&mut parser)?),
                Long("move") => options.move_id = Some(parsed_value(&mut parser)?),
                Long("name") => options.name = Some(string_value(&mut parser)?),
                Long("since") => options.since = time_value(&mut parser)?,
                Long("call") => options.call = Some(string_value(&mut parser)?),
                Long("cancel") => options.cancel = Some(string_value(&mut parser)?),
                other => return Err(usage(&other.unexpected())),
            }
        }
        if options.command.is_empty() {
            options.wants_help = true;
        }
        let from_file = path
            .map(|path| load_settings(&path))
            .transpose()?
            .unwrap_or_default();
        options.settings = OperatorSettings {
            store: given.store.or(from_file.store),
            daemon: given.daemon.or(from_file.daemon),
            author: given.author.or(from_file.author),
        };
        Ok(options)
    }

    /// Returns a client for the store.
    pub fn store(&self) -> Result<HttpStore, CmdError> {
        let store = self.settings.store.as_ref();
        let store = store.ok_or_else(|| CmdError::usage("no store given; pass --store HOST:PORT"))?;
        Ok(HttpStore::new(store))
    }

    /// Returns the operators' address of a daemon.
    pub fn daemon(&self) -> Result<&str, CmdError> {
        let daemon = self.settings.daemon.as_deref();
        daemon.ok_or_else(|| {
            CmdError::usage("no daemon given; pass --daemon HOST:PORT (its operators address)")
        })
    }

    /// Returns the author of changes: the setting, or else the user's name.
    pub fn author(&self) -> Arc<str> {
        let user = || env::var("USER").unwrap_or_else(|_| "unknown".to_owned()).into();
        self.settings.author.clone().unwrap_or_else(user)
    }

    /// Returns the reason for a change. Fails without one, as every change needs a reason.
    pub fn message(&self) -> Result<Arc<str>, CmdError> {
        let message = self
            .message
            .as_deref()
            .filter(|message| !message.trim().is_empty());
        message
            .map(Arc::from)
            .ok_or_else(|| CmdError::usage("no reason for the change given; pass --message TEXT"))
    }

    /// Parses and checks the tables in the given files.
    pub fn read_tables(&self) -> Result<ConfigTables, CmdError> {
        if self.files.is_empty() {
            return Err(CmdError::usage("no table files given"));
        }
        let mut texts = Vec::new();
        for file in &self.files {
            let path = file.display().to_string();
            let text = fs::read_to_string(file).map_err(|error| CmdError::File {
                path: path.clone(),
                error,
            })?;
            texts.push((path.into(), text));
        }
        Ok(parse_tables(&texts)?)
    }
}

fn load_settings(path: &PathBuf) -> Result<OperatorSettings, CmdError> {
    let shown = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|error| CmdError::File {
        path: shown.clone(),
        error,
    })?;
    Ok(OperatorSettings::parse(&shown, &text)?)
}

fn string_value(parser: &mut lexopt::Parser) -> Result<String, CmdError> {
    parser
        .value()
        .and_then(ValueExt::string)
        .map_err(|error| usage(&error))
}

fn parsed_value<T: FromStr<Err: std::error::Error + Send + Sync + 'static>>(
    parser: &mut lexopt::Parser,
) -> Result<T, CmdError> {
    parser
        .value()
        .and_then(|value| value.parse())
        .map_err(|error| usage(&error))
}

fn time_value(parser: &mut lexopt::Parser) -> Result<TimePoint, CmdError> {
    let text = string_value(parser)?;
    TimePoint::parse(&text).ok_or_else(|| CmdError::usage(format!("`{text}` is not an RFC 3339 time")))
}

fn usage(error: &lexopt::Error) -> CmdError {
    CmdError::usage(error.to_string())
}
