//! The handle of a router's membership, and how it is started.
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

/// Commands that wait for the thread, at most.
const COMMAND_QUEUE: usize = 16;
/// Changes that wait for one subscriber, at most; one that is further behind gets a snapshot.
const SUBSCRIBER_QUEUE: usize = 64;
/// The core's datagrams are built on the heap; the rest is shallow.
const STACK_BYTES: usize = 256 * 1024;
/// What the operating system keeps of datagrams while the thread is busy.
const SOCKET_BUFFER_BYTES: usize = 256 * 1024;

/// How one router takes part in its fleet.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name; one router of the fleet has it at a time.
    pub name: String,
    /// The address to bind, on loopback; port 0 for one that the operating system chooses.
    pub listen: SocketAddrV4,
    /// The address that the others send to, when it is not the bound one (a proxy between).
    pub advertise: Option<SocketAddrV4>,
    /// Start time in milliseconds since 1970, or any number that rises with each start of this name.
    pub generation: u64,
    /// Addresses of any routers of the fleet; may be empty for the first.
    pub seeds: Vec<SocketAddrV4>,
    /// Seed of the random source.
    pub random_seed: u64,
    /// Protocol timing and limits.
    pub settings: Settings,
}

/// A router's membership in its fleet. When the last handle is dropped the router leaves.
#[derive(Clone)]
pub struct Membership {
    name: Arc<str>,
    addr: SocketAddrV4,
    commands: Sender<Command>,
    published: Arc<Mutex<Published>>,
    /// Sends the datagram that wakes the thread.
    waker: Arc<UdpSocket>,
}

impl Membership {
    /// Binds the socket and starts the thread.
    ///
    /// # Errors
    /// An address that is not on loopback, a name or generation that cannot be one, settings that contradict each
    /// other, a socket that cannot be bound, a thread that cannot be started.
    pub fn start(config: Config) -> Result<Membership, Error> {
        let bind_failed = |source| Error::Bind { addr: config.listen, source };
        if !config.listen.ip().is_loopback() {
            return Err(Error::InvalidAddress(config.listen));
        }
        let socket = UdpSocket::bind(config.listen).map_err(bind_failed)?;
        // A smaller buffer only loses datagrams sooner.
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
        let (commands, queue) = bounded(COMMAND_QUEUE);
        let published = Arc::new(Mutex::new(Published::new(local)));
        let driver = Driver::new(socket, waker_addr, machine, queue, published.clone());
        let seeds = config.seeds;
        routing::spawn_needed("membership", STACK_BYTES, move || driver.run(seeds))
            .map_err(Error::SpawnThread)?;
        Ok(Membership { name: config.name.into(), addr, commands, published, waker: Arc::new(waker) })
    }

    /// This router's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The address that the socket is bound to.
    pub fn addr(&self) -> SocketAddrV4 {
        self.addr
    }

    /// Who is alive now: this router first, the others in the order of names.
    pub fn members(&self) -> Vec<Member> {
        Published::lock(&self.published).members.clone()
    }

    /// What was counted, as of the thread's last turn.
    pub fn counters(&self) -> Counters {
        Published::lock(&self.published).counters
    }

    /// A bounded channel of changes. [`Change::Snapshot`] comes first; a subscriber that falls behind receives it
    /// again instead of missing changes. The channel ends after the last message.
    ///
    /// # Errors
    /// [`Error::Ended`] when the thread has ended.
    pub fn subscribe(&self) -> Result<Receiver<Change>, Error> {
        let (sender, changes) = bounded(SUBSCRIBER_QUEUE);
        self.send(Command::Subscribe(sender))?;
        Ok(changes)
    }

    /// Leaves; [`Change::Left`] follows when the announcement of it has been sent.
    ///
    /// # Errors
    /// [`Error::Ended`] when the thread has ended.
    pub fn leave(&self) -> Result<(), Error> {
        self.send(Command::Leave)
    }

    fn send(&self, command: Command) -> Result<(), Error> {
        self.commands.send(command).map_err(|_| Error::Ended)?;
        // An empty datagram wakes the thread; should it be lost, the next timer does.
        _ = self.waker.send_to(&[], self.addr);
        Ok(())
    }
}
