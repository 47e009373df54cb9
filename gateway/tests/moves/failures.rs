//! Moves that fail before the run is stopped, and what is left at both engines.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use laburnumwheel_core::gateway::config::Engine as EngineConfig;
use laburnumwheel_core::time::Span;
use laburnumwheel_gateway::dialect::own;
use laburnumwheel_gateway::store::View;
use tokio::sync::mpsc;

use crate::EVENTS;
use crate::call_from_leaving;
use crate::copied_tokens;
use crate::data;
use crate::gateway_before;
use crate::leave;
use crate::long_script;
use crate::moves;
use crate::moving;
use crate::order;
use crate::read;
use crate::script;
use crate::support;
use crate::support::Contents;
use crate::support::Received;
use crate::support::counter;
use crate::support::engine::Copied;
use crate::support::engine::Engine;
use crate::support::engine::open;
use crate::support::engine::open_at;
use crate::support::engine::open_expecting;
use crate::support::engine::view_of;
use crate::support::gateway;
use crate::support::link::Cut;
use crate::support::link::Linked;
use crate::support::run;
use crate::support::wait_until;
use crate::two;
use crate::with_engine;

/// A gateway in a thread of its own, which can be ended as by a kill.
struct Mortal {
    callers: SocketAddr,
    /// Address of an engine that leaves; closed to end the gateway.
    commands: mpsc::UnboundedSender<SocketAddr>,
}

impl Mortal {
    async fn start(view: View) -> Mortal {
        let (commands, mut received) = mpsc::unbounded_channel::<SocketAddr>();
        let (started, mut start) = mpsc::unbounded_channel();
        std::thread::spawn(move || {
            // Dropping the runtime closes all connections and ends all tasks at once.
            run(async move {
                let contents: Contents = Rc::new(RefCell::new(Some(view)));
                let running = gateway(&contents).await;
                started.send(running.callers).unwrap();
                while let Some(address) = received.recv().await {
                    crate::leave_at(&running, address);
                }
            });
        });
        Mortal { callers: start.recv().await.unwrap(), commands }
    }
}

/// The gateway dies while its source copies the run. The stream breaks off as without a move, and
/// nobody stops the run or sends its request to the destination.
#[test]
fn run_is_not_stopped_when_its_gateway_dies() {
    run(async {
        let (a, b) = two(script).await;
        for engine in [&a, &b] {
            engine.report.replace((200, "0 100\n".to_owned()));
            engine.copy_script.replace(Rc::new(|stop| Copied {
                delay: Duration::from_millis(100),
                ..Copied::now(200, "h1", stop)
            }));
        }
        let mortal = Mortal::start(view_of(moving(), &[&a, &b])).await;
        let (_channel, body) = open_at(mortal.callers, "run-1", 60).await;
        tokio::time::sleep(Duration::from_millis(90)).await;
        let (source, other) = order(&a, &b);
        mortal.commands.send(source.address).unwrap();
        wait_until("a copy", || !source.copies.borrow().is_empty()).await;

        drop(mortal);

        let (text, is_complete) = read(body).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert!(!is_complete && data(1, EVENTS).starts_with(&text), "{text}");
        assert_eq!((source.stops(), other.received.borrow().len()), (vec![false], 0));
        assert_eq!(source.freed.borrow().len(), 0);
    });
}

/// The engine crashes while it copies a run that goes on. Without a copy at a standby the stream is
/// aborted; the destination must not get the request, and counts the room until the copy lapses.
#[test]
fn run_whose_source_crashes_during_the_first_copy_is_not_sent_on() {
    run(async {
        let (a, b) = two(script).await;
        let running = gateway_before(moving(), &[&a, &b]).await;
        for engine in [&a, &b] {
            let crashing = engine.clone();
            engine.copy_script.replace(Rc::new(move |_| {
                crashing.crash();
                Copied::now(200, "h1", false)
            }));
        }
        let (_channel, body) = open(&running, "run-1").await;
        tokio::time::sleep(Duration::from_millis(90)).await;
        let (source, other) = order(&a, &b);
        leave(&running, source);

        let (text, is_complete) = read(body).await;

        assert!(!is_complete && data(1, EVENTS).starts_with(&text), "{text}");
        assert_eq!((source.stops(), other.received.borrow().len()), (vec![false], 0));
        assert!(copied_tokens(&running) > 0);
        assert_eq!(moves(&running, "moved"), 0);
    });
}

/// The engine crashes while it copies a run that also has a copy at a standby: the run continues
/// there, and not at the destination of the move.
#[test]
fn run_whose_source_crashes_during_the_first_copy_continues_at_its_standby() {
    run(async {
        let engine = moving().service("service").unwrap().engine.unwrap();
        let config = with_engine(moving(), EngineConfig { backups: true, ..engine });
        let mut engines = Vec::new();
        for host in 1..4 {
            engines.push(Engine::start(host, script).await);
        }
        let running = gateway_before(config, &engines.iter().collect::<Vec<_>>()).await;
        for engine in &engines {
            let crashing = engine.clone();
            engine.copy_script.replace(Rc::new(move |_| {
                crashing.crash();
                Copied::now(200, "h1", false)
            }));
        }
        let (_channel, body) = open(&running, "run-1").await;
        tokio::time::sleep(Duration::from_millis(90)).await;
        let source = engines.iter().find(|e| !e.received.borrow().is_empty()).unwrap();
        leave(&running, source);

        let result = read(body).await;

        assert_eq!(result, (data(1, EVENTS), true));
        let backup = source.header(own::BACKUP_TO).unwrap();
        let taking: Vec<String> = engines
            .iter()
            .filter(|e| e.header(own::CONTINUE_FROM).is_some())
            .map(|e| e.address.to_string())
            .collect();
        assert_eq!(taking, [backup]);
        assert_eq!(source.stops(), [false]);
    });
}

/// The source does not free the memory: the destination's owner counts its room until the copy
/// lapses there, or other copies would push prompts out.
#[test]
fn room_of_a_run_whose_memory_is_not_freed_is_counted_until_it_lapses() {
    run(async {
        let (a, b) = two(script).await;
        let engine = moving().service("service").unwrap().engine.unwrap();
        let config = with_engine(moving(), EngineConfig { copy_ttl: Span::millis(500), ..engine });
        let running = gateway_before(config, &[&a, &b]).await;
        for engine in [&a, &b] {
            engine.free_status.set(503);
            engine.copy_script.replace(Rc::new(|stop| match stop {
                true => Copied::now(404, "", false),
                false => Copied::now(200, "h1", false),
            }));
        }

        let result = crate::call_from_leaving(&running, (&a, &b)).await;

        assert_eq!(result, (data(1, EVENTS), true));
        let not_freed = "run_handles_total{freed=\"false\"}";
        wait_until("the memory is not freed", || counter(&running, not_freed) > 0).await;
        assert!(copied_tokens(&running) > 0);
        wait_until("the copy has lapsed", || copied_tokens(&running) == 0).await;
        assert_eq!(counter(&running, "run_handles_total{freed=\"true\"}"), 0);
    });
}

/// A narrow link: the gateway stops waiting for a copy that the source goes on with. The copy may
/// still arrive at the destination, so its room is counted until the copy lapses there.
#[test]
fn room_of_a_copy_that_was_not_awaited_is_counted_until_it_lapses() {
    run(async {
        let (a, b) = two(long_script).await;
        let engine = moving().service("service").unwrap().engine.unwrap();
        let config = with_engine(moving(), EngineConfig { copy_ttl: Span::millis(500), ..engine });
        let running = gateway_before(config, &[&a, &b]).await;
        for engine in [&a, &b] {
            engine.copy_script.replace(Rc::new(|stop| Copied {
                delay: Duration::from_millis(800),
                ..Copied::now(200, "h1", stop)
            }));
        }
        let (_channel, body) = open_expecting(&running, "run-1", 300).await;
        tokio::time::sleep(Duration::from_millis(90)).await;
        let reading = tokio::task::spawn_local(read(body));
        leave(&running, order(&a, &b).0);

        wait_until("the move is abandoned", || moves(&running, "too_slow") > 0).await;

        assert!(copied_tokens(&running) > 0);
        assert_eq!(reading.await.unwrap(), (data(1, 100), true));
        wait_until("the copy has lapsed", || copied_tokens(&running) == 0).await;
    });
}

/// A gateway without a way to the engines delegates the call. Only its delegate moves the run: two
/// gateways that move it would stop it twice, and send its request to two engines.
#[test]
fn delegated_run_is_moved_by_its_delegate_alone() {
    run(async {
        let (a, b) = two(script).await;
        [&a, &b].iter().for_each(|engine| drop(engine.report.replace((200, "0 100\n".to_owned()))));
        let view = view_of(moving(), &[&a, &b]);
        let linked = Linked::start_viewing(2, &[a.address, b.address], view).await;
        linked.cut(0, Cut::Breaks).await;
        let (cut_off, delegate) = (&linked.gateways[0], &linked.gateways[1]);
        while !cut_off.shared.gateway.borrow().is_out_of_reach("service") {
            let _ = support::call(cut_off, "/once/x", "first").await;
        }
        [&a, &b].iter().for_each(|engine| engine.received.borrow_mut().clear());
        let (_channel, body) = open(cut_off, "run-1").await;
        tokio::time::sleep(Duration::from_millis(90)).await;
        let source = order(&a, &b).0;
        let id = if source.address == a.address { "engine-0" } else { "engine-1" };
        linked.gateways.iter().for_each(|running| crate::leave_named(running, id));

        let result = read(body).await;

        assert_eq!(result, (data(1, EVENTS), true));
        assert_eq!((moves(delegate, "moved"), counter(cut_off, "run_moves_total")), (1, 0));
        assert_eq!(source.stops(), [false, true]);
        let runs = |engine: &Engine| -> Vec<Received> { engine.received.borrow().clone() };
        assert_eq!((runs(&a).len(), runs(&b).len()), (1, 1));
    });
}

/// Guards against a broken answer of the engine that copies a run: taken for a copy, the run would be
/// sent on with memory that the destination does not have.
#[test]
fn run_whose_source_sends_a_broken_answer_is_not_sent_on() {
    run(async {
        let head = "HTTP/1.1 200 OK\r\n";
        let cases = [
            (format!("{head}transfer-encoding: own\r\n\r\nh1"), ""),
            (format!("{head}content-length: 2\r\ntransfer-encoding: own\r\n\r\nh1"), ""),
            (format!("{head}\r\nh1"), "x"),
            (head.to_owned(), "a: b\r\n"),
        ];
        for (text, repeated) in cases {
            let (a, b) = two(script).await;
            let running = gateway_before(moving(), &[&a, &b]).await;
            let (_channel, body) = open(&running, "run-1").await;
            tokio::time::sleep(Duration::from_millis(90)).await;
            let (source, other) = order(&a, &b);
            // The report is asked for first, and must be sound.
            source.faulty_copies.replace(Some((text.clone(), repeated.to_owned())));
            leave(&running, source);

            let (received, is_complete) = read(body).await;

            assert!(!source.copies.borrow().is_empty(), "{text}");
            assert_eq!((received, is_complete), (data(1, EVENTS), true), "{text}");
            assert_eq!((moves(&running, "moved"), other.received.borrow().len()), (0, 0), "{text}");
        }
    });
}

/// Guards against a run that goes on at two engines: an engine answers an earlier copy once more, and
/// the gateway takes that for the answer to the stop, which the engine has not carried out.
#[test]
fn late_answer_to_a_copy_is_not_the_answer_to_a_stop() {
    run(async {
        let (a, b) = two(script).await;
        let running = gateway_before(moving(), &[&a, &b]).await;
        for engine in [&a, &b] {
            engine.late_copy.set(Some((200, "h1")));
            engine.copy_script.replace(Rc::new(|stop| match stop {
                false => Copied::now(200, "h1", false),
                true => Copied::now(404, "", false),
            }));
        }

        let result = call_from_leaving(&running, (&a, &b)).await;

        let (source, other) = order(&a, &b);
        assert_eq!(result, (data(1, EVENTS), true));
        assert_eq!(source.stops(), [false, true]);
        assert_eq!(other.received.borrow().len(), 0, "calls of the other engine");
    });
}
