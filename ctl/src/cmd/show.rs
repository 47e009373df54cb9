//! Prints a published configuration.

use laburnumwheel_router::publish;

use crate::error::Error;
use crate::util;
use crate::util::Args;

const USAGE: &str = "\
Print the configuration in force, or an earlier version, as JSON.

Usage:
    laburnumctl show [options]

Options:
    --key-value IP:PORT    address of the key-value service [LABURNUMWHEEL_KEY_VALUE]
    --version-number N     version to print [default: the version in force]
";

pub fn run(args: Args) -> Result<(), Error> {
    let Some(args) = args.read(USAGE, &["key-value", "version-number"], &[])? else {
        return Ok(());
    };
    util::block_on(async {
        let kv = args.key_value()?;
        let root = match args.parse("version-number")? {
            Some(version) => publish::read_past_root(&kv, version).await?,
            None => publish::read_root(&kv).await?.0,
        };
        if root.version == 0 {
            return Err(Error::Failed("no such version".to_owned()));
        }
        let config = publish::read_config(&kv, &root).await?;
        let text = serde_json::to_string_pretty(&config).unwrap_or_default();
        println!("{text}");
        Ok(())
    })
}
