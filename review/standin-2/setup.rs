//! A small deployment: a store, servers and entry processes on loopback addresses.

use std::fs;
use std::path::{Path, PathBuf};

use crate::node::{Node, NodePlan};
use crate::store::Store;

pub const HOST: &str = "jepu9.example";
pub const ZONES: [&str; 3] = ["kal-hall", "boulder-hall", "coolgardie-hall"];

/// A folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("shallotfork-review-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// A loopback address of this run, by its number.
pub fn ip(number: usize) -> String {
    let pid = std::process::id();
    format!("127.{}.{}.{}", 20 + pid / 250 % 200, 1 + pid % 250, 1 + number)
}

/// A route of the manifest.
pub struct RouteSpec<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
    pub target_latency_ms: u64,
    pub max_attempts: u32,
}

/// Text of a manifest.
pub fn manifest(version: u64, routes: &[RouteSpec<'_>], services: &[&str]) -> String {
    let mut resources: Vec<String> = routes
        .iter()
        .map(|route| {
            let RouteSpec { name, prefix, kind, service, timeout_ms, target_latency_ms, max_attempts } =
                route;
            format!(
                r#"{{"type":"routes","metadata":{{"name":"{name}"}},"spec":{{"host":"{HOST}","prefix":"{prefix}","kind":"{kind}","timeout_ms":{timeout_ms},"target_latency_ms":{target_latency_ms},"priority":1,"service":"{service}","max_attempts":{max_attempts}}}}}"#
            )
        })
        .collect();
    resources.extend(services.iter().map(|name| {
        format!(
            r#"{{"type":"services","metadata":{{"name":"{name}"}},"spec":{{"health_path":"/health","max_connections":220,"protocol":"h1","tls":false}}}}"#
        )
    }));
    resources.push(
        r#"{"type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#.to_owned(),
    );
    format!(
        r#"{{"version":"r{version}","base_version":"r0","resources":[{}]}}"#,
        resources.join(",")
    )
}

/// Starts entries in the zones in turn and waits until they are ready.
pub fn start_nodes(count: usize, folder: &Path, store: &Store) -> Result<Vec<Node>, String> {
    let plans: Vec<NodePlan> = (0..count)
        .map(|number| {
            let zone = ZONES[number % ZONES.len()];
            NodePlan::new(&format!("edge-{zone}-{number}"), zone, &ip(number))
        })
        .collect();
    let seeds: Vec<String> = plans.iter().take(3).map(|plan| plan.control.clone()).collect();
    let nodes: Vec<Node> =
        plans.iter().map(|plan| plan.start(folder, &store.address, &seeds)).collect();
    for node in &nodes {
        if !node.wait_ready() {
            return Err(format!("{} does not become ready", node.name));
        }
    }
    Ok(nodes)
}
