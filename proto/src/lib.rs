//! Generated wire types: the peer protocol and the subset of the etcd v3 API
//! that laburnumwheel uses. `cargo run -p laburnumwheel-protogen` writes them.

/// Messages between router processes.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod peer {
    include!("gen/laburnumwheel.peer.v1.rs");
}

/// The etcd v3 key-value, lease and watch services.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod etcd {
    include!("gen/etcdserverpb.rs");
}
