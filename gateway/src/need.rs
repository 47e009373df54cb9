//! Needs of calls, and the memory of engines, after the messages to and from the engines' owners.
//!
//! Both follow messages of an older layout, of which gateways of earlier releases ignore the rest.

use std::collections::BTreeMap;

use laburnumwheel_core::gateway::memory::Held;
use laburnumwheel_core::gateway::memory::Need;
use laburnumwheel_core::gateway::occupancy::Snapshot;
use laburnumwheel_core::gateway::occupancy::Update;

use crate::cache;
use crate::peers::Message;

/// Needs in one datagram: each takes up to a hundred bytes.
const MAX_NEEDS: usize = 48;

/// The datagrams with updates and needs, by the address of the owner. Needs that do not fit into a
/// datagram follow in further ones.
pub fn encode_updates(
    updates: BTreeMap<String, Vec<Update>>,
    mut needs: BTreeMap<String, Vec<Need>>,
) -> Vec<(String, Vec<u8>)> {
    let mut datagrams = Vec::new();
    for (owner, updates) in updates {
        let needs = needs.remove(&owner).unwrap_or_default();
        push(&mut datagrams, owner, updates, &needs);
    }
    for (owner, needs) in needs {
        push(&mut datagrams, owner, Vec::new(), &needs);
    }
    datagrams
}

fn push(
    datagrams: &mut Vec<(String, Vec<u8>)>,
    owner: String,
    updates: Vec<Update>,
    needs: &[Need],
) {
    let (first, others) = needs.split_at(needs.len().min(MAX_NEEDS));
    let others = others.chunks(MAX_NEEDS).map(|needs| (Vec::new(), needs));
    for (updates, needs) in std::iter::once((updates, first)).chain(others) {
        let message = postcard::to_stdvec(&Message::Updates(updates));
        let bytes = message.and_then(|bytes| match needs {
            [] => Ok(bytes),
            _ => postcard::to_extend(needs, bytes),
        });
        datagrams.extend(bytes.ok().map(|bytes| (owner.clone(), bytes)));
    }
}

/// Decodes the needs after updates; none if they are missing or malformed.
pub fn decode_needs(bytes: &[u8]) -> Vec<Need> {
    postcard::from_bytes(bytes).unwrap_or_default()
}

/// The datagram with the response to a request for snapshots: the snapshots, then the cached tokens
/// of the prompt and the memory of the engines, as far as they are known.
pub fn encode_snapshots(request: u64, snapshots: Vec<Snapshot>) -> Option<Vec<u8>> {
    let tokens = cache::tokens_to_send(&snapshots);
    let memory: Vec<Option<Held>> = snapshots.iter().map(|snapshot| snapshot.memory).collect();
    let is_known = memory.iter().any(Option::is_some);
    let bytes = postcard::to_stdvec(&Message::Snapshots(request, snapshots)).ok()?;
    let bytes = match tokens.is_some() || is_known {
        true => postcard::to_extend(&tokens.unwrap_or_default(), bytes).ok()?,
        false => bytes,
    };
    if is_known { postcard::to_extend(&memory, bytes).ok() } else { Some(bytes) }
}

/// Adds what was received after snapshots. If the numbers differ from that of the snapshots, it is
/// malformed and nothing is added.
pub fn merge_snapshots(snapshots: &mut [Snapshot], bytes: &[u8]) {
    cache::merge_tokens(snapshots, bytes);
    let Ok((_, rest)) = postcard::take_from_bytes::<Vec<Option<u32>>>(bytes) else {
        return;
    };
    let memory: Vec<Option<Held>> = postcard::from_bytes(rest).unwrap_or_default();
    if memory.len() == snapshots.len() {
        for (snapshot, memory) in snapshots.iter_mut().zip(memory) {
            snapshot.memory = memory;
        }
    }
}
