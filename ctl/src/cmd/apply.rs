//! Publishes a configuration in the key-value service.

use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use laburnumwheel_router::publish;
use laburnumwheel_router::publish::Change;
use laburnumwheel_router::publish::Outcome;

use crate::client::Client;
use crate::error::Error;
use crate::util;
use crate::util::Args;

const USAGE: &str = "\
Publish a configuration. It is in force at all routers within seconds.

Usage:
    laburnumctl apply [options] BASE [OVERLAY...]

Options:
    --key-value IP:PORT      address of the key-value service [LABURNUMWHEEL_KEY_VALUE]
    --expect-version N       fail if a version other than N is in force
    --operation TEXT         id of the change [default: random]
    --wait IP:PORT,...       wait at most 30 s until the configuration is in force at the routers
                             with these admin addresses
    --operator-token TEXT    operator token for --wait [LABURNUMWHEEL_OPERATOR_TOKEN]
";

const FLAGS: [&str; 5] = ["key-value", "expect-version", "operation", "wait", "operator-token"];
/// Upper bound on the time that `--wait` takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between queries of the routers' versions.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

pub fn run(args: Args) -> Result<(), Error> {
    let Some(args) = args.read(USAGE, &FLAGS, &[])? else {
        return Ok(());
    };
    let config = args.config()?;
    let operation = args.get("operation");
    let operation = operation.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
    let change = Change { config, operation, expected: args.parse("expect-version")? };
    util::block_on(async {
        let kv = args.key_value()?;
        let version = match publish::apply(&kv, &change).await? {
            Outcome::Accepted(version) => {
                println!("accepted as version {version} (operation {})", change.operation);
                version
            }
            Outcome::Unchanged(version) => {
                println!("unchanged: version {version} has these contents");
                version
            }
        };
        if let Some(routers) = args.get("wait") {
            let client = Client::new(&args.required("operator-token")?);
            wait(&client, &routers, version).await?;
        }
        Ok(())
    })
}

/// Waits until the version or a later one is in force at all routers.
async fn wait(client: &Client, routers: &str, version: u64) -> Result<(), Error> {
    let began = Instant::now();
    let mut pending: Vec<&str> = routers.split(',').map(str::trim).collect();
    while !pending.is_empty() {
        let mut remaining = Vec::new();
        for router in pending {
            let url = format!("http://{router}/admin/status");
            let status = client.json(Method::GET, &url).await.ok();
            let in_force = status.and_then(|s| s["config_version"].as_u64()).unwrap_or(0);
            if in_force >= version {
                println!("{router} has version {in_force} in force");
            } else {
                remaining.push(router);
            }
        }
        if began.elapsed() >= WAIT_TIMEOUT && !remaining.is_empty() {
            return Err(Error::Failed(format!("not in force at: {}", remaining.join(", "))));
        }
        pending = remaining;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    println!("in force everywhere after {} ms", began.elapsed().as_millis());
    Ok(())
}
