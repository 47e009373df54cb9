//! The replicas of a service are upgraded in place, one after the other: each crashes and starts again
//! under its id and address with another software version.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use review_rig::gateway::Gateway;
use review_rig::http;
use review_rig::record::Record;
use review_rig::store::Store;

const REPLICAS: usize = 4;
/// Time for which a replica is down while it is upgraded.
const DOWN: Duration = Duration::from_millis(100);
/// Time from the crash of one replica to that of the next.
const GAP: Duration = Duration::from_millis(400);
/// Upgrades of the whole service, and the time between them.
const UPGRADES: usize = 3;
const UPGRADE_INTERVAL: Duration = Duration::from_millis(6_000);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const EVENTS: u32 = 60;
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// Callers of each gateway, each with one stream at a time.
const CALLERS: usize = 10;
const CONFIG: &str = r#"{"version":1,
"routes":[{"name":"chat","host":"shop.example","prefix":"/chat/","kind":"stream","resumable":true,
"timeoutMs":15000,"goalMs":150,"gapTargetMs":120,"priority":0,"service":"chat","maxAttempts":2}],
"services":[{"name":"chat","maxConns":310,"slots":48,"healthPath":"/health"}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
"idleTimeoutMs":15000},
"tenants":[{"name":"casa","apiKeys":["key-of-casa"]}]}"#;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments[1] == "--replica" {
        serve(&arguments[2], &arguments[3], &arguments[4]);
        return;
    }
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = PathBuf::from(&arguments[1]);
    let record = Record::create(&folder.join("record.txt"));
    let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let code = play(&record, &temporary, trouble);
    let _ = std::fs::remove_dir_all(&temporary);
    record.flush();
    std::process::exit(code);
}

/// One lifetime of a replica, in a process of its own.
fn serve(address: &str, id: &str, version: &str) {
    let listener = TcpListener::bind(address).expect("the replica's address");
    for stream in listener.incoming().flatten() {
        let (id, version) = (id.to_owned(), version.to_owned());
        std::thread::spawn(move || answer(stream, &id, &version));
    }
}

fn answer(stream: TcpStream, id: &str, version: &str) {
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().expect("a stream");
    let mut reader = BufReader::new(stream);
    while let Ok(Some(message)) = http::read(&mut reader) {
        let request = message.header("x-request-id").unwrap_or("-");
        let common = format!("X-Request-Id: {request}\r\nX-Instance-Id: {id}\r\n");
        if message.header("x-expect-instance").is_some_and(|expected| expected != id) {
            let refusal = http::reply(421, &format!("{common}X-Not-Executed: 1\r\n"), b"");
            let _ = writer.write_all(&refusal);
            continue;
        }
        let last = message.header("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{common}X-Server-Seal: {id}.{request}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if writer.write_all(head.as_bytes()).is_err() {
            return;
        }
        for number in last + 1..=EVENTS {
            let event = format!("id: {number}\ndata: {version} {id} {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if writer.write_all(chunk.as_bytes()).is_err() {
                return;
            }
            std::thread::sleep(EVENT_INTERVAL);
        }
        if writer.write_all(b"0\r\n\r\n").is_err() {
            return;
        }
    }
}

/// A replica as the platform sees it: its process, and its entry in the store.
struct Replica {
    id: String,
    address: SocketAddr,
    process: Child,
    is_beating: Arc<AtomicBool>,
}

impl Replica {
    fn start(store: &Store, id: &str, address: SocketAddr, version: &str) -> Replica {
        let process = Command::new(std::env::current_exe().expect("this program"))
            .args(["--replica", &address.to_string(), id, version])
            .spawn()
            .expect("a replica");
        let end = Instant::now() + Duration::from_secs(5);
        while TcpStream::connect(address).is_err() && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(2));
        }
        let born =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis());
        let is_beating = Arc::new(AtomicBool::new(true));
        let (beats, store, key) = (Arc::clone(&is_beating), store.clone(), format!("servers/{id}"));
        let version = version.to_owned();
        // The entry is written as soon as the replica serves, and then with each heartbeat.
        std::thread::spawn(move || {
            for seq in 1.. {
                if !beats.load(Ordering::Relaxed) {
                    return;
                }
                let entry = format!(
                    r#"{{"service":"chat","address":"{address}","zone":"mixco","version":"{version}","slots":48,"state":"ready","coldLeftMs":0,"seq":{seq},"born":{born}}}"#
                );
                store.put(&key, &entry);
                std::thread::sleep(HEARTBEAT);
            }
        });
        Replica { id: id.to_owned(), address, process, is_beating }
    }

    fn crash(&mut self) {
        self.is_beating.store(false, Ordering::Relaxed);
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.crash();
    }
}

/// What a caller has of one stream, over all its tries.
#[derive(Default)]
struct Stream {
    id: String,
    /// Events by the version that wrote them.
    versions: BTreeMap<String, u32>,
    last: u32,
    tries: u32,
    /// Runs that the caller has seen: the try, the version and replica, and the first and last event.
    runs: Vec<(u32, String, u32, u32)>,
}

impl Stream {
    /// Records event `number`, which `version` of `replica` wrote.
    fn add(&mut self, version: &str, replica: &str, number: u32) {
        *self.versions.entry(version.to_owned()).or_default() += 1;
        self.last = number;
        let writer = format!("{version} of {replica}");
        match self.runs.last_mut() {
            Some((attempt, known, _, last)) if *attempt == self.tries && *known == writer => {
                *last = number;
            }
            _ => self.runs.push((self.tries, writer, number, number)),
        }
    }
}

fn play(record: &Record, folder: &Path, trouble: bool) -> i32 {
    let store = Store::start("127.0.0.1");
    let mut replicas: Vec<Replica> = (1..=REPLICAS)
        .map(|n| {
            let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
            let address = listener.local_addr().expect("an address");
            drop(listener);
            Replica::start(&store, &format!("i-{n}"), address, "v1")
        })
        .collect();
    store.put("op/config", CONFIG);
    let limits = "limits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=110\nlimits.maxFds=4100\n\
                  limits.linkMbps=1000\n";
    let gateways: Vec<Gateway> =
        (1..=3).map(|n| Gateway::start(folder, n, store.address, limits)).collect();
    if !gateways.iter().all(|gateway| gateway.wait_until_ready(Duration::from_secs(20))) {
        record.say("a gateway did not get ready");
        return 2;
    }
    record.say(format!("3 gateways and {REPLICAS} replicas are ready"));
    std::thread::sleep(Duration::from_secs(4));
    let over = Arc::new(AtomicBool::new(false));
    let streams: Arc<Mutex<Vec<Stream>>> = Arc::default();
    let fronts: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.front).collect();
    let callers: Vec<_> = (0..CALLERS * fronts.len())
        .map(|caller| {
            let (fronts, over, streams, record) =
                (fronts.clone(), Arc::clone(&over), Arc::clone(&streams), record.clone());
            std::thread::spawn(move || {
                for number in 1.. {
                    if over.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("chat-{caller}-{number}");
                    let stream = chat(&fronts, caller, id, &record);
                    streams.lock().unwrap().push(stream);
                }
            })
        })
        .collect();
    for upgrade in 0..UPGRADES {
        std::thread::sleep(UPGRADE_INTERVAL);
        let version = format!("v{}", upgrade + 2);
        if trouble {
            record.say(format!("upgrade to {version}"));
            for replica in &mut replicas {
                let began = Instant::now();
                replica.crash();
                record.line(format!("{} is down", replica.id));
                std::thread::sleep(DOWN);
                let (id, address) = (replica.id.clone(), replica.address);
                *replica = Replica::start(&store, &id, address, &version);
                record.line(format!("{id} is up with {version}"));
                std::thread::sleep(GAP.saturating_sub(began.elapsed()));
            }
        }
    }
    std::thread::sleep(Duration::from_secs(5));
    over.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let streams = streams.lock().unwrap();
    judge(record, &streams)
}

/// Gets one stream; takes it up once at another gateway if it breaks off.
fn chat(fronts: &[SocketAddr], caller: usize, id: String, record: &Record) -> Stream {
    let mut stream = Stream { id: id.clone(), ..Stream::default() };
    for attempt in 0..2 {
        stream.tries += 1;
        let front = fronts[(caller + attempt) % fronts.len()];
        let end = read_stream(front, &id, &mut stream);
        record.line(format!(
            "caller of {id}, try {}: {end}, up to event {}, versions {:?}",
            stream.tries, stream.last, stream.versions
        ));
        if stream.last == EVENTS || end.starts_with("refused") {
            break;
        }
    }
    stream
}

/// Reads a stream to its end, or to where it breaks off.
fn read_stream(front: SocketAddr, id: &str, stream: &mut Stream) -> String {
    let Ok(channel) = TcpStream::connect(front) else {
        return "no connection".to_owned();
    };
    let _ = channel.set_read_timeout(Some(Duration::from_secs(2)));
    let Ok(mut writer) = channel.try_clone() else {
        return "no connection".to_owned();
    };
    let resumes = match stream.last {
        0 => String::new(),
        last => format!("Last-Event-Id: {last}\r\nResumes: {id}\r\n"),
    };
    let head = format!(
        "POST /chat/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}{}\r\n\
         X-Deadline-Ms: 15000\r\nAuthorization: Bearer key-of-casa\r\n{resumes}\
         Content-Length: {}\r\n\r\n{id}",
        if stream.tries == 1 { String::new() } else { format!("-{}", stream.tries) },
        id.len()
    );
    if writer.write_all(head.as_bytes()).is_err() {
        return "cut while it was sent".to_owned();
    }
    let mut reader = BufReader::new(channel);
    let answer = match http::read_head(&mut reader) {
        Ok(Some(answer)) => answer,
        _ => return "cut without an answer".to_owned(),
    };
    if answer.status() != 200 {
        return format!("refused with {}", answer.status());
    }
    loop {
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(0) | Err(_) => return "cut in the answer".to_owned(),
            Ok(_) if line == "0\r\n" => return "ended".to_owned(),
            Ok(_) => {}
        }
        // An event counts once its whole data line has arrived; the chunks' own lines have no prefix.
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        let mut words = data.split_whitespace();
        let (version, replica) = (words.next().unwrap_or("-"), words.next().unwrap_or("-"));
        let number = words.next().and_then(|number| number.parse().ok()).unwrap_or(0);
        stream.add(version, replica, number);
    }
}

/// ORDER: more than two streams hold events from replicas of two software versions of one service, in
/// one answer or over a requester's tries.
fn judge(record: &Record, streams: &[Stream]) -> i32 {
    let complete = streams.iter().filter(|stream| stream.last == EVENTS).count();
    let mixed: Vec<&Stream> = streams.iter().filter(|stream| stream.versions.len() > 1).collect();
    for stream in &mixed {
        record.line(format!("{} holds events of {:?}", stream.id, stream.versions));
        for (attempt, writer, first, last) in &stream.runs {
            record.line(format!("{} try {attempt}: events {first} to {last}, {writer}", stream.id));
        }
    }
    let first_tries = mixed.iter().filter(|stream| stream.tries == 1).count();
    let ids: BTreeSet<&str> = mixed.iter().map(|stream| stream.id.as_str()).collect();
    record.say(format!("{} streams, {complete} complete", streams.len()));
    record.say(format!(
        "{} streams hold events of two versions, {first_tries} of them in one answer",
        ids.len()
    ));
    i32::from(ids.len() > 2)
}
