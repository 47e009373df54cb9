//! Lists published versions of the configuration.

use laburnumwheel_router::publish;

use crate::error::Error;
use crate::util;
use crate::util::Args;

const USAGE: &str = "\
List accepted versions and their changes, the newest first.

Usage:
    laburnumctl history [options]

Options:
    --key-value IP:PORT    address of the key-value service [LABURNUMWHEEL_KEY_VALUE]
    --last N               number of versions [default: 10]
";

pub fn run(args: Args) -> Result<(), Error> {
    let Some(args) = args.read(USAGE, &["key-value", "last"], &[])? else {
        return Ok(());
    };
    let last: u64 = args.parse("last")?.unwrap_or(10);
    util::block_on(async {
        let kv = args.key_value()?;
        let (root, _) = publish::read_root(&kv).await?;
        let mut newer = root.clone();
        let oldest = root.version.saturating_sub(last);
        for version in (oldest..root.version).rev() {
            let older = publish::read_past_root(&kv, version).await?;
            let (a, b) = (
                publish::read_config(&kv, &older).await?,
                publish::read_config(&kv, &newer).await?,
            );
            let changed = publish::describe_difference(&a, &b);
            println!("{}  operation {}  changed: {changed}", newer.version, newer.operation);
            newer = older;
        }
        Ok(())
    })
}
