//! Prints the counters of a router.

use hyper::Method;

use crate::client::Client;
use crate::error::Error;
use crate::util;
use crate::util::Args;

const USAGE: &str = "\
Print the counters of a router, in total and by class.

Usage:
    laburnumctl status --router IP:PORT [options]

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
        let status = client.json(Method::GET, &format!("http://{router}/admin/status")).await?;
        let classes = client.json(Method::GET, &format!("http://{router}/admin/classes")).await?;
        if args.has("json") {
            let both = serde_json::json!({ "status": status, "classes": classes });
            println!("{both:#}");
            return Ok(());
        }
        for (name, value) in status.as_object().into_iter().flatten() {
            println!("{name}: {value}");
        }
        let header = ["class", "received", "whole", "attained", "queued", "first p95 ms"];
        let mut rows = vec![header.map(str::to_owned).to_vec()];
        for class in classes.as_array().into_iter().flatten() {
            let cell = |name: &str| class[name].to_string().replace('"', "");
            let first = class["first_token"]["p95_ms"].to_string();
            let names = ["name", "received", "whole", "attained", "queued"];
            let mut row: Vec<String> = names.iter().map(|n| cell(n)).collect();
            row.push(first);
            rows.push(row);
        }
        util::table(&rows);
        Ok(())
    })
}
