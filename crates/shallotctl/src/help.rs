//! Help texts printed for `--help`.

/// Output of `shallotctl --help`.
pub const MAIN: &str = "\
shallotctl: checks rule lists and shows what the entries do; it changes nothing

Usage:
  shallotctl check FILE               check a rule list as the entries would
  shallotctl explain ...              which rule decides for a request, and why
  shallotctl status --entry ADDRS     what each entry does now
  shallotctl watch REVISION ...       wait until a revision is in force everywhere
  shallotctl audit --entry ADDRS      which changes took effect, when and where
  shallotctl configuration --entry ADDRS  which routes are in force, and which are not
  shallotctl COMMAND --help           options and examples of one command
  shallotctl --version

Every command takes --json for output that scripts can read.

Exit codes:
  0  done; the answer is yes
  1  the answer is no: the list is not valid, or not in force everywhere in time;
     or the configuration is not in force as a whole
  2  the command line is wrong
  3  a file cannot be read, or an entry did not answer
";

/// Output of `shallotctl check --help`.
pub const CHECK: &str = "\
Usage: shallotctl check [--service NAME] [--json] FILE

Reads a rule list exactly as the entries do and lists every error with its line.

  --service NAME  FILE holds the rules of this service alone, to be published as rules.NAME

Example:
  shallotctl check rules.ini && publish rules.ini
  shallotctl check --service orders rules.orders.ini

Exit codes: 0 valid, 1 not valid, 2 wrong command line, 3 FILE cannot be read.
";

/// Output of `shallotctl explain --help`.
pub const EXPLAIN: &str = "\
Usage: shallotctl explain (--rules FILE | --entry ADDR) --service NAME [options]

Shows each rule in turn, which of its conditions do not hold, and which rule decides.

  --rules FILE       take the general rules from a file
  --service-rules FILE  with --rules: the service's own rules, which go before the general ones
  --entry ADDR       take the rules in force at an entry (operators' port)
  --token-file FILE  token for the operators' port
  --service NAME     the service that the request asks for
  --caller NAME      who sends it; left out: a request that names no caller
  --at TIME          RFC 3339 time of the request; left out: now
  --load PERMILLE    share of the service's slots in use; left out: unknown
  --json             output for scripts

Example:
  shallotctl explain --rules rules.ini --service orders --at 2026-03-02T08:30:00+08:00 --load 900

Exit codes: 0 explained, 1 the rules are not valid, 2 wrong command line,
3 the file cannot be read or the entry did not answer.
";

/// Output of `shallotctl status --help`.
pub const STATUS: &str = "\
Usage: shallotctl status --entry ADDR[,ADDR...] [--token-file FILE] [--timeout-ms N] [--json]

Shows for each entry: its state, the lists in force, targets, sessions and budgets.
ADDR is the IP number and port that the entry listens on for operators.

Example:
  shallotctl status --entry 10.0.0.1:8082,10.0.0.2:8082 --token-file operator.token

Exit codes: 0 every entry answered, 2 wrong command line, 3 an entry did not answer.
";

/// Output of `shallotctl watch --help`.
pub const WATCH: &str = "\
Usage: shallotctl watch REVISION --entry ADDR[,ADDR...] [options]

Waits until every entry has this revision of a list in force, or a higher one, and says how far
each one is. Ends early when an entry has refused it.

  --list NAME        rules (the default), rules.SERVICE, vms or targets.SERVICE
  --for-ms N         how long to wait, 30000 by default
  --token-file FILE  token for the operators' port
  --timeout-ms N     how long one entry may take to answer, 2000 by default
  --json             output for scripts

Example:
  shallotctl watch 812 --entry 10.0.0.1:8082,10.0.0.2:8082 --for-ms 8000 || page-someone

Exit codes: 0 in force everywhere, 1 refused, in conflict or not in force in time,
2 wrong command line, 3 an entry never answered.
";

/// Output of `shallotctl audit --help`.
pub const AUDIT: &str = "\
Usage: shallotctl audit --entry ADDR[,ADDR...] [--token-file FILE] [--timeout-ms N] [--json]

Shows which list changes took effect or were refused, on which entry, when, from which revision
to which, and where they came from. Entries keep their trail in memory since their start.

Example:
  shallotctl audit --entry 10.0.0.1:8082,10.0.0.2:8082

Exit codes: 0 every entry answered, 2 wrong command line, 3 an entry did not answer.
";

/// Output of `shallotctl configuration --help`.
pub const CONFIGURATION: &str = "\
Usage: shallotctl configuration --entry ADDR[,ADDR...] [--timeout-ms N] [--json]

Shows for each entry which version of the published routes, services and limits it has in force, how
much of it can't be used, and the newest published one that is not in force. The entry's log says why
(events 2012, 2016 and 2017). For entries that read published routes (shallotfork-node).
ADDR is the IP number and port at which the entry gives its metrics.

  --timeout-ms N     how long one entry may take to answer, 2000 by default
  --json             output for scripts

Example:
  shallotctl configuration --entry 10.0.0.1:7200,10.0.0.2:7200 || page-someone

Exit codes: 0 the newest known configuration is in force everywhere as a whole, 1 it is not,
2 wrong command line, 3 an entry did not answer.
";
