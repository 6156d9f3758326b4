//! A port whose process is out of file descriptors. The limit holds for the whole process, so this
//! file has one test.

use std::fs::File;
use std::time::Duration;

use poem::endpoint::make_sync;
use rustix::process::{Resource, getrlimit, setrlimit};
use shallotfork_exchange::{ServeConfig, ServeControl, serve};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Half of the time for which a connection lingers.
const TIMEOUT: Duration = Duration::from_secs(5);
const DESCRIPTORS_MAX: u64 = 200;
/// Each takes two descriptors, as caller and server are one process.
const CALLERS: usize = 150;

/// Guards against callers that find no entry because connections whose callers close late take all
/// file descriptors.
#[tokio::test]
async fn lingering_connections_give_way_to_new_ones() {
    let mut limit = getrlimit(Resource::Nofile);
    limit.current = Some(DESCRIPTORS_MAX);
    setrlimit(Resource::Nofile, limit).expect("a lower limit");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("an address");
    let control = ServeControl::new();
    control.announce_close();
    let config = ServeConfig { lingering_max: usize::MAX, ..ServeConfig::default() };
    tokio::spawn(serve(listener, make_sync(|_| "done"), config, control));
    let mut open = Vec::new();
    // Closed if the last descriptor would otherwise go to the server's side of a connection, which
    // leaves none for the next caller.
    let mut spare = Some(File::open("/dev/null").expect("a descriptor"));
    for number in 0..CALLERS {
        let mut connected = TcpStream::connect(address).await;
        if connected.is_err() && spare.take().is_some() {
            connected = TcpStream::connect(address).await;
        }
        let mut caller = connected.expect("connect");
        let mut answer = String::new();
        caller.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await.expect("write");
        let reading = tokio::time::timeout(TIMEOUT, caller.read_to_string(&mut answer));
        reading.await.expect("an answer").expect("no reset");
        assert!(answer.ends_with("done"), "caller {number}: {answer}");
        open.push(caller);
    }
}
