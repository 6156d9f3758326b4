//! A TCP relay that cuts, holds or delays the connections through it.

use std::collections::BTreeSet;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use shallotfork_types::{Endpoint, VmId};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const BUFFER_BYTES: usize = 16 * 1024;

/// Faults that apply to every current and later connection through one relay.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RelayFaults {
    /// Holds back all data to the server while connections stay open.
    pub hold_to_server: bool,
    /// Holds back all data to the client while connections stay open.
    pub hold_to_client: bool,
    /// Closes new connections at once and cuts open ones.
    pub refuse: bool,
    /// Delay added to each chunk of data, in each direction.
    pub delay: Duration,
    /// Cuts each connection after this many bytes to the server.
    pub cut_to_server_at_bytes: Option<u64>,
    /// Cuts each connection after this many bytes to the client.
    pub cut_to_client_at_bytes: Option<u64>,
}

/// One direction of the link between two entries.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Direction {
    from: VmId,
    to: VmId,
}

#[derive(Debug, Default)]
struct Cuts {
    known: Vec<VmId>,
    cut: BTreeSet<Direction>,
}

/// Cut links between entries, shared by the relays in front of them.
///
/// A relay identifies the entry that opened a connection by its VM id, which is sent in plain text
/// in the first bytes.
#[derive(Debug, Clone)]
pub struct Links {
    cuts: Arc<Mutex<Cuts>>,
    changed: watch::Sender<()>,
}

impl Default for Links {
    fn default() -> Self {
        Self { cuts: Arc::default(), changed: watch::Sender::new(()) }
    }
}

impl Links {
    /// Returns links without cuts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Cuts the direction from `from` to `to`.
    pub fn cut(&self, from: &VmId, to: &VmId) {
        let direction = Direction { from: from.clone(), to: to.clone() };
        self.change(|cuts| {
            cuts.cut.insert(direction);
        });
    }

    /// Cuts both directions between two entries.
    pub fn cut_both(&self, one: &VmId, other: &VmId) {
        self.cut(one, other);
        self.cut(other, one);
    }

    /// Removes every cut.
    pub fn heal(&self) {
        self.change(|cuts| cuts.cut.clear());
    }

    /// Registers an entry, so that relays recognise its connections.
    pub fn add_entry(&self, vm: &VmId) {
        self.change(|cuts| {
            if !cuts.known.contains(vm) {
                cuts.known.push(vm.clone());
            }
        });
    }

    fn change(&self, change: impl FnOnce(&mut Cuts)) {
        change(&mut self.cuts.lock().unwrap_or_else(PoisonError::into_inner));
        self.changed.send_replace(());
    }

    fn is_cut(&self, direction: &Direction) -> bool {
        self.cuts.lock().unwrap_or_else(PoisonError::into_inner).cut.contains(direction)
    }

    /// Returns the entry other than `owner` whose VM id the first bytes of a connection contain.
    fn opener(&self, owner: &VmId, first: &[u8]) -> Option<VmId> {
        let cuts = self.cuts.lock().unwrap_or_else(PoisonError::into_inner);
        let mut others: Vec<&VmId> = cuts.known.iter().filter(|vm| *vm != owner).collect();
        // Longest id first, since `entry-1` is also a prefix of `entry-10`.
        others.sort_by_key(|vm| std::cmp::Reverse(vm.as_str().len()));
        let is_contained = |vm: &&&VmId| {
            let name = vm.as_str().as_bytes();
            first.windows(name.len()).any(|window| window == name)
        };
        others.iter().find(is_contained).map(|vm| (**vm).clone())
    }
}

#[derive(Debug, Clone)]
struct Owner {
    vm: VmId,
    links: Links,
}

#[derive(Debug, Clone, Copy)]
struct Route {
    upstream: Endpoint,
    faults: RelayFaults,
}

/// A relay in front of one server.
#[derive(Debug)]
pub struct Relay {
    address: Endpoint,
    route: watch::Sender<Route>,
}

impl Relay {
    /// Starts a relay to `upstream` on a loopback port that the kernel chooses.
    ///
    /// # Errors
    /// Returns an error if the port can't be bound.
    pub async fn start(upstream: Endpoint) -> io::Result<Self> {
        Self::start_with(upstream, None).await
    }

    /// Starts a relay in front of the peer port of an entry; cuts in `links` apply to it too.
    ///
    /// # Errors
    /// Returns an error if the port can't be bound.
    pub async fn start_between(upstream: Endpoint, vm: &VmId, links: Links) -> io::Result<Self> {
        links.add_entry(vm);
        Self::start_with(upstream, Some(Owner { vm: vm.clone(), links })).await
    }

    async fn start_with(upstream: Endpoint, owner: Option<Owner>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = Endpoint::new(listener.local_addr()?);
        let (route, watched) = watch::channel(Route { upstream, faults: RelayFaults::default() });
        tokio::spawn(accept_all(listener, watched, owner));
        Ok(Self { address, route })
    }

    /// Returns the address that clients connect to.
    pub fn address(&self) -> Endpoint {
        self.address
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: RelayFaults) {
        self.route.send_modify(|route| route.faults = faults);
    }

    /// Relays new connections to another server, as after a restart of the server.
    pub fn set_upstream(&self, upstream: Endpoint) {
        self.route.send_modify(|route| route.upstream = upstream);
    }
}

/// Accepts connections until the relay is dropped, which closes its connections too.
async fn accept_all(
    listener: TcpListener,
    mut route: watch::Receiver<Route>,
    owner: Option<Owner>,
) {
    loop {
        let client = tokio::select! {
            accepted = listener.accept() => accepted,
            changed = route.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
        };
        if let Ok((client, _)) = client {
            tokio::spawn(relay(client, route.clone(), owner.clone()));
        }
    }
}

/// Copies one direction of one connection.
struct Pump {
    route: watch::Receiver<Route>,
    to_server: bool,
    owner: Option<Owner>,
    opener: watch::Sender<Option<VmId>>,
    relayed_bytes: u64,
}

async fn relay(client: TcpStream, route: watch::Receiver<Route>, owner: Option<Owner>) {
    let Route { upstream, faults } = *route.borrow();
    if faults.refuse {
        return;
    }
    let Ok(server) = TcpStream::connect(upstream.address()).await else {
        return;
    };
    // Disables Nagle's algorithm, so that only `RelayFaults::delay` delays data.
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let opener = watch::Sender::new(None);
    let pump = |to_server| Pump {
        route: route.clone(),
        to_server,
        owner: owner.clone(),
        opener: opener.clone(),
        relayed_bytes: 0,
    };
    let both = async {
        tokio::try_join!(
            pump(true).run(from_client, to_server),
            pump(false).run(from_server, to_client)
        )
    };
    tokio::select! {
        _ = both => {}
        () = wait_refused(route.clone()) => {}
    }
}

async fn wait_refused(mut route: watch::Receiver<Route>) {
    // An error means that the relay was dropped, which closes its connections too.
    let _ = route.wait_for(|route| route.faults.refuse).await;
}

impl Pump {
    async fn run(mut self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) -> io::Result<()> {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let count = from.read(&mut buffer).await?;
            if count == 0 {
                self.wait_released().await;
                return to.shutdown().await;
            }
            self.identify_opener(&buffer[..count]);
            let delay = self.route.borrow().faults.delay;
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            self.wait_released().await;
            let allowed = self.allowed(count);
            to.write_all(&buffer[..allowed]).await?;
            self.relayed_bytes += allowed as u64;
            if allowed < count {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
        }
    }

    fn identify_opener(&self, first: &[u8]) {
        let Some(owner) = &self.owner else {
            return;
        };
        if self.to_server && self.opener.borrow().is_none() {
            let opener = owner.links.opener(&owner.vm, first);
            self.opener.send_replace(opener);
        }
    }

    fn allowed(&self, count: usize) -> usize {
        let faults = self.route.borrow().faults;
        let limit = match self.to_server {
            true => faults.cut_to_server_at_bytes,
            false => faults.cut_to_client_at_bytes,
        };
        let Some(limit) = limit else {
            return count;
        };
        let left = limit.saturating_sub(self.relayed_bytes);
        count.min(usize::try_from(left).unwrap_or(usize::MAX))
    }

    /// Waits while this direction is held or cut.
    async fn wait_released(&mut self) {
        let mut links = self.owner.as_ref().map(|owner| owner.links.changed.subscribe());
        while self.is_held() {
            let links_changed = async {
                match &mut links {
                    Some(links) => links.changed().await.is_ok(),
                    None => std::future::pending().await,
                }
            };
            let is_relay_running = tokio::select! {
                changed = self.route.changed() => changed.is_ok(),
                changed = links_changed => changed,
            };
            if !is_relay_running {
                return;
            }
        }
    }

    fn is_held(&self) -> bool {
        let faults = self.route.borrow().faults;
        let held = if self.to_server { faults.hold_to_server } else { faults.hold_to_client };
        held || self.is_cut()
    }

    fn is_cut(&self) -> bool {
        let Some(owner) = &self.owner else {
            return false;
        };
        let Some(opener) = self.opener.borrow().clone() else {
            return false;
        };
        let own = owner.vm.clone();
        let (from, to) = if self.to_server { (opener, own) } else { (own, opener) };
        owner.links.is_cut(&Direction { from, to })
    }
}
