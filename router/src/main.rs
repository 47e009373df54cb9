//! Runs a router, or a gateway with the subcommand `platform`.

use std::process::ExitCode;

use laburnumwheel_core::action::Line;
use laburnumwheel_router::error::Error;
use laburnumwheel_router::log;
use laburnumwheel_router::router::Router;
use laburnumwheel_router::settings;
use laburnumwheel_router::settings::Command;
use laburnumwheel_router::settings::Settings;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(e.exit_code())
        }
    }
}

fn run() -> Result<(), Error> {
    let mut args = std::env::args_os().skip(1).peekable();
    if args.next_if(|arg| arg == "platform").is_some() {
        return Ok(laburnumwheel_platform::cmd::main(args)?);
    }
    match settings::parse(args, |name| std::env::var(name).ok())? {
        Command::Help => print!("{}", settings::USAGE),
        Command::Version => println!("laburnumwheel {}", env!("CARGO_PKG_VERSION")),
        Command::Run(settings) => serve(*settings)?,
    }
    Ok(())
}

#[tokio::main]
async fn serve(settings: Settings) -> Result<(), Error> {
    log::init(settings.log_level)?;
    let name = settings.name.clone();
    let router = Router::start(settings).await?;
    let line = Line::new("listening")
        .with("callers", router.callers)
        .with("peers", router.peers)
        .with("operators", router.operators);
    log::write(&name, &line);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let handle = router.handle.clone();
    // A planned stop can't be shortened: further signals have no effect.
    let signals = tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            handle.send(laburnumwheel_core::event::Event::Stop).await;
        }
    });
    router.wait().await;
    signals.abort();
    Ok(())
}
