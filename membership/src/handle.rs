//! Starts a router's membership and provides its handle.
use crate::change::Change;
use crate::driver::{Command, Driver, Published};
use crate::error::Error;
use crate::machine::{Counters, Machine};
use crate::member::Member;
use crate::settings::Settings;
use crossbeam_channel::{Receiver, Sender, bounded};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::{Arc, Mutex};

/// Capacity of the queue of commands for the thread.
const COMMAND_QUEUE_CAPACITY: usize = 16;
/// Capacity of each subscriber's channel; a subscriber whose channel is full receives a snapshot later.
const SUBSCRIBER_QUEUE_CAPACITY: usize = 64;
/// Stack size of the membership thread. Small, since the core builds its datagrams on the heap.
const STACK_BYTES: usize = 256 * 1024;
/// Receive buffer of the socket, for datagrams that are received while the thread is busy.
const SOCKET_BUFFER_BYTES: usize = 256 * 1024;

/// Configuration of a router's membership.
#[derive(Clone, Debug)]
pub struct Config {
    /// The router's name; unique among the routers of the fleet.
    pub name: String,
    /// The loopback address to bind; with port 0 the operating system chooses a port.
    pub listen: SocketAddrV4,
    /// The address that other members send to, if it differs from the bound one (because of a proxy).
    pub advertise: Option<SocketAddrV4>,
    /// The start time in milliseconds since the Unix epoch, or any number that increases with each start of
    /// this name.
    pub generation: u64,
    /// Addresses of any routers of the fleet; may be empty for the first router.
    pub seeds: Vec<SocketAddrV4>,
    /// Seed of the random number generator.
    pub random_seed: u64,
    /// Protocol timing and limits.
    pub settings: Settings,
}

/// A handle of a router's membership in its fleet. When the last handle is dropped, the router leaves.
#[derive(Clone)]
pub struct Membership {
    name: Arc<str>,
    addr: SocketAddrV4,
    commands: Sender<Command>,
    published: Arc<Mutex<Published>>,
    /// The socket that sends datagrams to wake the thread.
    waker: Arc<UdpSocket>,
}

impl Membership {
    /// Binds the socket and starts the membership thread.
    ///
    /// # Errors
    /// If the address is not a loopback address, the name, generation or settings are invalid, the socket
    /// can't be bound, or the thread can't be started.
    pub fn start(config: Config) -> Result<Membership, Error> {
        let bind_failed = |source| Error::Bind { addr: config.listen, source };
        if !config.listen.ip().is_loopback() {
            return Err(Error::InvalidAddress(config.listen));
        }
        let socket = UdpSocket::bind(config.listen).map_err(bind_failed)?;
        // If the size can't be set, the buffer is smaller and datagrams are lost sooner.
        _ = socket2::SockRef::from(&socket).set_recv_buffer_size(SOCKET_BUFFER_BYTES);
        let SocketAddr::V4(addr) = socket.local_addr().map_err(bind_failed)? else {
            return Err(Error::InvalidAddress(config.listen));
        };
        let local = Member::new(&config.name, config.advertise.unwrap_or(addr), config.generation)?;
        let rng = StdRng::seed_from_u64(config.random_seed);
        let machine = Machine::new(config.settings, local.clone(), rng)?;
        let waker = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).map_err(bind_failed)?;
        let SocketAddr::V4(waker_addr) = waker.local_addr().map_err(bind_failed)? else {
            return Err(Error::InvalidAddress(config.listen));
        };
        let (commands, queue) = bounded(COMMAND_QUEUE_CAPACITY);
        let published = Arc::new(Mutex::new(Published::new(local)));
        let driver = Driver::new(socket, waker_addr, machine, queue, published.clone());
        let seeds = config.seeds;
        routing::spawn_needed("membership", STACK_BYTES, move || driver.run(seeds))
            .map_err(Error::SpawnThread)?;
        Ok(Membership { name: config.name.into(), addr, commands, published, waker: Arc::new(waker) })
    }

    /// The name of this router in the fleet.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The address that the socket is bound to.
    pub fn addr(&self) -> SocketAddrV4 {
        self.addr
    }

    /// All live members: this router first, the remaining members ordered by name.
    pub fn members(&self) -> Vec<Member> {
        Published::lock(&self.published).members.clone()
    }

    /// The counters, as last published by the thread.
    pub fn counters(&self) -> Counters {
        Published::lock(&self.published).counters
    }

    /// Subscribes to membership changes over a bounded channel. [`Change::Snapshot`] is the first message. A
    /// subscriber that falls behind receives another snapshot instead of the missed changes. The channel
    /// disconnects after the last message.
    ///
    /// # Errors
    /// [`Error::Ended`] if the thread has ended.
    pub fn subscribe(&self) -> Result<Receiver<Change>, Error> {
        let (sender, changes) = bounded(SUBSCRIBER_QUEUE_CAPACITY);
        self.send(Command::Subscribe(sender))?;
        Ok(changes)
    }

    /// Leaves the fleet. [`Change::Left`] follows after the departure has been announced.
    ///
    /// # Errors
    /// [`Error::Ended`] if the thread has ended.
    pub fn leave(&self) -> Result<(), Error> {
        self.send(Command::Leave)
    }

    fn send(&self, command: Command) -> Result<(), Error> {
        self.commands.send(command).map_err(|_| Error::Ended)?;
        // An empty datagram wakes the thread. If it is lost, the thread wakes at the next timer.
        _ = self.waker.send_to(&[], self.addr);
        Ok(())
    }
}
