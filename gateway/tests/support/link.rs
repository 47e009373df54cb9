//! Links of gateways to replicas, which a test can cut.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use laburnumwheel_core::gateway::Gateway;
use laburnumwheel_core::gateway::directory;
use laburnumwheel_gateway::clock;
use laburnumwheel_gateway::gateway::Running;
use laburnumwheel_gateway::peers;
use laburnumwheel_gateway::peers::Message;
use laburnumwheel_gateway::store::Store;
use laburnumwheel_gateway::store::View;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

use super::Contents;
use super::Replica;
use super::gateways_with_stores;
use super::listing_store;
use super::settings;
use super::view;
use super::wait_until;

/// Time between heartbeats of a stand-in for a gateway.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// What happens to the connections of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// New ones are refused; open ones live on.
    RefusesNew,
    /// New ones are refused, and open ones are closed.
    Breaks,
    /// New ones hang, and open ones fall silent.
    Hangs,
}

/// The path of one gateway to one replica.
pub struct Link {
    /// Address by which the gateway knows the replica.
    pub address: SocketAddr,
    replica: SocketAddr,
    accepting: RefCell<Option<JoinHandle<()>>>,
    open: Rc<RefCell<Vec<JoinHandle<()>>>>,
    /// Connections that fill the queue of a link that hangs.
    fillers: RefCell<Vec<socket2::Socket>>,
    /// Keeps the port while nothing listens there. Otherwise the replica of another test may get the
    /// port and answer calls of a gateway that is cut off.
    _port: socket2::Socket,
}

impl Link {
    pub async fn start(replica: SocketAddr) -> Link {
        let (port, address) = reserve_port();
        let link = Link {
            address,
            replica,
            accepting: RefCell::default(),
            open: Rc::default(),
            fillers: RefCell::default(),
            _port: port,
        };
        link.accept(laburnumwheel_gateway::server::listen(link.address).unwrap());
        link
    }

    fn accept(&self, listener: TcpListener) {
        let (replica, open) = (self.replica, Rc::clone(&self.open));
        let accepting = tokio::task::spawn_local(async move {
            while let Ok((mut near, _)) = listener.accept().await {
                let copying = tokio::task::spawn_local(async move {
                    if let Ok(mut far) = TcpStream::connect(replica).await {
                        let copied = tokio::io::copy_bidirectional(&mut near, &mut far).await;
                        // A reset is passed on: closed, an answer without a length looks complete.
                        if copied.is_err() {
                            let _ = SockRef::from(&near).set_linger(Some(Duration::ZERO));
                        }
                    }
                });
                open.borrow_mut().push(copying);
            }
        });
        self.accepting.replace(Some(accepting));
    }

    /// Cuts the link.
    pub async fn cut(&self, cut: Cut) {
        if let Some(accepting) = self.accepting.take() {
            accepting.abort();
            // The port is free once the task has been dropped.
            let _ = accepting.await;
        }
        if cut != Cut::RefusesNew {
            self.open.borrow_mut().drain(..).for_each(|copying| copying.abort());
        }
        if cut == Cut::Hangs {
            self.fill();
        }
    }

    /// Listens with a queue that is full, so that further connections hang.
    fn fill(&self) {
        let open = || socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
        let listener = open().unwrap();
        listener.set_reuse_address(true).unwrap();
        listener.bind(&self.address.into()).unwrap();
        listener.listen(0).unwrap();
        let mut fillers = vec![listener];
        for _ in 0..2 {
            let filler = open().unwrap();
            filler.set_nonblocking(true).unwrap();
            let _ = filler.connect(&self.address.into());
            fillers.push(filler);
        }
        self.fillers.replace(fillers);
    }

    /// Ends a cut.
    pub async fn restore(&self) {
        self.fillers.borrow_mut().clear();
        let listener = laburnumwheel_gateway::server::listen(self.address).unwrap();
        self.accept(listener);
    }
}

/// Binds a socket to a free port and does not listen, so that connections are refused while it lives.
pub fn reserve_port() -> (socket2::Socket, SocketAddr) {
    let open = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let socket = open.unwrap();
    socket.set_reuse_address(true).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, address)
}

/// Gateways that reach the replicas by links of their own.
pub struct Linked {
    pub gateways: Vec<Running>,
    /// Links of each gateway.
    links: Vec<Vec<Link>>,
}

impl Linked {
    /// Starts `count` gateways before these replicas and waits until they know each other. All of
    /// them read the store themselves, because only three do not read for others.
    pub async fn start(count: u64, replicas: &[&Replica]) -> Linked {
        let addresses: Vec<SocketAddr> = replicas.iter().map(|replica| replica.address).collect();
        Linked::start_viewing(count, &addresses, view(replicas)).await
    }

    /// Starts gateways before replicas of two builds in turn.
    pub async fn start_mixed(count: u64, replicas: &[&Replica]) -> Linked {
        let mut view = view(replicas);
        for (n, replica) in view.replicas.iter_mut().enumerate() {
            replica.build = Some(["v1", "v2"][n % 2].to_owned());
        }
        let addresses: Vec<SocketAddr> = replicas.iter().map(|replica| replica.address).collect();
        Linked::start_viewing(count, &addresses, view).await
    }

    /// Starts gateways that read `view`, in which the replicas have `addresses`.
    pub async fn start_viewing(count: u64, addresses: &[SocketAddr], view: View) -> Linked {
        let contents: Contents = Rc::new(RefCell::new(Some(view)));
        let (mut links, mut stores) = (Vec::new(), Vec::new());
        for _ in 0..count {
            let mut own = Vec::new();
            for address in addresses {
                own.push(Link::start(*address).await);
            }
            let addresses = own.iter().map(|link| link.address.to_string()).collect();
            stores.push(linked_store(&contents, addresses));
            links.push(own);
        }
        let gateways = gateways_with_stores(stores).await;
        let others = count as usize - 1;
        wait_until("heartbeats of all gateways", || {
            let peers = |g: &Running| g.shared.gateway.borrow().live_peers(clock::now());
            gateways.iter().all(|g| peers(g) == others)
        })
        .await;
        Linked { gateways, links }
    }

    /// Cuts a gateway off from all replicas.
    pub async fn cut(&self, gateway: usize, cut: Cut) {
        for link in &self.links[gateway] {
            link.cut(cut).await;
        }
    }

    /// Cuts a gateway off from all replicas but the first `kept`.
    pub async fn cut_all_but(&self, gateway: usize, kept: usize, cut: Cut) {
        for link in self.links[gateway].iter().skip(kept) {
            link.cut(cut).await;
        }
    }

    /// Ends the cut of a gateway.
    pub async fn restore(&self, gateway: usize) {
        for link in &self.links[gateway] {
            link.restore().await;
        }
    }

    /// Makes all gateways take whoever listens at `address` for another one that accepts callers.
    pub async fn announce_delegate(&self, address: SocketAddr) {
        let heartbeat = Gateway::new(settings("delegate", address), clock::now());
        let mut heartbeat = heartbeat.heartbeat(clock::now());
        heartbeat.demands[0].open = true;
        let message = Message::Heartbeat(Box::new(heartbeat));
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let own = |g: &Running| g.shared.socket.local_addr().unwrap();
        let gateways: Vec<SocketAddr> = self.gateways.iter().map(own).collect();
        tokio::task::spawn_local(async move {
            loop {
                for gateway in &gateways {
                    peers::send(&socket, *gateway, &message).await;
                }
                tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            }
        });
        let knows = |g: &Running| g.shared.gateway.borrow().live_peers(clock::now()) > 0;
        wait_until("the delegate is known", || self.gateways.iter().all(knows)).await;
    }

    /// Address for messages between gateways.
    pub fn peer_address(&self, gateway: usize) -> String {
        let other = &self.gateways[(gateway + 1) % self.gateways.len()].shared.gateway;
        let name = directory::short_hash(&format!("gateway-{gateway}"));
        other.borrow().directory().address(name).unwrap().to_owned()
    }

    /// Addresses that gateway `asked` returns to callers.
    pub fn addresses(&self, asked: usize) -> Vec<String> {
        let gateway = &self.gateways[asked].shared.gateway;
        gateway.borrow_mut().addresses_for(clock::now(), "mixco")
    }
}

/// A listing store in which the replicas have these addresses.
fn linked_store(contents: &Contents, addresses: Vec<String>) -> Store {
    let mut store = listing_store(contents);
    let mut read = std::mem::replace(&mut store.read, Box::new(|| unreachable!()));
    store.read = Box::new(move || {
        let (reading, addresses) = (read(), addresses.clone());
        Box::pin(async move {
            let mut reading = reading.await?;
            for (replica, address) in reading.view.replicas.iter_mut().zip(addresses) {
                replica.address = address;
            }
            Ok(reading)
        })
    });
    store
}
