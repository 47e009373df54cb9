//! Tests of the router's settings, and of the decoders of request bodies and event streams.

use std::process::Command;

use laburnumwheel_router::settings::Builder;
use laburnumwheel_router::sse::Decoder;
use proptest::prelude::*;

fn router() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_laburnumwheel"));
    command.env_clear();
    command
}

#[test]
fn all_invalid_settings_are_reported_together() {
    // Act
    let output = router()
        .args(["--name", "a b", "--listen", "host:80", "--fast", "--peer-secret", "short"])
        .env("LABURNUMWHEEL_LOG_LEVEL", "loud")
        .output()
        .expect("it runs");

    // Assert
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2));
    for flag in ["name", "listen", "fast", "peer-secret", "log-level", "operator-token"] {
        assert!(errors.contains(&format!("--{flag}: ")), "{flag}: {errors}");
    }
}

#[test]
fn flag_overrides_environment() {
    let settings = Builder::default()
        .set("name", "flag")
        .env(|variable| {
            let value = match variable {
                "LABURNUMWHEEL_NAME" => "environment",
                "LABURNUMWHEEL_FAILURE_DOMAIN" => "a",
                "LABURNUMWHEEL_SEEDS" => "127.0.0.1:1, 127.0.0.1:2",
                "LABURNUMWHEEL_PEER_SECRET" | "LABURNUMWHEEL_OPERATOR_TOKEN" => "long-enough",
                v if v.ends_with("LISTEN") => "127.0.0.1:0",
                _ => return None,
            };
            Some(value.to_owned())
        })
        .build()
        .expect("valid");
    assert_eq!((settings.name.as_str(), settings.seeds.len()), ("flag", 2));
}

#[test]
fn help_and_version_exit_0() {
    for flag in ["--help", "-h", "--version", "-V"] {
        let output = router().arg(flag).output().expect("it runs");
        assert!(output.status.success() && !output.stdout.is_empty(), "{flag}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// The decoded events must not depend on how a stream is divided into reads.
    #[test]
    fn events_do_not_depend_on_the_size_of_reads(
        events in proptest::collection::vec("[a-z{}\" ]{1,20}", 0..10),
        size in 1..7usize,
    ) {
        let text: String = events.iter().map(|e| format!("data: {e}\r\n\r\n")).collect();
        let mut decoder = Decoder::default();
        let mut found = Vec::new();
        for part in text.as_bytes().chunks(size) {
            decoder.push(part);
            while let Some(event) = decoder.pop().expect("short events") {
                found.push(String::from_utf8_lossy(&event).into_owned());
            }
        }
        prop_assert_eq!(found, events);
    }

    #[test]
    fn decoders_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut decoder = Decoder::default();
        decoder.push(&bytes);
        while let Ok(Some(_)) = decoder.pop() {}
        if let Ok(head) = laburnumwheel_router::body::Head::parse(&bytes) {
            head.estimate_prompt();
        }
        laburnumwheel_router::body::prepare_for_engine(&bytes.into(), 3, "partial");
    }
}
