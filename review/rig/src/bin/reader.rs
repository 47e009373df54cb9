//! Callers read a long answer slowly: each pauses once for some seconds and then reads on.

use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use review_rig::gateway::Gateway;
use review_rig::http;
use review_rig::http::Message;
use review_rig::record::Record;
use review_rig::replica::Replica;
use review_rig::store::Store;

/// Larger than the socket buffers of the system.
const ANSWER_BYTES: usize = 12_000_000;
/// Bytes that a caller reads before its pause.
const FIRST_BYTES: usize = 65_536;
/// Pause of a caller that reads slowly; well within the 15 s that it waits for the answer.
const PAUSE: Duration = Duration::from_millis(6_000);
const DEADLINE_MS: u64 = 15_000;
/// Callers of each gateway, one after the other at intervals.
const CALLERS: usize = 4;
const INTERVAL: Duration = Duration::from_millis(300);
const CONFIG: &str = r#"{"version":1,
"routes":[{"name":"export","host":"shop.example","prefix":"/export/","kind":"unsafe",
"timeoutMs":15000,"goalMs":800,"priority":0,"service":"app","maxAttempts":1}],
"services":[{"name":"app","maxConns":310,"slots":6,"healthPath":"/health"}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
"idleTimeoutMs":15000},
"tenants":[{"name":"casa","apiKeys":["key-of-casa"]}]}"#;

fn main() {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let record = Record::create(&folder.join("record.txt"));
    let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let code = play(&record, &temporary, trouble);
    let _ = std::fs::remove_dir_all(&temporary);
    record.flush();
    std::process::exit(code);
}

fn answer() -> Vec<u8> {
    (0..ANSWER_BYTES).map(|n| (n % 251) as u8).collect()
}

fn play(record: &Record, folder: &Path, trouble: bool) -> i32 {
    let store = Store::start("127.0.0.1");
    let _replicas: Vec<Replica> = (1..=3)
        .map(|n| {
            let application = |message: &Message| {
                std::thread::sleep(Duration::from_millis(15));
                (200, if message.path() == "/export/all" { answer() } else { b"ok".to_vec() })
            };
            let zone = ["mixco", "villa", "antigua"][n % 3];
            Replica::start(&store, record, &format!("i-{n}"), "app", zone, Arc::new(application))
        })
        .collect();
    store.put("op/config", CONFIG);
    let limits = "limits.cpuShare=0.5\nlimits.cores=1\nlimits.memoryMb=512\nlimits.maxFds=8192\n\
                  limits.linkMbps=1000\n";
    let gateways: Vec<Gateway> =
        (1..=2).map(|n| Gateway::start(folder, n, store.address, limits)).collect();
    if !gateways.iter().all(|gateway| gateway.wait_until_ready(Duration::from_secs(20))) {
        record.say("a gateway did not get ready");
        return 2;
    }
    record.say(format!("{} gateways are ready", gateways.len()));
    std::thread::sleep(Duration::from_secs(4));
    let pause = if trouble { PAUSE } else { Duration::ZERO };
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        for (g, gateway) in gateways.iter().enumerate() {
            let (front, record) = (gateway.front, record.clone());
            callers.push(std::thread::spawn(move || {
                let id = format!("export-{g}-{number}");
                let end = call(front, &id, pause, &record);
                let text = end.clone().unwrap_or_else(|e| format!("no complete answer: {e}"));
                record.say(format!("caller of {id}: {text}"));
                end.is_ok()
            }));
        }
        std::thread::sleep(INTERVAL);
    }
    let complete: Vec<bool> = callers.into_iter().map(|c| c.join().unwrap_or(false)).collect();
    let lost = complete.iter().filter(|complete| !**complete).count();
    record.say(format!("{lost} of {} requests ran and got no complete answer", complete.len()));
    i32::from(lost > 3)
}

/// Makes a short request on a channel, then one with a long answer on the same channel; an error if
/// that answer does not arrive whole.
fn call(front: SocketAddr, id: &str, pause: Duration, record: &Record) -> Result<String, String> {
    let text = |e: std::io::Error| e.to_string();
    let stream = TcpStream::connect(front).map_err(text)?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS))).map_err(text)?;
    let mut writer = stream.try_clone().map_err(text)?;
    let mut reader = BufReader::with_capacity(16_384, stream);
    writer.write_all(head(&format!("{id}-first"), "/export/state").as_bytes()).map_err(text)?;
    let first = http::read(&mut reader).map_err(text)?.ok_or("the first request was cut")?;
    record.line(format!("caller of {id}-first: {}", first.start));

    writer.write_all(head(id, "/export/all").as_bytes()).map_err(text)?;
    let answer = http::read_head(&mut reader).map_err(text)?.ok_or("cut without an answer")?;
    record.line(format!("caller of {id} has the head: {}", answer.start));
    let length = answer.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    let mut got = FIRST_BYTES.min(length);
    reader.read_exact(&mut body[..got]).map_err(text)?;
    std::thread::sleep(pause);
    while got < length {
        match reader.read(&mut body[got..]) {
            Ok(0) => return Err(format!("cut after {got} of {length} bytes")),
            Ok(n) => got += n,
            Err(e) => return Err(format!("cut after {got} of {length} bytes: {e}")),
        }
    }
    Ok(format!("{}, all {got} bytes", answer.status()))
}

fn head(id: &str, path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {DEADLINE_MS}\r\nAuthorization: Bearer key-of-casa\r\n\
         Content-Length: 0\r\n\r\n"
    )
}
