//! A sound stand-in of a replica of a plain service.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::http;
use crate::http::Message;
use crate::record::Record;
use crate::store::Store;

/// What the application answers to a request that it has run: a status and a body.
pub type Application = dyn Fn(&Message) -> (u16, Vec<u8>) + Send + Sync;

#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    slots: u32,
    queue: u32,
    /// Running and waiting requests.
    load: Arc<Mutex<(u32, u32)>>,
    record: Record,
    application: Arc<Application>,
}

impl Replica {
    pub fn start(
        store: &Store,
        record: &Record,
        id: &str,
        service: &str,
        zone: &str,
        application: Arc<Application>,
    ) -> Replica {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port for a replica");
        let replica = Replica {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            slots: 6,
            queue: 24,
            load: Arc::default(),
            record: record.clone(),
            application,
        };
        let serving = replica.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = serving.clone();
                std::thread::spawn(move || replica.serve(stream));
            }
        });
        let (store, address, id) = (store.clone(), replica.address, id.to_owned());
        let (service, zone) = (service.to_owned(), zone.to_owned());
        let born = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |since| since.as_millis());
        std::thread::spawn(move || {
            for seq in 1.. {
                let entry = format!(
                    r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":6,"state":"ready","coldLeftMs":0,"seq":{seq},"born":{born}}}"#
                );
                store.put(&format!("servers/{id}"), &entry);
                std::thread::sleep(Duration::from_millis(1_200));
            }
        });
        replica
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::with_capacity(65_536, stream);
        while let Ok(Some(message)) = http::read(&mut reader) {
            let bytes = self.answer(&message);
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, message: &Message) -> Vec<u8> {
        let request = message.header("x-request-id").unwrap_or("-").to_owned();
        let (running, waiting) = *self.load.lock().unwrap();
        let common = format!(
            "X-Request-Id: {request}\r\nX-Instance-Id: {}\r\nX-Server-Load: {running},{waiting},{}\r\nKeep-Alive: timeout=5\r\n",
            self.id, self.slots
        );
        let expected = message.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return http::reply(421, &format!("{common}X-Not-Executed: 1\r\n"), b"");
        }
        if message.path() == "/health" {
            return http::reply(200, &common, b"");
        }
        {
            let mut load = self.load.lock().unwrap();
            if load.0 + load.1 >= self.slots + self.queue {
                self.record.line(format!("{} refuses {request} (full)", self.id));
                return http::reply(503, &format!("{common}X-Not-Executed: 1\r\n"), b"");
            }
            load.1 += 1;
        }
        loop {
            let mut load = self.load.lock().unwrap();
            if load.0 < self.slots {
                *load = (load.0 + 1, load.1 - 1);
                break;
            }
            drop(load);
            std::thread::sleep(Duration::from_millis(1));
        }
        self.record.line(format!("{} runs {request}, {} bytes", self.id, message.body.len()));
        let (status, body) = (self.application)(message);
        self.load.lock().unwrap().0 -= 1;
        self.record.line(format!("{} answers {request} with {status}", self.id));
        http::reply(status, &format!("{common}X-Server-Seal: {}.{request}\r\n", self.id), &body)
    }
}
