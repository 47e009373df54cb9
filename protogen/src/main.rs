//! Generates the Rust code of `proto/proto/*.proto` in `proto/src/gen`.
//!
//! With `--check` it leaves the files as they are, and exits with 1 if any is out of date.

use std::error::Error;
use std::fs;
use std::path::Path;
use std::process::ExitCode;

const SOURCES: [&str; 2] = ["peer.proto", "etcd.proto"];
const OUTPUTS: [&str; 2] = ["laburnumwheel.peer.v1.rs", "etcdserverpb.rs"];

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let check = std::env::args().any(|a| a == "--check");
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../proto");
    let committed = root.join("src/gen");
    let generated = root.join("../target/protogen");
    fs::create_dir_all(&committed)?;
    fs::create_dir_all(&generated)?;

    let descriptors = protox::compile(SOURCES, [root.join("proto")])?;
    tonic_prost_build::configure().out_dir(&generated).compile_fds(descriptors)?;

    let mut stale = 0;
    for name in OUTPUTS {
        let new = fs::read(generated.join(name))?;
        if fs::read(committed.join(name)).unwrap_or_default() == new {
            continue;
        }
        if check {
            eprintln!("generated file is out of date: {name}");
            stale += 1;
        } else {
            fs::write(committed.join(name), new)?;
        }
    }
    Ok(ExitCode::from(u8::from(stale > 0)))
}
