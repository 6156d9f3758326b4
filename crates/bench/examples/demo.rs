//! Demonstrates the main use case step by step with real processes; fails when a check fails.

use anyhow::{Context, ensure};
use bytes::Bytes;
use shallotfork_standin::caller::{Answer, Call, Caller, CallerConfig};
use shallotfork_tests::{Case, Running};
use shallotfork_types::{IdempotencyKey, ServiceName};

const READS: u32 = 20;
const ISSUER: usize = 0;
const EXECUTOR: usize = 1;
const OTHER: usize = 2;

/// State shared by the steps.
struct Demo {
    running: Running,
    caller: Caller,
    recipes: ServiceName,
    orders: ServiceName,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    println!("1. start a platform stand-in, 6 targets of 2 services and 3 entries");
    let running = Case::new()
        .with_entries(3)
        .with_service("recipe-desk", 4)
        .with_service("order-desk", 2)
        .start()
        .await?;
    print_processes(&running);
    let caller = running.caller()?;
    let recipes = ServiceName::new("recipe-desk")?;
    let orders = ServiceName::new("order-desk")?;
    let mut demo = Demo { running, caller, recipes, orders };

    demo.fetch_entries().await?;
    demo.read_cards("before").await?;
    let order = demo.send_order().await?;
    demo.kill_executor().await?;
    demo.read_cards("after").await?;
    demo.resend_order(&order).await?;
    demo.stop().await?;
    println!("all steps passed");
    Ok(())
}

impl Demo {
    async fn fetch_entries(&self) -> anyhow::Result<()> {
        println!("2. ask an entry which entries to use for {}", self.recipes);
        let answer = self.caller.entries(&self.recipes).await?;
        for entry in &answer.entries {
            println!("   {} in {}", entry.address, entry.failure_domain);
        }
        println!("   keep this answer for {} ms", answer.keep_for_ms);
        ensure!(!answer.entries.is_empty(), "no entry is advertised");
        Ok(())
    }

    async fn read_cards(&self, when: &str) -> anyhow::Result<()> {
        println!("   read {READS} recipe cards");
        let mut failovers = 0;
        for number in 0..READS {
            let mark = format!("{when}-{number}");
            let call = Call::get(self.recipes.clone(), "/cards/saltbush").with_mark(&mark);
            let report = self.caller.call(&call).await?;
            let answer = report.success().with_context(|| format!("{:?}", report.attempts))?;
            check_answer(answer, &mark)?;
            failovers += report.attempts.len() - 1;
        }
        println!("   {READS} whole answers, each to its own request; {failovers} failovers");
        Ok(())
    }

    /// Obtains a session from one entry and sends the order through another one.
    async fn send_order(&self) -> anyhow::Result<Call> {
        println!("3. lodge an order with a session of one entry, through another entry");
        let addresses = self.running.caller_addresses();
        let issuer = Caller::new(CallerConfig::new(vec![addresses[ISSUER]]))?;
        let session =
            issuer.entries(&self.orders).await?.session.context("the entry issued no session")?;
        let key = IdempotencyKey::new("order-1")?;
        let body = Bytes::from_static(b"two drums of saltbush pepper");
        let order = Call::post(self.orders.clone(), "/orders", key, body)
            .with_mark("order-1")
            .with_session(&session);
        let report = self.caller.send_to(addresses[EXECUTOR], &order).await;
        let answer = report.success().with_context(|| format!("{:?}", report.attempts))?;
        check_answer(answer, "order-1")?;
        println!("   session from {}, sent to {}", addresses[ISSUER], addresses[EXECUTOR]);
        println!("   answered by target {}", target_name(answer));
        Ok(order)
    }

    async fn kill_executor(&mut self) -> anyhow::Result<()> {
        let entry = &mut self.running.entries[EXECUTOR];
        let pid = entry.program.pid().context("the entry has exited on its own")?;
        println!("4. kill {} (process {pid})", entry.vm);
        entry.program.kill().await
    }

    async fn resend_order(&self, order: &Call) -> anyhow::Result<()> {
        println!("5. send the same order again, through a third entry");
        let other = self.running.caller_addresses()[OTHER];
        let report = self.caller.send_to(other, order).await;
        let answer = report.success().with_context(|| format!("{:?}", report.attempts))?;
        check_answer(answer, "order-1")?;
        println!("   the kept answer of target {} comes back", target_name(answer));
        let runs = self.running.runs_of_key("order-1").await?;
        println!("   runs of the order at all targets: {runs}");
        ensure!(runs == 1, "the order ran {runs} times");
        Ok(())
    }

    async fn stop(&mut self) -> anyhow::Result<()> {
        println!("6. stop the other entries gracefully");
        for entry in &self.running.entries {
            if entry.program.pid().is_some() && entry.vm != self.running.entries[EXECUTOR].vm {
                entry.program.terminate()?;
            }
        }
        for index in [ISSUER, OTHER] {
            let entry = &mut self.running.entries[index];
            let status = entry.program.wait_exit().await?;
            println!("   {} ended: {status}", entry.vm);
            ensure!(status.success(), "{} did not stop gracefully", entry.vm);
        }
        Ok(())
    }
}

fn print_processes(running: &Running) {
    for target in &running.targets {
        println!("   target {} at {}", target.id, target.address);
    }
    for entry in &running.entries {
        let domain = &entry.failure_domain;
        println!("   entry {} in {domain} at {}", entry.vm, entry.ready.callers);
    }
}

fn check_answer(answer: &Answer, mark: &str) -> anyhow::Result<()> {
    ensure!(answer.mark.as_deref() == Some(mark), "the answer belongs to another request");
    ensure!(answer.digest_holds == Some(true), "the answer is not complete");
    Ok(())
}

fn target_name(answer: &Answer) -> String {
    answer.target.as_ref().map_or_else(|| "unknown".to_owned(), ToString::to_string)
}
