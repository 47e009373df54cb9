//! Scripted model engines that crash, state their runs, and copy them to one another.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use laburnumwheel_core::gateway::config;
use laburnumwheel_core::gateway::config::Config;
use laburnumwheel_core::gateway::config::Route;
use laburnumwheel_core::gateway::config::Service;
use laburnumwheel_core::gateway::config::Transfer;
use laburnumwheel_core::time::Span;
use laburnumwheel_gateway::channel;
use laburnumwheel_gateway::channel::Channel;
use laburnumwheel_gateway::dialect::own;
use laburnumwheel_gateway::gateway::Running;
use laburnumwheel_gateway::store::View;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::Contents;
use super::Received;
use super::gateway;
use super::listing;
use super::read;
use super::request;
use super::view;

/// Step of an engine on one call.
#[derive(Clone, Debug)]
pub enum Step {
    /// Writes this text, with `ID` replaced by the call's id.
    Write(String),
    /// Waits.
    Wait(Duration),
    /// Closes the connection.
    Close,
    /// Ends the process: all connections close, and new ones are refused.
    Crash,
    /// Waits until the gateway closes the connection, and records that.
    AwaitClose,
    /// Sends these events, one each 20 ms. If the run is stopped meanwhile, closes the connection
    /// without an end.
    Run(u32, u32),
}

/// Answer of an engine to a call that copies a run.
#[derive(Clone, Debug)]
pub struct Copied {
    /// Time that the copy takes.
    pub delay: Duration,
    /// Status and body; `None` if the engine closes the connection instead.
    pub answer: Option<(u16, &'static str)>,
    /// Whether the run is stopped.
    pub stopped: bool,
}

impl Copied {
    /// An answer at once, to a call that stops the run if `stopped`.
    pub fn now(status: u16, body: &'static str, stopped: bool) -> Copied {
        Copied { delay: Duration::ZERO, answer: Some((status, body)), stopped }
    }
}

/// Time between the events of [`Step::Run`].
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

type Script = Rc<dyn Fn(&Received) -> Vec<Step>>;
/// Answers a call that copies a run, and stops it if the flag is set.
type CopyScript = Rc<dyn Fn(bool) -> Copied>;

/// An engine that follows a script for each call. Its report is set by the test.
#[derive(Clone)]
pub struct Engine {
    pub address: SocketAddr,
    /// Calls in their order, without those for the report.
    pub received: Rc<RefCell<Vec<Received>>>,
    /// Status and body of the report.
    pub report: Rc<RefCell<(u16, String)>>,
    /// Calls for the report so far.
    pub reports: Rc<Cell<u32>>,
    /// Calls whose connection the gateway closed.
    pub closed: Rc<Cell<u32>>,
    /// Calls that copy a run, in their order.
    pub copies: Rc<RefCell<Vec<Received>>>,
    /// Answers them.
    pub copy_script: Rc<RefCell<CopyScript>>,
    /// Handles whose memory was freed.
    pub freed: Rc<RefCell<Vec<String>>>,
    /// Status of the answer to a call that frees memory.
    pub free_status: Rc<Cell<u16>>,
    /// In place of reports: a text, and another one that is repeated until the
    /// connection is closed, if it is not empty.
    pub faulty_reports: Rc<RefCell<Option<(String, String)>>>,
    /// The same in place of answers to calls that copy a run.
    pub faulty_copies: Rc<RefCell<Option<(String, String)>>>,
    /// Sent before the answer to a call that stops a run, on a connection that has carried a call
    /// which copied one.
    pub late_copy: Rc<Cell<Option<(u16, &'static str)>>>,
    /// Connections with a repeated text that the gateway closed.
    pub endless: Rc<Cell<u32>>,
    stopped: Rc<Cell<bool>>,
    accepting: Rc<RefCell<Option<JoinHandle<()>>>>,
    open: Rc<RefCell<Vec<JoinHandle<()>>>>,
}

impl Engine {
    /// Starts an engine on a host of its own.
    pub async fn start(host: u8, script: impl Fn(&Received) -> Vec<Step> + 'static) -> Engine {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 1, host], 0))).await.unwrap();
        let engine = Engine {
            address: listener.local_addr().unwrap(),
            received: Rc::default(),
            report: Rc::new(RefCell::new((200, "0\n".to_owned()))),
            reports: Rc::default(),
            closed: Rc::default(),
            copies: Rc::default(),
            copy_script: Rc::new(RefCell::new(Rc::new(|stop| Copied::now(200, "h1", stop)))),
            freed: Rc::default(),
            free_status: Rc::new(Cell::new(200)),
            faulty_reports: Rc::default(),
            faulty_copies: Rc::default(),
            late_copy: Rc::default(),
            endless: Rc::default(),
            stopped: Rc::default(),
            accepting: Rc::default(),
            open: Rc::default(),
        };
        let (e, script): (Engine, Script) = (engine.clone(), Rc::new(script));
        let accepting = tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (serving, script) = (e.clone(), Rc::clone(&script));
                let task = tokio::task::spawn_local(async move {
                    serving.serve(stream, &script).await;
                });
                e.open.borrow_mut().push(task);
            }
        });
        engine.accepting.replace(Some(accepting));
        engine
    }

    async fn serve(&self, mut stream: TcpStream, script: &Script) {
        let mut has_copied = false;
        while let Some(received) = read(&mut stream).await {
            if received.head.starts_with(&format!("GET {}", own::REPORT_PATH)) {
                self.reports.set(self.reports.get() + 1);
                let faulty = self.faulty_reports.borrow().clone();
                if let Some(faulty) = faulty {
                    return self.respond_faulty(stream, faulty).await;
                }
                let (status, body) = self.report.borrow().clone();
                respond(&mut stream, status, &body).await;
                continue;
            }
            if let Some(path) = received.head.strip_prefix(&format!("DELETE {}", own::HANDLE_PATH))
            {
                let handle = path.split(' ').next().unwrap_or_default();
                self.freed.borrow_mut().push(handle.to_owned());
                respond(&mut stream, self.free_status.get(), "").await;
                continue;
            }
            if received.head.starts_with(&format!("POST {}", own::COPY_PATH)) {
                let script = Rc::clone(&self.copy_script.borrow());
                let is_stop = received.header(own::STOP).is_some();
                let copied = script(is_stop);
                self.copies.borrow_mut().push(received);
                let faulty = self.faulty_copies.borrow().clone();
                if let Some(faulty) = faulty {
                    return self.respond_faulty(stream, faulty).await;
                }
                self.stopped.set(self.stopped.get() || copied.stopped);
                tokio::time::sleep(copied.delay).await;
                let late = self.late_copy.get().filter(|_| is_stop && has_copied);
                if let Some((status, body)) = late {
                    respond(&mut stream, status, body).await;
                }
                has_copied = true;
                match copied.answer {
                    Some((status, body)) => respond(&mut stream, status, body).await,
                    None => return,
                }
                continue;
            }
            let id = received.id().to_owned();
            let steps = script(&received);
            self.received.borrow_mut().push(received);
            for step in steps {
                match step {
                    Step::Write(text) => {
                        let _ = stream.write_all(text.replace("ID", &id).as_bytes()).await;
                    }
                    Step::Wait(time) => tokio::time::sleep(time).await,
                    Step::Run(from, to) => {
                        for i in from..=to {
                            tokio::time::sleep(EVENT_INTERVAL).await;
                            if self.stopped.get() {
                                return;
                            }
                            let event = super::event(i);
                            if stream.write_all(event.as_bytes()).await.is_err() {
                                return;
                            }
                        }
                    }
                    Step::Close => return,
                    Step::Crash => return self.crash(),
                    Step::AwaitClose => {
                        let _ = stream.read(&mut [0; 16]).await;
                        self.closed.set(self.closed.get() + 1);
                        return;
                    }
                }
            }
        }
    }

    async fn respond_faulty(&self, mut stream: TcpStream, (text, repeated): (String, String)) {
        let mut is_open = stream.write_all(text.as_bytes()).await.is_ok();
        while is_open && !repeated.is_empty() {
            is_open = stream.write_all(repeated.repeat(1_000).as_bytes()).await.is_ok();
            self.endless.set(self.endless.get() + u32::from(!is_open));
        }
    }

    /// Ends the process. The listener and the connections close when their tasks are next run.
    pub fn crash(&self) {
        if let Some(accepting) = self.accepting.take() {
            accepting.abort();
        }
        self.open.borrow_mut().drain(..).for_each(|task| task.abort());
    }

    /// Whether the calls that copied a run stopped it, in their order.
    pub fn stops(&self) -> Vec<bool> {
        self.copies.borrow().iter().map(|copy| copy.header(own::STOP).is_some()).collect()
    }

    /// Last received value of a header.
    pub fn header(&self, name: &str) -> Option<String> {
        self.received.borrow().last()?.header(name).map(str::to_owned)
    }
}

async fn respond(stream: &mut TcpStream, status: u16, body: &str) {
    let text = format!("HTTP/1.1 {status} Own\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    let _ = stream.write_all(text.as_bytes()).await;
}

/// Engines that keep copies, and `once-stream` as the route of the highest rank. `attempts` is the
/// number of engines that one of its calls may be sent to.
pub fn copying(attempts: u32) -> Config {
    let transfer = Some(Transfer { token_bytes: 100, link_mbps: 10_000.0 });
    let engine = config::Engine {
        slots: 16,
        kv_tokens: 300_000,
        tokens_per_event: 3,
        transfer,
        backups: true,
        copy_ttl: Span::secs(3),
        ..config::Engine::default()
    };
    let config = super::config(1);
    let route = config.route("127.0.0.1", "/once-stream/x").unwrap();
    let route = Route { priority: 0, attempts, ..Route::clone(route) };
    let service = Service { name: "service".to_owned(), connections: 100, engine: Some(engine) };
    config.with_route(route).with_service(service)
}

pub fn view_of(config: Config, engines: &[&Engine]) -> View {
    let listed = engines.iter().enumerate();
    let replicas = listed.map(|(i, e)| listing(&format!("engine-{i}"), e.address)).collect();
    View { config: Some(Arc::new(config)), replicas, ..view(&[]) }
}

pub async fn gateway_of(engines: &[&Engine]) -> Running {
    let contents: Contents = Rc::new(RefCell::new(Some(view_of(copying(1), engines))));
    gateway(&contents).await
}

/// Sends a call with a prompt to `once-stream`; the connection must stay open until the end of the
/// response.
pub async fn open(running: &Running, id: &str) -> (Channel, Incoming) {
    open_expecting(running, id, 60).await
}

/// The same for an answer that the caller expects to have so many tokens.
pub async fn open_expecting(running: &Running, id: &str, tokens: u32) -> (Channel, Incoming) {
    open_at(running.callers, id, tokens).await
}

/// The same at a gateway that accepts callers at this address.
pub async fn open_at(callers: SocketAddr, id: &str, tokens: u32) -> (Channel, Incoming) {
    let mut channel = channel::open(&callers.to_string()).await.unwrap();
    let mut request = request("/once-stream/x", id);
    let headers = request.headers_mut();
    headers.insert(own::PROMPT, "a1:700".parse().unwrap());
    headers.insert(own::LENGTH_HINT, tokens.into());
    let response = channel.send(request).await.unwrap();
    assert_eq!(response.status(), 200);
    (channel, response.into_body())
}
