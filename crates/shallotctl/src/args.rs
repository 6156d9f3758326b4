//! Command-line parsing.

use std::ffi::{OsStr, OsString};
use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use anyhow::{Context, Result, anyhow, bail, ensure};
use jiff::Timestamp;
use lexopt::Parser;
use lexopt::prelude::{Long, Short, Value};
use shallotfork_types::{Endpoint, Permille};

use crate::command::{
    AuditConfig, CheckConfig, ConfigurationConfig, ExplainConfig, RulesSource, StatusConfig,
    WatchConfig,
};
use crate::entries_config::EntriesConfig;
use crate::help;

/// A parsed command line.
#[derive(Debug)]
pub enum Invocation {
    /// Print a help text.
    Help(&'static str),
    /// Print the version.
    Version,
    /// Check a rule list.
    Check(CheckConfig),
    /// Explain a decision.
    Explain(ExplainConfig),
    /// Show the state of entries.
    Status(StatusConfig),
    /// Wait until a revision is in force.
    Watch(WatchConfig),
    /// Show the configuration of entries.
    Configuration(ConfigurationConfig),
    /// Show the audit trails of entries.
    Audit(AuditConfig),
}

/// Parses the command line.
///
/// # Errors
/// When the command or an option is unknown, or a value is missing or malformed.
pub fn parse_args(mut parser: Parser) -> Result<Invocation> {
    let first = parser.next()?;
    match first {
        Some(Long("help") | Short('h')) => Ok(Invocation::Help(help::MAIN)),
        Some(Long("version") | Short('V')) => Ok(Invocation::Version),
        Some(Value(command)) => parse_command(command, &mut parser),
        Some(other) => Err(other.unexpected().into()),
        None => bail!("no command given"),
    }
}

fn parse_command(command: OsString, parser: &mut Parser) -> Result<Invocation> {
    let options = Options::parse_all(parser)?;
    match command.to_str() {
        Some("check") => options.check(),
        Some("explain") => options.explain(),
        Some("status") => options.status(),
        Some("watch") => options.watch(),
        Some("configuration") => options.configuration(),
        Some("audit") => options.audit(),
        _ => bail!("unknown command {}", command.display()),
    }
}

/// Arguments after the command name; each command removes those that it supports.
#[derive(Debug, Default)]
struct Options {
    help: bool,
    json: bool,
    named: Vec<(String, OsString)>,
    operand: Option<OsString>,
}

impl Options {
    fn parse_all(parser: &mut Parser) -> Result<Self> {
        let mut options = Self::default();
        while let Some(argument) = parser.next()? {
            match argument {
                Long("help") | Short('h') => options.help = true,
                Long("json") => options.json = true,
                Long(name) => {
                    let name = name.to_owned();
                    let value = parser.value().with_context(|| format!("--{name}"))?;
                    ensure!(!options.has(&name), "--{name} given twice");
                    options.named.push((name, value));
                }
                Value(operand) if options.operand.is_none() => options.operand = Some(operand),
                other => return Err(other.unexpected().into()),
            }
        }
        Ok(options)
    }

    fn check(mut self) -> Result<Invocation> {
        if self.help {
            return Ok(Invocation::Help(help::CHECK));
        }
        let file = self.operand.take().context("FILE is missing")?.into();
        let service = self.parse("service")?;
        let config = CheckConfig { file, service, json: self.json };
        self.finish(Invocation::Check(config))
    }

    fn explain(mut self) -> Result<Invocation> {
        if self.help {
            return Ok(Invocation::Help(help::EXPLAIN));
        }
        let file = self.take("rules");
        let entries = self.entries()?;
        let own_rules = self.take("service-rules");
        let source = match (file, own_rules, entries.entries.len()) {
            (Some(file), own, 0) => RulesSource::Files(file.into(), own.map(Into::into)),
            (None, None, 1) => RulesSource::Entry(entries),
            _ => bail!("give either --rules FILE or one --entry ADDR"),
        };
        let config = ExplainConfig {
            source,
            service: self.parse("service")?.context("--service is missing")?,
            caller: self.parse("caller")?,
            at: self.parse::<Timestamp>("at")?.unwrap_or_else(Timestamp::now),
            load: self.parse::<Permille>("load")?,
            json: self.json,
        };
        self.finish(Invocation::Explain(config))
    }

    fn status(mut self) -> Result<Invocation> {
        if self.help {
            return Ok(Invocation::Help(help::STATUS));
        }
        let config = StatusConfig { entries: self.required_entries()?, json: self.json };
        self.finish(Invocation::Status(config))
    }

    fn watch(mut self) -> Result<Invocation> {
        if self.help {
            return Ok(Invocation::Help(help::WATCH));
        }
        let revision = self.operand.take().context("REVISION is missing")?;
        let revision = parse_as(&revision, "REVISION")?;
        let mut config = WatchConfig::new(revision, self.required_entries()?);
        config.json = self.json;
        if let Some(list) = self.parse("list")? {
            config.list = list;
        }
        if let Some(timeout_ms) = self.parse("for-ms")? {
            config.timeout = Duration::from_millis(timeout_ms);
        }
        self.finish(Invocation::Watch(config))
    }

    fn audit(mut self) -> Result<Invocation> {
        if self.help {
            return Ok(Invocation::Help(help::AUDIT));
        }
        let config = AuditConfig { entries: self.required_entries()?, json: self.json };
        self.finish(Invocation::Audit(config))
    }

    fn configuration(mut self) -> Result<Invocation> {
        if self.help {
            return Ok(Invocation::Help(help::CONFIGURATION));
        }
        let config = ConfigurationConfig { entries: self.required_entries()?, json: self.json };
        self.finish(Invocation::Configuration(config))
    }

    fn required_entries(&mut self) -> Result<EntriesConfig> {
        let entries = self.entries()?;
        ensure!(!entries.entries.is_empty(), "--entry is missing");
        Ok(entries)
    }

    fn entries(&mut self) -> Result<EntriesConfig> {
        let mut config = EntriesConfig::default();
        if let Some(list) = self.parse::<String>("entry")? {
            let entries: Result<Vec<Endpoint>, _> = list.split(',').map(str::parse).collect();
            config.entries = entries.context("--entry")?;
        }
        if let Some(timeout_ms) = self.parse("timeout-ms")? {
            config.timeout = Duration::from_millis(timeout_ms);
        }
        config.token_file = self.take("token-file").map(Into::into);
        Ok(config)
    }

    fn has(&self, name: &str) -> bool {
        self.named.iter().any(|(known, _)| known == name)
    }

    fn take(&mut self, name: &str) -> Option<OsString> {
        let index = self.named.iter().position(|(known, _)| known == name)?;
        Some(self.named.swap_remove(index).1)
    }

    fn parse<T: FromStr<Err: Display>>(&mut self, name: &str) -> Result<Option<T>> {
        let Some(value) = self.take(name) else { return Ok(None) };
        parse_as(&value, &format!("--{name}")).map(Some)
    }

    /// Fails if the command left an option or the operand unused.
    fn finish(self, invocation: Invocation) -> Result<Invocation> {
        if let Some((name, _)) = self.named.first() {
            bail!("unknown option --{name}");
        }
        if let Some(operand) = self.operand {
            bail!("unexpected argument {}", operand.display());
        }
        Ok(invocation)
    }
}

fn parse_as<T: FromStr<Err: Display>>(value: &OsStr, name: &str) -> Result<T> {
    let text = value.to_str().with_context(|| format!("{name}: not UTF-8"))?;
    text.parse().map_err(|error| anyhow!("{name}: {error}"))
}
