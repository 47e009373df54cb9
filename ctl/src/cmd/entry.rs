//! Queries a router for an entry answer.

use hyper::Method;

use crate::client::Client;
use crate::error::Error;
use crate::util;
use crate::util::Args;

const USAGE: &str = "\
Query a router for the routers that a caller should use, in order of preference.

Usage:
    laburnumctl entry --router IP:PORT [options]

Options:
    --router IP:PORT        caller address of any router [LABURNUMWHEEL_ROUTER]
    --failure-domain NAME   the caller's failure domain
    --json                  print JSON
";

pub fn run(args: Args) -> Result<(), Error> {
    let Some(args) = args.read(USAGE, &["router", "failure-domain"], &["json"])? else {
        return Ok(());
    };
    util::block_on(async {
        let client = Client::new("");
        let domain = args.get("failure-domain");
        let query = domain.map(|d| format!("?failure_domain={d}")).unwrap_or_default();
        let url = format!("http://{}/v1/entry{query}", args.required("router")?);
        let answer = client.json(Method::GET, &url).await?;
        if args.has("json") {
            println!("{answer:#}");
            return Ok(());
        }
        for address in answer["addresses"].as_array().into_iter().flatten() {
            let cell = |name: &str| address[name].as_str().unwrap_or("").to_owned();
            let (address, domain) = (cell("address"), cell("failure_domain"));
            println!("{address}  {domain}  begin keys with {}", cell("key_prefix"));
        }
        println!("keep for {} ms", answer["ttl_ms"]);
        Ok(())
    })
}
