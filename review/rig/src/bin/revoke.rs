//! The whole system loses power, and the store comes back from a copy that is some seconds old, from
//! before a configuration that took a key away.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use review_rig::caller::Channel;
use review_rig::caller::End;
use review_rig::caller::Request;
use review_rig::gateway::Gateway;
use review_rig::http::Message;
use review_rig::record::Record;
use review_rig::replica::Replica;
use review_rig::store::Store;

/// `bounds.revokeMs`, from the ack of the configuration that takes the key away.
const REVOKE: Duration = Duration::from_millis(5_000);
/// Time from the copy to the ack.
const COPY_BEFORE_ACK: Duration = Duration::from_millis(500);
/// Times after the ack: the loss of power, the return of the store, the start of the gateways, and the
/// operator's configuration, which is written again 1.8 s after the return.
const LOSS: Duration = Duration::from_millis(4_500);
const RETURN: Duration = Duration::from_millis(5_100);
const START: Duration = Duration::from_millis(5_300);
const REWRITE: Duration = Duration::from_millis(6_900);
const END: Duration = Duration::from_millis(12_000);
const CALL_INTERVAL: Duration = Duration::from_millis(20);
/// The key of the callers, which the second version takes away.
const KEY: &str = "key-of-casa";

fn config(version: u32, keys: &str) -> String {
    format!(
        r#"{{"version":{version},
"routes":[{{"name":"pay","host":"shop.example","prefix":"/pay/","kind":"unsafe","timeoutMs":1500,
"goalMs":100,"priority":2,"service":"app","maxAttempts":1}}],
"services":[{{"name":"app","maxConns":110,"slots":6,"healthPath":"/health"}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
"idleTimeoutMs":15000}},
"tenants":[{{"name":"casa","apiKeys":[{keys}]}}]}}"#
    )
}

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

/// A request with the key: the gateway, the time after the ack at which it was sent, its id and end.
type Sent = (usize, Duration, String, String);

fn play(record: &Record, folder: &Path, trouble: bool) -> i32 {
    let store = Store::start("127.0.0.1");
    let run: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let _replicas: Vec<Replica> = (1..=3)
        .map(|n| {
            let run = Arc::clone(&run);
            let application = move |message: &Message| {
                let id = message.header("x-request-id").unwrap_or("-").to_owned();
                run.lock().unwrap().insert(id);
                std::thread::sleep(Duration::from_millis(15));
                (200, b"done".to_vec())
            };
            let zone = ["mixco", "villa", "antigua"][n % 3];
            Replica::start(&store, record, &format!("i-{n}"), "app", zone, Arc::new(application))
        })
        .collect();
    store.put("op/config", &config(1, &format!(r#""other-key","{KEY}""#)));
    let limits = "limits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=110\nlimits.maxFds=4100\n\
                  limits.linkMbps=1000\n";
    let mut gateways: Vec<Gateway> =
        (1..=3).map(|n| Gateway::start(folder, n, store.address, limits)).collect();
    if !gateways.iter().all(|gateway| gateway.wait_until_ready(Duration::from_secs(20))) {
        record.say("a gateway did not get ready");
        return 2;
    }
    record.say("3 gateways and 3 replicas are ready");
    std::thread::sleep(Duration::from_secs(12));

    let copy = store.copy();
    std::thread::sleep(COPY_BEFORE_ACK);
    store.put("op/config", &config(2, r#""other-key""#));
    let acked = Instant::now();
    record.say("version 2, without the callers' key, is acknowledged");
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let callers: Vec<_> = gateways
        .iter()
        .enumerate()
        .map(|(gateway, process)| {
            let (front, sent, record) = (process.front, Arc::clone(&sent), record.clone());
            std::thread::spawn(move || call(front, gateway, acked, &sent, &record))
        })
        .collect();
    let until = |time: Duration| std::thread::sleep(time.saturating_sub(acked.elapsed()));
    until(LOSS);
    if trouble {
        store.go_away();
        gateways.iter_mut().for_each(Gateway::end);
        record.say("the store and all gateways have lost power");
    }
    until(RETURN);
    if trouble {
        store.come_back(&copy);
        record.say("the store is back from the copy, with version 1");
    }
    until(START);
    if trouble {
        gateways.iter_mut().for_each(Gateway::run_again);
        record.say("the gateways start again");
    }
    until(REWRITE);
    if trouble {
        store.put("op/config", &config(2, r#""other-key""#));
        record.say("the operator has written version 2 again");
    }
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let (sent, run) = (sent.lock().unwrap(), run.lock().unwrap());
    judge(record, &sent, &run)
}

/// Sends requests with the callers' key, one after the other on channels of their own.
fn call(
    front: SocketAddr,
    gateway: usize,
    acked: Instant,
    sent: &Mutex<Vec<Sent>>,
    record: &Record,
) {
    for number in 1.. {
        let at = acked.elapsed();
        if at >= END {
            return;
        }
        let id = format!("pay-{gateway}-{number}");
        let request = Request {
            method: "POST",
            path: "/pay/1",
            id: &id,
            deadline_ms: 1_500,
            body: id.as_bytes(),
            sending: Duration::ZERO,
        };
        let end = Channel::new(front).send(&request);
        record.line(format!(
            "caller of {id}, sent {:.3} s after the ack: {}",
            at.as_secs_f64(),
            end.text()
        ));
        let how = match end {
            End::Answer(answer) => answer.status().to_string(),
            other => other.text(),
        };
        sent.lock().unwrap().push((gateway, at, id, how));
        std::thread::sleep(CALL_INTERVAL);
    }
}

/// CONFIG: where `strictRevoke` is true, a request sent later than `revokeMs` after the ack of a
/// configuration that took its key away runs. This holds for all machines, in touch or not.
fn judge(record: &Record, sent: &[Sent], run: &BTreeSet<String>) -> i32 {
    let late: Vec<&Sent> = sent.iter().filter(|(_, at, ..)| *at > REVOKE).collect();
    let mut counts: BTreeMap<(usize, &str), u32> = BTreeMap::new();
    for (gateway, _, _, how) in &late {
        *counts.entry((*gateway, how)).or_default() += 1;
    }
    for ((gateway, how), count) in counts {
        record.say(format!("gateway {gateway}, sent later than revokeMs: {count} x {how}"));
    }
    let broken: Vec<&&Sent> = late.iter().filter(|(_, _, id, _)| run.contains(id)).collect();
    if let (Some(first), Some(last)) = (broken.first(), broken.last()) {
        record.say(format!(
            "of these have run {}, sent from {:.2} to {:.2} s after the ack",
            broken.len(),
            first.1.as_secs_f64(),
            last.1.as_secs_f64()
        ));
    }
    i32::from(!broken.is_empty())
}
