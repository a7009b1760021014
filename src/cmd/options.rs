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

/// Name of the variable that gives the settings file.
const SETTINGS_VARIABLE: &str = "FUCHSIASHORE_SETTINGS";
/// Time that `--wait` waits, in milliseconds.
const DEFAULT_WAIT_MS: u64 = 30_000;

/// The operators' settings file.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OperatorSettings {
    /// Address of the store.
    pub store: Option<Arc<str>>,
    /// Operators' address of a daemon.
    pub daemon: Option<Arc<str>>,
    /// Name that changes are signed with.
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
                faults.push(section.fault("", "only [operator] is known"));
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

/// All arguments; each verb uses those that concern it.
#[derive(Debug, Default)]
pub struct OperatorOptions {
    /// The verb.
    pub verb: String,
    /// Whether help is wanted.
    pub wants_help: bool,
    /// Files of the tables.
    pub files: Vec<PathBuf>,
    /// Settings.
    pub settings: OperatorSettings,
    /// Why a change is made.
    pub message: Option<String>,
    /// Whether a verb waits until the version is in force everywhere.
    pub wait: bool,
    /// How long it waits, in milliseconds.
    pub wait_ms: u64,
    /// Whether output is JSON.
    pub json: bool,
    /// Whether a version that was taken back may be tried again.
    pub again: bool,
    /// A configuration version.
    pub version: Option<u64>,
    /// Filter: pool.
    pub pool: Option<String>,
    /// Filter: move.
    pub move_id: Option<u64>,
    /// Filter: daemon name.
    pub name: Option<String>,
    /// Filter: time.
    pub since: TimePoint,
    /// Identity of the call to explain.
    pub call: Option<String>,
    /// Pool whose move is to be cancelled.
    pub cancel: Option<String>,
}

impl OperatorOptions {
    /// Reads the arguments and the settings file that they or the environment name.
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
                Value(word) if options.verb.is_empty() => {
                    options.verb = word.string().map_err(|error| usage(&error))?;
                }
                Value(file) => options.files.push(file.into()),
                Long("help") | Short('h') => options.wants_help = true,
                Long("settings") => path = Some(text_of(&mut parser)?.into()),
                Long("store") => given.store = Some(text_of(&mut parser)?.into()),
                Long("daemon") => given.daemon = Some(text_of(&mut parser)?.into()),
                Long("author") => given.author = Some(text_of(&mut parser)?.into()),
                Long("message") | Short('m') => options.message = Some(text_of(&mut parser)?),
                Long("wait") => options.wait = true,
                Long("wait-ms") => options.wait_ms = number_of(&mut parser)?,
                Long("json") => options.json = true,
                Long("again") => options.again = true,
                Long("version") => options.version = Some(number_of(&mut parser)?),
                Long("pool") => options.pool = Some(text_of(&mut parser)?),
                Long("move") => options.move_id = Some(number_of(&mut parser)?),
                Long("name") => options.name = Some(text_of(&mut parser)?),
                Long("since") => options.since = time_of(&mut parser)?,
                Long("call") => options.call = Some(text_of(&mut parser)?),
                Long("cancel") => options.cancel = Some(text_of(&mut parser)?),
                other => return Err(usage(&other.unexpected())),
            }
        }
        if options.verb.is_empty() {
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

    /// Returns a client of the store.
    pub fn store(&self) -> Result<HttpStore, CmdError> {
        let store = self.settings.store.as_ref();
        let store = store.ok_or_else(|| CmdError::usage("the store is not named; give --store HOST:PORT"))?;
        Ok(HttpStore::new(store))
    }

    /// Returns the operators' address of a daemon.
    pub fn daemon(&self) -> Result<&str, CmdError> {
        let daemon = self.settings.daemon.as_deref();
        daemon.ok_or_else(|| {
            CmdError::usage("no daemon is named; give --daemon HOST:PORT (its operators address)")
        })
    }

    /// Returns who makes a change.
    pub fn author(&self) -> Arc<str> {
        let user = || env::var("USER").unwrap_or_else(|_| "unknown".to_owned()).into();
        self.settings.author.clone().unwrap_or_else(user)
    }

    /// Returns why a change is made; every change must say so.
    pub fn message(&self) -> Result<Arc<str>, CmdError> {
        let message = self
            .message
            .as_deref()
            .filter(|message| !message.trim().is_empty());
        message
            .map(Arc::from)
            .ok_or_else(|| CmdError::usage("say why: give --message TEXT"))
    }

    /// Reads the tables from the files named.
    pub fn read_tables(&self) -> Result<ConfigTables, CmdError> {
        if self.files.is_empty() {
            return Err(CmdError::usage("name the files of the tables"));
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

fn text_of(parser: &mut lexopt::Parser) -> Result<String, CmdError> {
    parser
        .value()
        .and_then(ValueExt::string)
        .map_err(|error| usage(&error))
}

fn number_of<T: FromStr<Err: std::error::Error + Send + Sync + 'static>>(
    parser: &mut lexopt::Parser,
) -> Result<T, CmdError> {
    parser
        .value()
        .and_then(|value| value.parse())
        .map_err(|error| usage(&error))
}

fn time_of(parser: &mut lexopt::Parser) -> Result<TimePoint, CmdError> {
    let text = text_of(parser)?;
    TimePoint::parse(&text).ok_or_else(|| CmdError::usage(format!("`{text}` is no RFC 3339 time")))
}

fn usage(error: &lexopt::Error) -> CmdError {
    CmdError::usage(error.to_string())
}
