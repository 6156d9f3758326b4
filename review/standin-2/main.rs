//! Plays one case of the review: `drill CASE RECORD`, from the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't be played.

mod client;
mod false_refusal;
mod http;
mod node;
mod record;
mod server;
mod setup;
mod slow_reader;
mod store;

use std::path::PathBuf;
use std::process::exit;
use std::thread;
use std::time::Duration;

/// Longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(110);

/// Result of a case.
pub enum Verdict {
    Broken,
    Held,
    NotPlayed(String),
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, record] = args.as_slice() else {
        eprintln!("usage: drill CASE RECORD");
        exit(2);
    };
    thread::spawn(|| {
        thread::sleep(LIMIT);
        eprintln!("the case took too long");
        node::end_all();
        exit(2);
    });
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = PathBuf::from(record);
    let verdict = match case.as_str() {
        "false-refusal" => false_refusal::play(&record, has_trouble),
        "slow-reader" => slow_reader::play(&record, has_trouble),
        other => Verdict::NotPlayed(format!("there is no case {other}")),
    };
    match verdict {
        Verdict::Broken => {
            println!("the rule was broken");
            exit(1);
        }
        Verdict::Held => println!("the rule held"),
        Verdict::NotPlayed(reason) => {
            println!("not played: {reason}");
            exit(2);
        }
    }
}
