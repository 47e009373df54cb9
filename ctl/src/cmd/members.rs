//! Lists the routers that a router knows.

use hyper::Method;

use crate::client::Client;
use crate::error::Error;
use crate::util;
use crate::util::Args;

const USAGE: &str = "\
List the routers that a router knows, with their states as it sees them.

Usage:
    laburnumctl members --router IP:PORT [options]

Options:
    --router IP:PORT         admin address of a router [LABURNUMWHEEL_ROUTER]
    --operator-token TEXT    operator token [LABURNUMWHEEL_OPERATOR_TOKEN]
    --json                   print JSON
";

pub fn run(args: Args) -> Result<(), Error> {
    let Some(args) = args.read(USAGE, &["router", "operator-token"], &["json"])? else {
        return Ok(());
    };
    util::block_on(async {
        let client = Client::new(&args.required("operator-token")?);
        let router = args.required("router")?;
        let members = client.json(Method::GET, &format!("http://{router}/admin/members")).await?;
        if args.has("json") {
            println!("{members:#}");
            return Ok(());
        }
        let names = ["name", "state", "verdict", "failure_domain", "address"];
        let mut rows = vec![names.map(str::to_owned).to_vec()];
        for member in members.as_array().into_iter().flatten() {
            let cell = |name: &&str| member[*name].as_str().unwrap_or("").to_owned();
            rows.push(names.iter().map(cell).collect());
        }
        util::table(&rows);
        Ok(())
    })
}
