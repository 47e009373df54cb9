//! Measures the overhead of a router on a stream.

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::Method;
use laburnumwheel_core::config;
use laburnumwheel_core::config::Source;
use laburnumwheel_router::kv;
use laburnumwheel_router::log;
use laburnumwheel_router::publish;
use laburnumwheel_router::router::Router;
use laburnumwheel_router::settings::Builder;
use laburnumwheel_router::settings::Level;
use laburnumwheel_standin::engine::Engine;
use laburnumwheel_standin::kv::Service as KeyValue;
use serde_json::json;

use crate::client::Client;
use crate::error::Error;
use crate::util;
use crate::util::Args;

const USAGE: &str = "\
Measure the overhead of a router on a stream: the processor time for each chunk, and the latency of
an answer of one token relative to a direct call. Runs in one process on loopback.

Usage:
    laburnumctl relay
";

const KEY: &str = "relay-key";
/// Number of concurrent long streams.
const STREAMS: usize = 64;
/// Tokens of a long stream.
const TOKENS: u32 = 1_500;
/// Duration of a step of the engine with long streams. Without steps the engine would be faster
/// than callers, and the router disconnects a caller that is a thousand chunks behind.
const FAST_STEP: Duration = Duration::from_millis(2);
/// Number of answers of one token.
const SHORT_ANSWERS: usize = 300;
/// Duration of a step of the engine with short answers.
const STEP: Duration = Duration::from_millis(6);
/// Clock ticks per second in `/proc`, as defined by the kernel's interface.
const TICKS_PER_SECOND: f64 = 100.0;

pub fn run(args: Args) -> Result<(), Error> {
    if args.read(USAGE, &[], &[])?.is_none() {
        return Ok(());
    }
    log::init(Level::Error)?;
    util::block_on(async {
        let fast = Engine::start(0, 256, FAST_STEP).await?;
        let stepped = Engine::start(0, 256, STEP).await?;
        let (router, _kv) = start(&fast, &stepped).await?;
        let direct = measure_streams(fast.address, "fast").await?;
        let relayed = measure_streams(router.callers, "fast").await?;
        let chunks = STREAMS as f64 * f64::from(TOKENS);
        let each = (relayed - direct) / chunks;
        println!("{chunks} chunks: {:.2} us of processor a chunk direct", direct / chunks * 1e6);
        println!("through a router: {:.2} us more, {:.0} chunks/s a core", each * 1e6, 1.0 / each);
        let direct = measure_short_answers(stepped.address, "stepped").await?;
        let relayed = measure_short_answers(router.callers, "stepped").await?;
        println!(
            "answer of one token, median of {SHORT_ANSWERS}: {:.2} ms direct, {:.2} ms through a \
             router, ratio {:.2}",
            direct * 1e3,
            relayed * 1e3,
            relayed / direct
        );
        Ok(())
    })
}

/// Starts a router in front of both engines.
async fn start(fast: &Engine, stepped: &Engine) -> Result<(Router, KeyValue), Error> {
    let mut text = "[[class]]\nname = \"c\"\ntier = 0\nfirst_token_ms = 500\n".to_owned();
    for (name, engine) in [("fast", fast), ("stepped", stepped)] {
        text += &format!(
            "[[group]]\nname = \"{name}\"\nmodels = [\"{name}\"]\nslots = 256\n\
             [[upstream]]\nname = \"{name}\"\ngroup = \"{name}\"\naddress = \"{}\"\n\
             failure_domain = \"a\"\n",
            engine.address
        );
    }
    text += &format!(
        "[[organisation]]\nname = \"o\"\nkey_hash = \"{}\"\ndefault_class = \"c\"\n",
        config::hash_key(KEY)
    );
    let key_value = KeyValue::start(0).await?;
    let config = config::parse(&[Source { name: "relay".to_owned(), text }])?;
    let change = publish::Change { config, operation: "relay".to_owned(), expected: None };
    let client = kv::Client::new(key_value.address).map_err(|e| Error::Failed(e.to_string()))?;
    publish::apply(&client, &change).await?;
    let settings = Builder::default()
        .set("name", "r1")
        .set("failure-domain", "a")
        .set("listen", "127.0.0.1:0")
        .set("peer-listen", "127.0.0.1:0")
        .set("admin-listen", "127.0.0.1:0")
        .set("key-value", key_value.address)
        .set("peer-secret", "relay-secret")
        .set("operator-token", "relay-operator")
        .build()?;
    let router = Router::start(settings).await?;
    while router.handle.query(|n, _| n.is_serving()).await != Some(true) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok((router, key_value))
}

/// Returns the processor time of this process in seconds; 0 if it can't be read.
fn processor_time() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or("");
    let fields = after_name.split_whitespace().skip(11).take(2);
    fields.filter_map(|f| f.parse::<f64>().ok()).sum::<f64>() / TICKS_PER_SECOND
}

async fn call(client: &Client, to: SocketAddr, model: &str, tokens: u32) -> Result<(), Error> {
    let messages = json!([{ "role": "user", "content": "x" }]);
    let body =
        json!({ "model": model, "messages": messages, "stream": true, "max_tokens": tokens });
    let url = format!("http://{to}/v1/chat/completions");
    let answer = client.call(Method::POST, &url, &[], Bytes::from(body.to_string())).await?;
    if answer.body.ends_with(b"data: [DONE]\n\n") {
        return Ok(());
    }
    Err(Error::Failed(format!("a stream from {to} is incomplete")))
}

/// Returns the processor time of concurrent long streams, in seconds.
async fn measure_streams(to: SocketAddr, model: &'static str) -> Result<f64, Error> {
    let client = Client::new(KEY);
    let before = processor_time();
    let mut tasks = Vec::new();
    for _ in 0..STREAMS {
        let client = client.clone();
        tasks.push(tokio::spawn(async move { call(&client, to, model, TOKENS).await }));
    }
    for task in tasks {
        task.await.map_err(|e| Error::Failed(e.to_string()))??;
    }
    Ok(processor_time() - before)
}

/// Returns the median time of an answer of one token, in seconds.
async fn measure_short_answers(to: SocketAddr, model: &str) -> Result<f64, Error> {
    let client = Client::new(KEY);
    let mut times = Vec::new();
    for _ in 0..SHORT_ANSWERS {
        let began = Instant::now();
        call(&client, to, model, 1).await?;
        times.push(began.elapsed().as_secs_f64());
    }
    times.sort_by(f64::total_cmp);
    Ok(times[SHORT_ANSWERS / 2])
}
