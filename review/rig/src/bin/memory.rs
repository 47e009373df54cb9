//! Many callers send long bodies at once; the platform ends a process that exceeds its memory.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread::JoinHandle;
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

/// `limits.memoryMb` of the machines.
const MEMORY_MB: u64 = 110;
/// Callers with long bodies that each gateway has at once on a usual day.
const USUAL: usize = 7;
/// Largest dose of `burst` in the site file.
const BURST: f64 = 2.3;
const BODY_BYTES: usize = 4_000_000;
/// Time in which a caller sends its body: 32 Mbit/s.
const SENDING: Duration = Duration::from_millis(1_000);
const WAVES: usize = 3;
const WAVE_INTERVAL: Duration = Duration::from_millis(5_000);
/// Payments that each gateway has in progress at once.
const PAYERS: usize = 16;
/// Work of a request, within the spread of the sheet (15 ms in the mean, 110 at most).
const WORK: Duration = Duration::from_millis(60);
const PAY_INTERVAL: Duration = Duration::from_millis(60);
const CONFIG: &str = r#"{"version":1,
"routes":[
{"name":"upload","host":"shop.example","prefix":"/upload/","kind":"unsafe","timeoutMs":6000,
"goalMs":800,"priority":2,"service":"app","maxAttempts":1},
{"name":"pay","host":"shop.example","prefix":"/pay/","kind":"unsafe","timeoutMs":1500,
"goalMs":100,"priority":2,"service":"app","maxAttempts":1}],
"services":[{"name":"app","maxConns":310,"slots":6,"healthPath":"/health"}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
"idleTimeoutMs":15000},
"tenants":[{"name":"casa","apiKeys":["key-of-casa"]}]}"#;

/// A request that has ended: the machine that took it, its id, and how it ended.
type Ended = (usize, String, End);

struct World {
    record: Record,
    fronts: Vec<SocketAddr>,
    ended: Mutex<Vec<Ended>>,
    /// Ids of the requests that a replica has begun to run.
    run: Arc<Mutex<BTreeSet<String>>>,
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

fn play(record: &Record, folder: &Path, trouble: bool) -> i32 {
    let store = Store::start("127.0.0.1");
    let run = Arc::default();
    let replicas: Vec<Replica> = (1..=6).map(|n| start_replica(&store, record, &run, n)).collect();
    store.put("op/config", CONFIG);
    let limits = format!(
        "limits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb={MEMORY_MB}\n\
         limits.maxFds=4100\nlimits.linkMbps=1000\n"
    );
    let gateways: Vec<Gateway> =
        (1..=3).map(|n| Gateway::start(folder, n, store.address, &limits)).collect();
    if !gateways.iter().all(|gateway| gateway.wait_until_ready(Duration::from_secs(20))) {
        record.say("a gateway did not get ready");
        return 2;
    }
    record.say(format!("{} gateways and {} replicas are ready", gateways.len(), replicas.len()));
    // All machines are in touch after `stableWindowMs`.
    std::thread::sleep(Duration::from_secs(4));
    let fronts = gateways.iter().map(|gateway| gateway.front).collect();
    let world = Arc::new(World { record: record.clone(), fronts, ended: Mutex::default(), run });
    let over = Arc::new(AtomicBool::new(false));
    let platform = watch_memory(gateways, record.clone(), Arc::clone(&over));
    let callers = start_callers(&world, trouble);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    over.store(true, Ordering::Relaxed);
    let (peak_kb, ends) = platform.join().expect("the platform");
    record.say(format!("largest resident memory of a gateway: {peak_kb} kB"));
    record.say(format!("processes ended for their memory: {ends:?}"));
    judge(&world)
}

fn start_replica(
    store: &Store,
    record: &Record,
    run: &Arc<Mutex<BTreeSet<String>>>,
    number: usize,
) -> Replica {
    let run = Arc::clone(run);
    let application = move |message: &Message| {
        let id = message.header("x-request-id").unwrap_or("-").to_owned();
        run.lock().unwrap().insert(id);
        std::thread::sleep(WORK);
        (200, b"done".to_vec())
    };
    let zone = ["mixco", "villa", "antigua"][number % 3];
    Replica::start(store, record, &format!("i-{number}"), "app", zone, Arc::new(application))
}

/// Ends and restarts each process that exceeds its memory, as the platform does. Returns the largest
/// memory seen, and how often each gateway was ended.
fn watch_memory(
    mut gateways: Vec<Gateway>,
    record: Record,
    over: Arc<AtomicBool>,
) -> JoinHandle<(u64, BTreeMap<String, u32>)> {
    std::thread::spawn(move || {
        let (mut peak_kb, mut ends) = (0, BTreeMap::new());
        while !over.load(Ordering::Relaxed) {
            for gateway in &mut gateways {
                let resident_kb = gateway.resident_kb();
                peak_kb = peak_kb.max(resident_kb);
                if resident_kb * 1024 > MEMORY_MB * 1_000_000 {
                    gateway.end();
                    let name = &gateway.name;
                    record.say(format!("{name} has {resident_kb} kB and is ended by the platform"));
                    *ends.entry(name.clone()).or_insert(0) += 1;
                    gateway.run();
                }
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        (peak_kb, ends)
    })
}

fn start_callers(world: &Arc<World>, trouble: bool) -> Vec<JoinHandle<()>> {
    let mut callers = Vec::new();
    let end = Instant::now() + WAVE_INTERVAL * WAVES as u32 + Duration::from_secs(2);
    for gateway in 0..world.fronts.len() {
        for payer in 0..PAYERS {
            let world = Arc::clone(world);
            callers.push(std::thread::spawn(move || pay(&world, gateway, payer, end)));
        }
    }
    let factor = if trouble { BURST } else { 1.0 };
    let at_once = (USUAL as f64 * factor).round() as usize;
    let body: Arc<Vec<u8>> = Arc::new((0..BODY_BYTES).map(|n| (n % 251) as u8).collect());
    for wave in 0..WAVES {
        std::thread::sleep(WAVE_INTERVAL);
        world.record.say(format!("{at_once} callers of each gateway send {BODY_BYTES} bytes each"));
        for gateway in 0..world.fronts.len() {
            for caller in 0..at_once {
                let (world, body) = (Arc::clone(world), Arc::clone(&body));
                callers.push(std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_millis(caller as u64 * 10));
                    let id = format!("upload-{wave}-{gateway}-{caller}");
                    let mut channel = Channel::new(world.fronts[gateway]);
                    let request = Request {
                        method: "POST",
                        path: "/upload/1",
                        id: &id,
                        deadline_ms: 6_000,
                        body: &body,
                        sending: SENDING,
                    };
                    let end = channel.send(&request);
                    world.add(gateway, id, end);
                }));
            }
        }
    }
    callers
}

/// Sends payments one after the other on a channel that is kept.
fn pay(world: &World, gateway: usize, payer: usize, end: Instant) {
    let mut channel = Channel::new(world.fronts[gateway]);
    for number in 1.. {
        if Instant::now() >= end {
            return;
        }
        let id = format!("pay-{gateway}-{payer}-{number}");
        let request = Request {
            method: "POST",
            path: "/pay/1",
            id: &id,
            deadline_ms: 1_500,
            body: id.as_bytes(),
            sending: Duration::ZERO,
        };
        let ended = channel.send(&request);
        world.add(gateway, id.clone(), ended);
        std::thread::sleep(PAY_INTERVAL);
    }
}

impl World {
    fn add(&self, gateway: usize, id: String, end: End) {
        self.record.line(format!("caller of {id}: {}", end.text()));
        self.ended.lock().unwrap().push((gateway, id, end));
    }
}

/// LOST: a machine in touch passes a request from a kept channel on to a sound replica and closes that
/// channel without an answer, more than three times. A process that ends by itself counts as running
/// all the while.
fn judge(world: &World) -> i32 {
    let run = world.run.lock().unwrap();
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    let mut lost = vec![0; world.fronts.len()];
    for (gateway, id, end) in world.ended.lock().unwrap().iter() {
        let kind = id.split('-').next().unwrap_or("");
        let how = match end {
            End::Answer(answer) => answer.status().to_string(),
            other => other.text(),
        };
        let has_run = run.contains(id);
        let text = format!("{kind}: {how}, {}", if has_run { "run" } else { "not run" });
        *counts.entry(text).or_default() += 1;
        // Only payments come on kept channels.
        lost[*gateway] += u32::from(kind == "pay" && has_run && end.is_cut());
    }
    for (text, count) in counts {
        world.record.say(format!("{count} x {text}"));
    }
    world.record.say(format!("payments that ran and got no answer, by gateway: {lost:?}"));
    i32::from(lost.iter().sum::<u32>() > 3)
}
