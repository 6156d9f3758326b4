//! Tests of the harness itself: stand-ins run as processes, and the relay.

use std::time::Duration;

use shallotfork_standin::caller::plain_client;
use shallotfork_standin::platform::Changes;
use shallotfork_tests::{Case, Links, Relay, RelayFaults, wait_until};
use shallotfork_types::{Endpoint, VmId};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

#[tokio::test]
async fn starts_stand_ins_and_publishes() -> anyhow::Result<()> {
    let running = Case::new().with_entries(0).with_service("recipe-desk", 2).start().await?;
    let http = plain_client(Duration::from_secs(5))?;

    let url = format!("http://{}/v1/changes?after=0", running.platform.replicas[0]);
    let changes: Changes = http.get(url).send().await?.json().await?;
    let target = format!("http://{}/card", running.targets[1].address);
    http.get(target).header("standin-mark", "m1").send().await?.error_for_status()?;

    let names: Vec<&str> = changes.values.iter().map(|value| value.name.as_str()).collect();
    assert_eq!(["targets.recipe-desk", "vms", "rules"], names[..]);
    assert_eq!(1, running.runs_of_mark("m1").await?);
    Ok(())
}

#[tokio::test]
async fn terminated_target_exits() -> anyhow::Result<()> {
    let case = Case::new().with_entries(0).with_service("recipe-desk", 1);
    let mut running = case.with_target_option("--grace-ms", "50").start().await?;

    running.targets[0].program.terminate()?;

    assert!(running.targets[0].program.wait_exit().await?.success());
    Ok(())
}

#[tokio::test]
async fn relay_cuts_at_configured_byte() -> anyhow::Result<()> {
    let relay = Relay::start(start_echo_server().await?).await?;
    relay.set_faults(RelayFaults { cut_to_client_at_bytes: Some(3), ..RelayFaults::default() });

    let mut client = TcpStream::connect(relay.address().address()).await?;
    client.write_all(b"hello").await?;
    let mut received = Vec::new();
    client.read_to_end(&mut received).await?;

    assert_eq!(b"hel".as_slice(), received);
    Ok(())
}

#[tokio::test]
async fn held_relay_delivers_after_release() -> anyhow::Result<()> {
    let relay = Relay::start(start_echo_server().await?).await?;
    relay.set_faults(RelayFaults { hold_to_server: true, ..RelayFaults::default() });
    let mut client = TcpStream::connect(relay.address().address()).await?;
    client.write_all(b"hello").await?;
    let mut received = [0; 5];

    let held = tokio::time::timeout(Duration::from_millis(100), client.read(&mut received)).await;
    relay.set_faults(RelayFaults::default());
    client.read_exact(&mut received).await?;

    assert!(held.is_err());
    assert_eq!(b"hello", &received);
    Ok(())
}

#[tokio::test]
async fn link_cut_holds_one_direction_only() -> anyhow::Result<()> {
    let links = Links::new();
    let one = VmId::new("entry-1")?;
    let ten = VmId::new("entry-10")?;
    let relay = Relay::start_between(start_echo_server().await?, &one, links.clone()).await?;
    links.add_entry(&ten);
    let mut client = TcpStream::connect(relay.address().address()).await?;
    let mut received = [0; 8];
    client.write_all(b"entry-10").await?;
    client.read_exact(&mut received).await?;

    links.cut(&one, &ten);
    client.write_all(b"again").await?;
    let held = tokio::time::timeout(Duration::from_millis(100), client.read(&mut received)).await;
    links.heal();
    wait_until("the answer comes", async || client.read(&mut received).await.is_ok()).await?;

    assert!(held.is_err());
    assert_eq!(b"again", &received[..5]);
    Ok(())
}

/// Starts a server that echoes what it receives.
async fn start_echo_server() -> anyhow::Result<Endpoint> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = Endpoint::new(listener.local_addr()?);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.into_split();
                // An error means that the client closed the connection, as it may at any time.
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    Ok(address)
}
