//! Begins a planned stop of a router.

use hyper::Method;

use crate::client::Client;
use crate::error::Error;
use crate::util;
use crate::util::Args;

const USAGE: &str = "\
Begin a planned stop of a router. It announces that it is leaving, serves while callers may keep
its address, hands its idempotency keys over, finishes its running requests and exits.

Usage:
    laburnumctl drain --router IP:PORT [options]

Options:
    --router IP:PORT         admin address of the router [LABURNUMWHEEL_ROUTER]
    --operator-token TEXT    operator token [LABURNUMWHEEL_OPERATOR_TOKEN]
";

pub fn run(args: Args) -> Result<(), Error> {
    let Some(args) = args.read(USAGE, &["router", "operator-token"], &[])? else {
        return Ok(());
    };
    util::block_on(async {
        let client = Client::new(&args.required("operator-token")?);
        let router = args.required("router")?;
        client.json(Method::POST, &format!("http://{router}/admin/drain")).await?;
        println!("{router} is leaving");
        Ok(())
    })
}
