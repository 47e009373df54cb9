//! `laburnumctl apply`

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
Have a configuration accepted. It takes force at every router within seconds.

Usage:
    laburnumctl apply [options] BASE [OVERLAY...]

Options:
    --key-value IP:PORT      the key-value service [LABURNUMWHEEL_KEY_VALUE]
    --expect-version N       refuse if the version in force is another
    --operation TEXT         name of the change [default: random]
    --wait IP:PORT,...       operators' addresses of routers to wait for, at most 30 s
    --operator-token TEXT    for --wait [LABURNUMWHEEL_OPERATOR_TOKEN]
";

const FLAGS: [&str; 5] = ["key-value", "expect-version", "operation", "wait", "operator-token"];
const WAIT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(100);

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
            let client = Client::new(&args.need("operator-token")?);
            wait(&client, &routers, version).await?;
        }
        Ok(())
    })
}

async fn wait(client: &Client, routers: &str, version: u64) -> Result<(), Error> {
    let began = Instant::now();
    let mut late: Vec<&str> = routers.split(',').map(str::trim).collect();
    while !late.is_empty() {
        let mut left = Vec::new();
        for router in late {
            let url = format!("http://{router}/admin/status");
            let status = client.json(Method::GET, &url).await.ok();
            let in_force = status.and_then(|s| s["config_version"].as_u64()).unwrap_or(0);
            if in_force >= version {
                println!("{router} has version {in_force} in force");
            } else {
                left.push(router);
            }
        }
        if began.elapsed() >= WAIT && !left.is_empty() {
            return Err(Error::Failed(format!("not in force at: {}", left.join(", "))));
        }
        late = left;
        tokio::time::sleep(POLL).await;
    }
    println!("in force everywhere after {} ms", began.elapsed().as_millis());
    Ok(())
}
