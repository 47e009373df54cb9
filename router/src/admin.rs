//! Serves the operators' HTTP API, on its own address and only with the operator token.

use std::sync::Arc;

use gotham::handler::HandlerResult;
use gotham::helpers::http::Body;
use gotham::prelude::*;
use gotham::router::Router;
use gotham::router::build_simple_router;
use gotham::state::State;
use gotham::state::StateData;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use laburnumwheel_core::event::Event;
use laburnumwheel_core::node::Node;
use laburnumwheel_core::stats::Series;
use laburnumwheel_core::time::Time;
use serde_json::Value;
use serde_json::json;
use subtle::ConstantTimeEq;

use crate::driver::Handle;
use crate::reply;
use crate::reply::Error;

const QUANTILES: [(&str, f64); 4] = [("p50", 0.5), ("p95", 0.95), ("p99", 0.99), ("max", 1.0)];

/// State that all handlers share.
#[derive(Clone)]
pub struct Shared {
    /// Handle of the driver.
    pub handle: Handle,
    /// Hash of the operator token.
    pub token: Arc<str>,
}

impl StateData for Shared {}

/// Builds the routes of the operators' API.
pub fn routes() -> Router {
    build_simple_router(|route| {
        route.get("/admin/status").to_async(|s| respond(s, status));
        route.get("/admin/members").to_async(|s| respond(s, members));
        route.get("/admin/upstreams").to_async(|s| respond(s, upstreams));
        route.get("/admin/classes").to_async(|s| respond(s, classes));
        route.get("/admin/organisations").to_async(|s| respond(s, organisations));
        route.post("/admin/drain").to_async(drain);
    })
}

fn is_authorized(state: &State) -> bool {
    let headers = HeaderMap::borrow_from(state);
    let given = headers.get("authorization").and_then(|v| v.to_str().ok());
    let given = given.and_then(|v| v.strip_prefix("Bearer ")).unwrap_or("");
    let hash = laburnumwheel_core::config::hash_key(given);
    bool::from(hash.as_bytes().ct_eq(Shared::borrow_from(state).token.as_bytes()))
}

fn unauthorized() -> Response<Body> {
    let error = Error::not_run("not_an_operator", "the operator token is missing or wrong");
    reply::error(StatusCode::UNAUTHORIZED, &error)
}

async fn respond(state: State, read: fn(&mut Node, Time) -> Value) -> HandlerResult {
    if !is_authorized(&state) {
        return Ok((state, unauthorized()));
    }
    let handle = Shared::borrow_from(&state).handle.clone();
    let value = handle.query(read).await.unwrap_or(Value::Null);
    Ok((state, reply::json(StatusCode::OK, &value)))
}

async fn drain(state: State) -> HandlerResult {
    if !is_authorized(&state) {
        return Ok((state, unauthorized()));
    }
    let handle = Shared::borrow_from(&state).handle.clone();
    handle.send(Event::Stop).await;
    Ok((state, reply::json(StatusCode::ACCEPTED, &json!({ "leaving": true }))))
}

fn status(node: &mut Node, _: Time) -> Value {
    let stats = node.stats();
    let wasted: serde_json::Map<String, Value> =
        stats.wasted.iter().map(|(cause, n)| (cause.to_string(), json!(n))).collect();
    json!({
        "serving": node.is_serving(),
        "config_version": node.config_version(),
        "in_progress": node.in_progress(),
        "dispatches": stats.dispatches,
        "retries": stats.retries,
        "preemptions": stats.preemptions,
        "stalls": stats.stalls,
        "misattributed": stats.misattributed,
        "forwards": stats.forwards,
        "entries": stats.entries,
        "key_value_reads": stats.kv_reads,
        "key_value_writes": stats.kv_writes,
        "wasted_tokens": wasted,
    })
}

fn members(node: &mut Node, _: Time) -> Value {
    let list = node.members().map(|r| {
        json!({
            "name": r.name,
            "incarnation": r.incarnation,
            "state": r.state.to_string(),
            "verdict": r.verdict.to_string(),
            "failure_domain": r.failure_domain,
            "address": r.caller_address,
        })
    });
    Value::Array(list.collect())
}

fn upstreams(node: &mut Node, now: Time) -> Value {
    let list = node.upstreams().map(|u| {
        json!({
            "name": u.name,
            "group": node.index().group(u.group).name,
            "address": u.address,
            "failure_domain": u.failure_domain,
            "slots": u.slots,
            "outstanding": u.outstanding,
            "load": u.load(now),
            "slowness": u.slowness(),
            "leaving": u.leaving,
            "state": format!("{:?}", u.outlier.state(now)).to_lowercase(),
        })
    });
    Value::Array(list.collect())
}

fn quantiles(histogram: &hdrhistogram::Histogram<u64>) -> Value {
    let values = QUANTILES.iter().map(|(name, q)| {
        let micros = histogram.value_at_quantile(*q);
        (format!("{name}_ms"), json!(micros as f64 / 1000.0))
    });
    Value::Object(values.collect())
}

fn series(name: &str, series: &Series) -> Value {
    let refused: serde_json::Map<String, Value> = series
        .refused
        .iter()
        .map(|((verdict, reason), n)| (format!("{verdict}/{reason}"), json!(n)))
        .collect();
    json!({
        "name": name,
        "received": series.received,
        "whole": series.whole,
        "attained": series.attained,
        "tokens": series.tokens,
        "refused": refused,
        "first_token": quantiles(&series.first_token),
        "finish": quantiles(&series.finish),
    })
}

fn classes(node: &mut Node, _: Time) -> Value {
    let list = node.stats().classes.iter();
    let list = list.map(|(key, s)| {
        let mut value = series(&node.index().class(*key).name, s);
        value["queued"] = json!(node.queued(*key));
        value
    });
    Value::Array(list.collect())
}

fn organisations(node: &mut Node, _: Time) -> Value {
    let list = node.stats().orgs.iter();
    let list = list.map(|(key, s)| series(&node.index().organisation(*key).name, s));
    Value::Array(list.collect())
}
