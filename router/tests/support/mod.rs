//! Starts router processes, and the test doubles that they talk to, on the loopback address.
#![allow(dead_code)]

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use laburnumwheel_core::config;
use laburnumwheel_core::config::Config;
use laburnumwheel_core::config::Source;
use laburnumwheel_router::kv;
use laburnumwheel_router::publish;
use laburnumwheel_standin::engine::Engine;
use laburnumwheel_standin::kv::Service as KeyValue;
use laburnumwheel_standin::service::Counter;
use laburnumwheel_standin::service::Service;
use serde_json::Value;
use serde_json::json;

pub const ORG_KEY: &str = "key-of-museo";
pub const OPERATOR: &str = "operator-token";
pub const SECRET: &str = "peer-secret";
const PROGRAM: &str = env!("CARGO_BIN_EXE_laburnumwheel");
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A router process; killed when dropped.
pub struct Process {
    pub child: Child,
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub operators: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Starts a router and reads its addresses from its log.
    pub fn start(name: &str, domain: &str, key_value: SocketAddr) -> Process {
        Process::start_by(Command::new(PROGRAM), name, domain, key_value)
    }

    /// Starts a router that may take `memory_mb` megabytes and open `descriptors`.
    pub fn start_limited(key_value: SocketAddr, memory_mb: usize, descriptors: usize) -> Process {
        let mut command = Command::new("sh");
        command.args(["-c", &format!("ulimit -n {descriptors} && exec \"$0\" \"$@\""), PROGRAM]);
        command.env("LABURNUMWHEEL_MEMORY_MB", memory_mb.to_string());
        Process::start_by(command, "r0", "a", key_value)
    }

    fn start_by(mut command: Command, name: &str, domain: &str, key_value: SocketAddr) -> Process {
        let mut child = command
            .args(["--name", name, "--failure-domain", domain])
            .args(["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"])
            .args(["--admin-listen", "127.0.0.1:0", "--key-value", &key_value.to_string()])
            .args(["--peer-secret", SECRET, "--operator-token", OPERATOR])
            .stderr(Stdio::piped())
            .spawn()
            .expect("the router starts");
        let mut lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let line = lines
            .by_ref()
            .map_while(Result::ok)
            .find(|l| l.contains("event=listening"))
            .expect("the router logs its addresses");
        let field = |name: &str| {
            let at = line.find(name).expect("the field is there") + name.len();
            let text = line[at..].split_whitespace().next().unwrap_or_default();
            text.parse().expect("an address")
        };
        let (callers, peers, operators) = (field("callers="), field("peers="), field("operators="));
        std::thread::spawn(move || lines.map_while(Result::ok).for_each(drop));
        Process { child, callers, peers, operators }
    }

    pub fn terminate(&self) {
        signal(&self.child, "TERM");
    }
}

fn signal(child: &Child, name: &str) {
    let id = child.id().to_string();
    let status = Command::new("kill").args(["-s", name, &id]).status().expect("kill runs");
    assert!(status.success());
}

/// Running test doubles, with a published configuration that lists them.
pub struct Site {
    pub key_value: KeyValue,
    pub engines: Vec<Engine>,
    pub services: Vec<Service>,
    pub counter: Counter,
    pub config: Config,
}

const BASE: &str = r#"
[[class]]
name = "urgent"
tier = 0
protected = true
first_token_ms = 500

[[class]]
name = "draft"
tier = 3
first_token_ms = 5000

[[group]]
name = "models"
models = ["m"]

[[group]]
name = "bids"
kind = "service"
"#;

impl Site {
    pub async fn start(engines: usize, services: usize, work: Duration) -> Site {
        Site::start_with(engines, services, work, &[]).await
    }

    /// Starts a site with further upstreams of a group, at these addresses.
    pub async fn start_with(
        engines: usize,
        services: usize,
        work: Duration,
        others: &[(&str, SocketAddr)],
    ) -> Site {
        let key_value = KeyValue::start(0).await.expect("a port");
        let counter = Counter::default();
        let mut site = Site {
            key_value,
            engines: Vec::new(),
            services: Vec::new(),
            counter,
            config: Config::default(),
        };
        let mut text = BASE.to_owned();
        for i in 0..engines {
            let engine = Engine::start(0, 8, Duration::from_millis(2)).await.expect("a port");
            text += &upstream(&format!("e{i}"), "models", engine.address);
            site.engines.push(engine);
        }
        for i in 0..services {
            let service = Service::start(0, work, site.counter.clone()).await.expect("a port");
            text += &upstream(&format!("s{i}"), "bids", service.address);
            site.services.push(service);
        }
        for (i, (group, address)) in others.iter().enumerate() {
            text += &upstream(&format!("o{i}"), group, *address);
        }
        let hash = config::hash_key(ORG_KEY);
        text += &format!(
            "[[organisation]]\nname = \"museo\"\nkey_hash = \"{hash}\"\ndefault_class = \"draft\"\n"
        );
        site.config =
            config::parse(&[Source { name: "test".to_owned(), text }]).expect("a valid file");
        site.publish().await;
        site
    }

    pub async fn publish(&self) {
        let kv = kv::Client::new(self.key_value.address).expect("an address");
        let operation = "test".to_owned();
        let change = publish::Change { config: self.config.clone(), operation, expected: None };
        publish::apply(&kv, &change).await.expect("accepted");
    }

    /// Starts routers and waits until each reports all of them as serving.
    pub async fn routers(&self, count: usize) -> Vec<Process> {
        let start = |i| Process::start(&format!("r{i}"), "a", self.key_value.address);
        let routers: Vec<Process> = (0..count).map(start).collect();
        for router in &routers {
            wait_for(|| async { serving_seen_by(router).await == count }).await;
        }
        routers
    }
}

fn upstream(name: &str, group: &str, address: SocketAddr) -> String {
    format!(
        "[[upstream]]\nname = \"{name}\"\ngroup = \"{group}\"\naddress = \"{address}\"\n\
         failure_domain = \"a\"\n"
    )
}

/// Waits for a condition, without a timeout other than the test runner's.
pub async fn wait_for<F: Future<Output = bool>>(condition: impl Fn() -> F) {
    while !condition().await {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

pub async fn serving_seen_by(router: &Process) -> usize {
    let url = format!("http://{}/admin/members", router.operators);
    let response = call(Method::GET, &url, &[("authorization", &bearer(OPERATOR))], "").await;
    let members: Value = response.map(|a| a.json()).unwrap_or_default();
    let list = members.as_array().cloned().unwrap_or_default();
    list.iter().filter(|m| m["state"] == "serving" && m["verdict"] == "alive").count()
}

pub struct Response {
    pub status: u16,
    pub body: Bytes,
}

impl Response {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the concatenated text of a stream's chunks.
    pub fn streamed(&self) -> String {
        let text = self.text();
        let data = text.lines().filter_map(|l| l.strip_prefix("data: "));
        let values = data.filter_map(|d| serde_json::from_str::<Value>(d).ok());
        let parts =
            values.filter_map(|v| v["choices"][0]["delta"]["content"].as_str().map(str::to_owned));
        parts.collect()
    }

    pub fn is_done(&self) -> bool {
        self.text().contains("data: [DONE]")
    }
}

pub fn bearer(key: &str) -> String {
    format!("Bearer {key}")
}

/// Makes one call; returns `None` if the connection failed.
pub async fn call(
    method: Method,
    url: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Response> {
    let client: legacy::Client<HttpConnector, Full<Bytes>> =
        legacy::Client::builder(TokioExecutor::new()).build_http();
    let mut request = Request::builder().method(method).uri(url);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::from(body.to_owned()))).ok()?;
    let response = client.request(request).await.ok()?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some(Response { status, body })
}

pub async fn chat(router: SocketAddr, tokens: u32, stream: bool) -> Option<Response> {
    let messages = json!([{ "role": "user", "content": "hello" }]);
    let body =
        json!({ "model": "m", "messages": messages, "stream": stream, "max_tokens": tokens });
    let url = format!("http://{router}/v1/chat/completions");
    let auth = bearer(ORG_KEY);
    call(Method::POST, &url, &[("authorization", &auth)], &body.to_string()).await
}

pub async fn bid(router: SocketAddr, key: &str, body: &str) -> Option<Response> {
    let url = format!("http://{router}/v1/services/bids/confirm");
    let auth = bearer(ORG_KEY);
    let headers = [("authorization", auth.as_str()), ("idempotency-key", key)];
    call(Method::POST, &url, &headers, body).await
}

pub async fn entry(router: SocketAddr) -> Value {
    let url = format!("http://{router}/v1/entry");
    call(Method::GET, &url, &[], "").await.map(|a| a.json()).unwrap_or_default()
}

/// Returns the text that an engine generates for a number of tokens.
pub fn expected(tokens: u32) -> String {
    (0..tokens).map(|n| format!("{n} ")).collect()
}
