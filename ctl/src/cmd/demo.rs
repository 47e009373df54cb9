//! Runs a small site in one process and prints the outcomes of its calls.

use std::collections::BTreeMap;
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
use laburnumwheel_standin::service::Counter;
use laburnumwheel_standin::service::Service;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use serde_json::json;

use crate::client::Client;
use crate::error::Error;
use crate::util;
use crate::util::Args;

const USAGE: &str = "\
Run a site in one process, on loopback: a stand-in key-value service, three engines, two replicas
of a plain service, three routers, and callers for a few seconds. Prints a table at the end.

Usage:
    laburnumctl demo [options]

Options:
    --seconds N    duration of the traffic [default: 5, at most 60]
    --rate N       requests per second [default: 60, at most 500]
";

const BASE: &str = include_str!("demo.toml");
const DOMAINS: [&str; 3] = ["mixco", "villa", "antigua"];
const ORGS: [&str; 3] = ["museo", "galeria", "coleccion"];
const OPERATOR_TOKEN: &str = "demo-operator";
/// Duration of an engine's step.
const STEP: Duration = Duration::from_millis(6);
/// Number of requests that an engine runs at a time.
const SLOTS: u32 = 8;
/// Duration of a call at the plain service.
const WORK: Duration = Duration::from_millis(8);
/// Upper bound on the time until all routers serve and know each other.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Seed of the callers' random choices.
const SEED: u64 = 7;

pub fn run(args: Args) -> Result<(), Error> {
    let Some(args) = args.read(USAGE, &["seconds", "rate"], &[])? else {
        return Ok(());
    };
    let seconds = args.parse("seconds")?.unwrap_or(5u64).clamp(1, 60);
    let rate = args.parse("rate")?.unwrap_or(60u64).clamp(1, 500);
    log::init(Level::Error)?;
    util::block_on(async {
        let site = Site::start().await?;
        println!("1 key-value service, 3 engines, 2 service replicas, 3 routers on loopback");
        let tallies = site.traffic(seconds, rate).await?;
        let doubled = site.counter.runs().values().filter(|n| **n > 1).count();
        site.report(&tallies, doubled).await?;
        site.stop().await
    })
}

/// Running site. The servers in the unused fields stop when they are dropped.
struct Site {
    _kv: KeyValue,
    _engines: Vec<Engine>,
    _services: Vec<Service>,
    counter: Counter,
    routers: Vec<Router>,
}

/// Tally of the calls of one class.
#[derive(Clone, Debug, Default)]
struct Tally {
    sent: u64,
    whole: u64,
    /// Complete answers with a wrong text.
    wrong: u64,
    not_run: u64,
    /// Other errors.
    other: u64,
}

/// Call of a caller.
#[derive(Clone, Copy)]
enum Call {
    Model { class: &'static str, tokens: u32 },
    Bid { number: u64 },
}

impl Call {
    fn class(self) -> &'static str {
        match self {
            Call::Model { class, .. } => class,
            Call::Bid { .. } => "bid-confirmation",
        }
    }
}

impl Site {
    async fn start() -> Result<Site, Error> {
        let key_value = KeyValue::start(0).await?;
        let counter = Counter::default();
        let mut engines = Vec::new();
        let mut services = Vec::new();
        let mut overlay = String::new();
        for domain in DOMAINS {
            let engine = Engine::start(0, SLOTS, STEP).await?;
            overlay += &upstream("appraisal", domain, &engine.address.to_string());
            engines.push(engine);
        }
        for domain in &DOMAINS[..2] {
            let service = Service::start(0, WORK, counter.clone()).await?;
            overlay += &upstream("bidding", domain, &service.address.to_string());
            services.push(service);
        }
        for org in ORGS {
            overlay += &organisation(org);
        }
        let sources = [
            Source { name: "demo.toml".to_owned(), text: BASE.to_owned() },
            Source { name: "overlay".to_owned(), text: overlay },
        ];
        let config = config::parse(&sources)?;
        let client = kv::Client::new(key_value.address)
            .map_err(|e| Error::Failed(format!("key-value service: {e}")))?;
        let change = publish::Change { config, operation: "demo".to_owned(), expected: None };
        publish::apply(&client, &change).await?;
        let mut routers = Vec::new();
        for (i, domain) in DOMAINS.iter().enumerate() {
            let settings = Builder::default()
                .set("name", format!("r{}", i + 1))
                .set("failure-domain", domain)
                .set("listen", "127.0.0.1:0")
                .set("peer-listen", "127.0.0.1:0")
                .set("admin-listen", "127.0.0.1:0")
                .set("key-value", key_value.address)
                .set("peer-secret", "demo-secret")
                .set("operator-token", OPERATOR_TOKEN)
                .build()?;
            routers.push(Router::start(settings).await?);
        }
        let site =
            Site { _kv: key_value, _engines: engines, _services: services, counter, routers };
        site.wait_until_ready().await?;
        Ok(site)
    }

    /// Waits until every router serves and knows the others.
    async fn wait_until_ready(&self) -> Result<(), Error> {
        let began = Instant::now();
        loop {
            let mut serving = 0;
            for router in &self.routers {
                let all =
                    router.handle.query(|n, _| n.members().filter(|r| r.accepts_callers()).count());
                serving += usize::from(all.await == Some(self.routers.len()));
            }
            if serving == self.routers.len() {
                return Ok(());
            }
            if began.elapsed() > READY_TIMEOUT {
                return Err(Error::Failed(
                    "the routers did not discover each other in time".to_owned(),
                ));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Makes random calls at a rate for some seconds, and tallies them by class.
    async fn traffic(
        &self,
        seconds: u64,
        rate: u64,
    ) -> Result<BTreeMap<&'static str, Tally>, Error> {
        let mut rng = SmallRng::seed_from_u64(SEED);
        let mut tasks = Vec::new();
        let first = self.routers[0].callers;
        for number in 0..seconds * rate {
            let org = ORGS[rng.random_range(0..ORGS.len())];
            let domain = DOMAINS[rng.random_range(0..DOMAINS.len())];
            let call = match rng.random_range(0..10) {
                0..2 => Call::Bid { number },
                2..6 => Call::Model { class: "appraisal", tokens: rng.random_range(5..60) },
                _ => Call::Model { class: "catalogue", tokens: rng.random_range(5..200) },
            };
            let client = Client::new(&format!("key-of-{org}"));
            tasks.push(tokio::spawn(async move {
                (call.class(), perform(&client, &first.to_string(), domain, call).await)
            }));
            tokio::time::sleep(Duration::from_micros(1_000_000 / rate)).await;
        }
        let mut tallies: BTreeMap<&'static str, Tally> = BTreeMap::new();
        for task in tasks {
            let (class, end) = task.await.map_err(|e| Error::Failed(e.to_string()))?;
            let tally = tallies.entry(class).or_default();
            tally.sent += 1;
            match end {
                End::Whole => tally.whole += 1,
                End::Wrong => tally.wrong += 1,
                End::NotRun => tally.not_run += 1,
                End::Other => tally.other += 1,
            }
        }
        Ok(tallies)
    }

    /// Prints the tallies, with counters of the routers, and the number of repeated executions.
    async fn report(&self, tallies: &BTreeMap<&str, Tally>, doubled: usize) -> Result<(), Error> {
        let header =
            ["class", "sent", "whole", "within target", "not_run", "other", "wrong", "tokens"];
        let mut rows = vec![header.map(str::to_owned).to_vec()];
        let (mut goodput, mut wasted) = (0, 0);
        for (class, tally) in tallies {
            let (mut attained, mut tokens) = (0, 0);
            for router in &self.routers {
                let class = (*class).to_owned();
                let read = router.handle.query(move |n, _| {
                    let key = n.index().class_named(&class)?;
                    n.stats().classes.get(&key).map(|s| (s.attained, s.tokens))
                });
                let (a, t) = read.await.flatten().unwrap_or((0, 0));
                attained += a;
                tokens += t;
            }
            goodput += tokens;
            let part = 100.0 * attained as f64 / tally.sent.max(1) as f64;
            let counts = [tally.not_run, tally.other, tally.wrong, tokens].map(|n| n.to_string());
            let mut row =
                vec![(*class).to_owned(), tally.sent.to_string(), tally.whole.to_string()];
            row.push(format!("{part:.1}%"));
            row.extend(counts);
            rows.push(row);
        }
        for router in &self.routers {
            let read = router.handle.query(|n, _| n.stats().wasted.values().sum::<u64>());
            wasted += read.await.unwrap_or(0);
        }
        util::table(&rows);
        println!("goodput: {goodput} tokens in whole answers; wasted: {wasted} tokens");
        println!("bids that ran twice: {doubled}");
        Ok(())
    }

    async fn stop(self) -> Result<(), Error> {
        // Routers and stand-ins end with the process. A planned stop would last for the time to
        // live of entry answers.
        Ok(())
    }
}

fn upstream(group: &str, domain: &str, address: &str) -> String {
    format!(
        "[[upstream]]\nname = \"{group}-{domain}\"\ngroup = \"{group}\"\n\
         address = \"{address}\"\nfailure_domain = \"{domain}\"\n"
    )
}

fn organisation(name: &str) -> String {
    let hash = config::hash_key(&format!("key-of-{name}"));
    format!(
        "[[organisation]]\nname = \"{name}\"\nkey_hash = \"{hash}\"\n\
         default_class = \"catalogue\"\n"
    )
}

/// End of a call.
enum End {
    Whole,
    Wrong,
    NotRun,
    Other,
}

/// Queries a router for an entry answer, and makes a call at the first router in it.
async fn perform(client: &Client, router: &str, domain: &str, call: Call) -> End {
    let url = format!("http://{router}/v1/entry?failure_domain={domain}");
    let Ok(entry) = client.json(Method::GET, &url).await else {
        return End::Other;
    };
    let address = entry["addresses"][0]["address"].as_str().unwrap_or(router).to_owned();
    let (path, body, key) = match call {
        Call::Model { tokens, .. } => {
            let messages = json!([{ "role": "user", "content": "Describe this toy." }]);
            let body = json!({
                "model": "appraisal-1",
                "messages": messages,
                "stream": true,
                "max_tokens": tokens,
            });
            ("/v1/chat/completions", body, String::new())
        }
        Call::Bid { number } => {
            let prefix = entry["addresses"][0]["key_prefix"].as_str().unwrap_or_default();
            ("/v1/services/bidding/confirm", json!({ "bid": number }), format!("{prefix}{number}"))
        }
    };
    let url = format!("http://{address}{path}");
    let mut headers = vec![("x-class", call.class())];
    if !key.is_empty() {
        headers.push(("idempotency-key", key.as_str()));
    }
    let body = Bytes::from(body.to_string());
    match client.call(Method::POST, &url, &headers, body).await {
        Ok(answer) if answer.status == 200 => verify(call, &answer.body),
        Ok(answer) => {
            let error: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
            if error["error"]["type"] == "not_run" { End::NotRun } else { End::Other }
        }
        Err(_) => End::Other,
    }
}

/// Checks that an answer is complete and belongs to the call: stand-in engines answer with the
/// indices of the tokens.
fn verify(call: Call, body: &Bytes) -> End {
    let Call::Model { tokens, .. } = call else {
        return End::Whole;
    };
    let text = String::from_utf8_lossy(body);
    if !text.contains("data: [DONE]") {
        return End::Other;
    }
    let chunks = text.lines().filter_map(|l| l.strip_prefix("data: "));
    let values = chunks.filter_map(|c| serde_json::from_str::<Value>(c).ok());
    let parts =
        values.filter_map(|v| v["choices"][0]["delta"]["content"].as_str().map(str::to_owned));
    let actual: String = parts.collect();
    let expected: String = (0..tokens).map(|n| format!("{n} ")).collect();
    if actual == expected { End::Whole } else { End::Wrong }
}
