//! Parsing of valid and invalid lists of targets and VMs.

use shallotfork_platform::{parse_targets, parse_vms};
use shallotfork_types::ServiceName;

const TARGET: &str = r#"{"id":"t1","address":"127.0.0.1:9000","failure_domain":"boulder",
    "state":"serving","slots":2,"connections_max":200,"shed_status":503,"http2":false}"#;

fn format_targets(entries: &[&str]) -> String {
    let service = ServiceName::new("recipes").expect("service name");
    let content = format!(r#"{{"targets":[{}]}}"#, entries.join(","));
    match parse_targets(&service, &content) {
        Ok(targets) => format!("{targets:#?}"),
        Err(error) => error.to_string(),
    }
}

#[test]
fn valid_target_list() {
    let draining = TARGET
        .replace("t1", "t2")
        .replace("9000", "9001")
        .replace("serving", "draining")
        .replace("503", "null");
    insta::assert_snapshot!(format_targets(&[TARGET, &draining]));
}

#[test]
fn invalid_target_lists_are_rejected_as_a_whole() {
    let invalid = [
        TARGET.replace("serving", "sleeping"),
        TARGET.replace("127.0.0.1:9000", "localhost:9000"),
        TARGET.replace("127.0.0.1:9000", "127.0.0.1:0"),
        TARGET.replace("\"slots\":2", "\"slots\":0"),
        TARGET.replace("503", "200"),
        TARGET.replace("\"slots\":2,", ""),
    ];
    let mut errors: Vec<String> = invalid.iter().map(|entry| format_targets(&[entry])).collect();
    errors.push(format_targets(&[TARGET, TARGET]));
    errors.push(format_targets(&[TARGET, &TARGET.replace("t1", "t2")]));
    errors.push(format_targets(&["{"]));
    insta::assert_snapshot!(errors.join("\n"));
}

#[test]
fn vm_lists() {
    let vm = r#"{"id":"e1","failure_domain":"boulder","callers":"127.0.0.1:1",
        "peers":"127.0.0.1:2","state":"live","note":"a field of a later version"}"#;
    let parse = |entries: &str| parse_vms(&format!(r#"{{"vms":[{entries}]}}"#));
    insta::assert_debug_snapshot!(parse(vm).unwrap());
    let twice = parse(&format!("{vm},{vm}")).unwrap_err().to_string();
    assert_eq!("vm e1: listed twice", twice);
    assert!(parse(&vm.replace("live", "zombie")).is_err());
}
