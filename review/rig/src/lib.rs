//! Stand-ins of the platform, its replicas and its callers, for the cases of the review.

pub mod caller;
pub mod gateway;
pub mod http;
pub mod json;
pub mod record;
pub mod replica;
pub mod store;
