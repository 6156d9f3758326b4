//! Stand-ins and scripts of the review. `standin CASE FOLDER` plays a case and writes
//! `FOLDER/record.txt`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod bulk_stop;
mod client;
mod deployment;
mod early_close;
mod entry;
mod http;
mod judge;
mod pipelined_stop;
mod record;
mod store;
mod upstream;

use std::path::Path;
use std::process::exit;
use std::sync::Arc;
use std::time::Duration;

use crate::record::Record;

/// Longest run of a case; past it the process ends, and its entries with it.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        exit(2);
    };
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::create(&Path::new(folder).join("record.txt")));
    record.write(&format!("case {case}, trouble {with_trouble}"));
    let played = {
        let (record, case) = (Arc::clone(&record), case.clone());
        std::thread::spawn(move || match case.as_str() {
            "pipelined-stop" => pipelined_stop::play(record, with_trouble),
            "bulk-stop" => bulk_stop::play(record, with_trouble),
            "early-close" => early_close::play(record, with_trouble),
            _ => Verdict::NotRun,
        })
    };
    let started_at = std::time::Instant::now();
    while !played.is_finished() && started_at.elapsed() < TIME_LIMIT {
        std::thread::sleep(Duration::from_millis(20));
    }
    let verdict = if played.is_finished() {
        played.join().unwrap_or(Verdict::NotRun)
    } else {
        Verdict::NotRun
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::NotRun => ("the case couldn't run", 2),
    };
    record.say(text);
    exit(code);
}
