//! The connections of clients, whatever wire they speak: accepted, bounded in number, and let go at shutdown
//! without a request lost.
use crossbeam_channel::{Receiver, bounded};
use routing::spawn;
use settings::Limits;
use std::collections::HashMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A front: it speaks with one client at a time on the thread that it is called on.
pub trait Talk: Send + Sync + 'static {
    /// Speaks with one client until either side ends it.
    fn talk(self: &Arc<Self>, connection: &Arc<Connection>);
}

/// A client's connection.
pub struct Connection {
    /// Its socket.
    pub socket: TcpStream,
    /// Its number, not used twice.
    pub number: u64,
    /// Commands read and not answered yet.
    owed: AtomicUsize,
    closing: Arc<AtomicBool>,
}

impl Connection {
    /// A command has been read: the connection stays open until it is paid.
    pub fn owe(&self) {
        self.owed.fetch_add(1, Ordering::SeqCst);
    }

    /// A command is answered or needs no answer. At shutdown, this lets the connection go.
    pub fn paid(&self) {
        self.owed.fetch_sub(1, Ordering::SeqCst);
        if self.closing.load(Ordering::SeqCst) {
            self.close_if_nothing_owed();
        }
    }

    /// Ends the connection for both threads that stand on it.
    pub fn close(&self) {
        // An error means that it is closed already.
        _ = self.socket.shutdown(Shutdown::Both);
    }

    fn close_if_nothing_owed(&self) {
        if self.owed.load(Ordering::SeqCst) == 0 {
            self.close();
        }
    }
}

/// All connections of one front.
pub struct Clients<T> {
    front: Arc<T>,
    limits: Arc<Limits>,
    open: Mutex<HashMap<u64, Arc<Connection>>>,
    next: AtomicUsize,
    /// Connections are closed as soon as nothing is owed on them.
    closing: Arc<AtomicBool>,
}

impl<T: Talk> Clients<T> {
    /// Nobody is connected yet.
    pub fn new(front: Arc<T>, limits: Arc<Limits>) -> Arc<Self> {
        let (open, next, closing) = (Mutex::default(), AtomicUsize::new(0), Arc::default());
        Arc::new(Clients { front, limits, open, next, closing })
    }

    fn open(&self) -> MutexGuard<'_, HashMap<u64, Arc<Connection>>> {
        self.open.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Takes connections until `stop` says so; returns when the last one has ended, or after
    /// [`Limits::shutdown_most`].
    pub fn serve(self: &Arc<Self>, listener: TcpListener, stop: &Receiver<()>) -> io::Result<()> {
        let (clients, accepting) = (self.clone(), Arc::new(AtomicBool::new(true)));
        let (on, own) = (accepting.clone(), listener.try_clone()?);
        let (done, ended) = bounded::<()>(0);
        spawn("accept", self.limits.stack_bytes, move || {
            clients.accept(&own, &on);
            drop((own, done));
        })?;
        // Blocks until the signal comes, or for good if it never does.
        _ = stop.recv();
        eprintln!("shutdown: taking requests for {:?} more", self.limits.shutdown_grace);
        let asked = Instant::now();
        std::thread::sleep(self.limits.shutdown_grace);
        accepting.store(false, Ordering::Release);
        // A thread that waits in accept() hears of nothing but a connection: it gets one.
        _ = listener.local_addr().and_then(|a| TcpStream::connect_timeout(&a, Duration::from_secs(1)));
        _ = ended.recv_timeout(Duration::from_secs(1));
        // What the kernel has accepted already is ours: it is taken before the listener closes.
        listener.set_nonblocking(true)?;
        while let Ok((socket, from)) = listener.accept() {
            self.admit(socket, from);
        }
        drop(listener);
        self.closing.store(true, Ordering::SeqCst);
        while asked.elapsed() < self.limits.shutdown_most {
            let open: Vec<Arc<Connection>> = self.open().values().cloned().collect();
            if open.is_empty() {
                break;
            }
            open.iter().for_each(|c| c.close_if_nothing_owed());
            std::thread::sleep(Duration::from_millis(5));
        }
        eprintln!("shutdown: ended with {} connections left", self.open().len());
        Ok(())
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener, accepting: &AtomicBool) {
        while accepting.load(Ordering::Acquire) {
            match listener.accept() {
                Ok((socket, from)) => {
                    self.make_room();
                    self.admit(socket, from);
                }
                // Out of descriptors, or a client that left at once.
                Err(e) => {
                    if e.kind() != io::ErrorKind::WouldBlock {
                        eprintln!("clients: cannot accept: {e}");
                    }
                    std::thread::sleep(Duration::from_millis(10));
                }
            }
        }
    }

    /// At the bound, an idle connection makes room (one between two requests may be closed); where none is
    /// idle, the next one waits unaccepted until one is.
    fn make_room(&self) {
        loop {
            let all = self.open();
            if all.len() < self.limits.client_connections {
                return;
            }
            if let Some(idle) = all.values().find(|c| c.owed.load(Ordering::SeqCst) == 0) {
                idle.close();
            }
            drop(all);
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    fn admit(self: &Arc<Self>, socket: TcpStream, from: SocketAddr) {
        let ready = socket.set_nonblocking(false).and_then(|()| socket.set_nodelay(true));
        let ready = ready.and_then(|()| socket.set_write_timeout(Some(self.limits.client_write)));
        if let Err(e) = ready {
            return eprintln!("clients: {from}: {e}");
        }
        let number = self.next.fetch_add(1, Ordering::Relaxed) as u64;
        let closing = self.closing.clone();
        let connection = Arc::new(Connection { socket, number, owed: AtomicUsize::new(0), closing });
        self.open().insert(number, connection.clone());
        let clients = self.clone();
        let talk = move || {
            clients.front.talk(&connection);
            connection.close();
            clients.open().remove(&number);
        };
        if let Err(e) = spawn("client", self.limits.stack_bytes, talk) {
            eprintln!("clients: no thread for {from}: {e}");
            self.open().remove(&number);
        }
    }
}
