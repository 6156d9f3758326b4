//! The `caller` subcommand.

use anyhow::{Context, bail};
use bytes::Bytes;
use http::Method;
use lexopt::{Arg, Parser, ValueExt};
use serde::Serialize;
use shallotfork_standin::caller::{Attempt, Call, Caller, CallerConfig, Report};
use shallotfork_types::{Endpoint, IdempotencyKey, ServiceName, Verdict};

/// JSON line printed for one request.
#[derive(Debug, Serialize)]
struct CallLine<'a> {
    status: Option<u16>,
    verdict: Option<Verdict>,
    target: Option<String>,
    mark: Option<&'a str>,
    digest_holds: Option<bool>,
    body_bytes: Option<usize>,
    session: Option<&'a str>,
    attempts: &'a [Attempt],
}

impl<'a> CallLine<'a> {
    fn new(report: &'a Report) -> Self {
        let answer = report.answer.as_ref();
        Self {
            status: answer.map(|answer| answer.status),
            verdict: report.verdict(),
            target: answer.and_then(|answer| answer.target.as_ref()).map(ToString::to_string),
            mark: answer.and_then(|answer| answer.mark.as_deref()),
            digest_holds: answer.and_then(|answer| answer.digest_holds),
            body_bytes: answer.map(|answer| answer.body.len()),
            session: report.session.as_deref(),
            attempts: &report.attempts,
        }
    }
}

#[derive(Debug)]
struct Options {
    entries: Vec<Endpoint>,
    through: Option<Endpoint>,
    times: u32,
    call: Call,
}

/// Sends the requests given by the options, one after the other.
///
/// # Errors
/// Returns an error if an option is invalid or a request does not succeed.
pub async fn run(args: &mut Parser) -> anyhow::Result<()> {
    let options = parse(args)?;
    let caller = Caller::new(CallerConfig::new(options.entries.clone()))?;
    for _ in 0..options.times {
        let report = match options.through {
            Some(entry) => caller.send_to(entry, &options.call).await,
            None => caller.call(&options.call).await?,
        };
        println!("{}", serde_json::to_string(&CallLine::new(&report))?);
        if report.success().is_none() {
            bail!("the call did not succeed");
        }
    }
    Ok(())
}

fn parse(args: &mut Parser) -> anyhow::Result<Options> {
    let mut entries = Vec::new();
    let mut service: Option<ServiceName> = None;
    let mut through = None;
    let mut times = 1;
    let mut mark: Option<String> = None;
    let placeholder = ServiceName::new("unnamed")?;
    let mut call = Call::new(placeholder, Method::GET, "/", Bytes::new());
    while let Some(arg) = args.next()? {
        match arg {
            Arg::Long("entries") => entries = parse_entries(&args.value()?.string()?)?,
            Arg::Long("service") => service = Some(args.value()?.parse()?),
            Arg::Long("method") => call.method = args.value()?.parse()?,
            Arg::Long("path") => call.path = args.value()?.string()?,
            Arg::Long("key") => {
                let key: IdempotencyKey = args.value()?.parse()?;
                call.key = Some(key);
            }
            Arg::Long("session") => call.session = Some(args.value()?.string()?),
            Arg::Long("body") => call.body = args.value()?.string()?.into(),
            Arg::Long("mark") => mark = Some(args.value()?.string()?),
            Arg::Long("through") => through = Some(args.value()?.parse()?),
            Arg::Long("times") => times = args.value()?.parse()?,
            other => return Err(other.unexpected().into()),
        }
    }
    call.service = service.context("--service is required")?;
    if let Some(mark) = mark {
        call = call.with_mark(&mark);
    }
    Ok(Options { entries, through, times, call })
}

fn parse_entries(text: &str) -> anyhow::Result<Vec<Endpoint>> {
    text.split(',').map(|entry| Ok(entry.trim().parse()?)).collect()
}
