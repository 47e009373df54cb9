//! Encodes and applies the difference between two views.
//!
//! A difference states the digests of its base and of its result, so the application of a corrupted
//! difference, or of one to another base, is detected.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::config::Account;
use super::config::Config;
use super::config::Limits;
use super::config::Route;
use super::config::Service;
use super::directory::Entry;
use super::fleet::Listing;
use super::view;
use super::view::Base;
use super::view::Digest;
use super::view::Item;
use super::view::Snapshot;
use super::view::View;

/// Cause of a failure to decode or apply a difference.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The bytes do not encode a difference.
    #[error("malformed difference: {0}")]
    Malformed(String),
    /// The digest of the difference's base is not that of the known view.
    #[error("the base of the difference is another view")]
    BaseMismatch,
    /// The digest of the result is not the one stated by the difference.
    #[error("the digest of the result differs from the stated one")]
    ResultMismatch,
}

/// Items of one list that were added or replaced, and keys of those that were removed.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Changes<K, T> {
    set: Vec<T>,
    removed: Vec<K>,
}

impl<K: Ord, T: Item<Key = K>> Changes<K, T> {
    fn between(old: &[T], new: &[T]) -> Changes<K, T> {
        let mut changes = Changes { set: Vec::new(), removed: Vec::new() };
        view::diff(old, new, |old, new| match (old, new) {
            (_, Some(new)) => changes.set.push(new.clone()),
            (Some(old), None) => changes.removed.push(old.key()),
            (None, None) => {}
        });
        changes
    }

    /// Applies the changes to a list and updates `digest` accordingly.
    fn apply(self, old: &[T], digest: &mut u64) -> Vec<T> {
        if self.set.is_empty() && self.removed.is_empty() {
            return old.to_vec();
        }
        let mut update = |old: Option<&T>, new: Option<&T>| {
            let (old, new) = (old.map_or(0, view::hash), new.map_or(0, view::hash));
            *digest = digest.wrapping_sub(old).wrapping_add(new);
        };
        let mut edits: BTreeMap<K, Option<T>> =
            self.removed.into_iter().map(|key| (key, None)).collect();
        edits.extend(self.set.into_iter().map(|item| (item.key(), Some(item))));
        let mut edits = edits.into_iter().peekable();
        let mut items = Vec::with_capacity(old.len() + edits.len());
        for item in old {
            while let Some((_, new)) = edits.next_if(|(key, _)| item.order_key(key).is_gt()) {
                update(None, new.as_ref());
                items.extend(new);
            }
            match edits.next_if(|(key, _)| item.order_key(key).is_eq()) {
                Some((_, new)) => {
                    update(Some(item), new.as_ref());
                    items.extend(new);
                }
                None => items.push(item.clone()),
            }
        }
        for (_, new) in edits {
            update(None, new.as_ref());
            items.extend(new);
        }
        items
    }
}

/// Changes of a configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Patch {
    version: u64,
    limits: Limits,
    routes: Changes<(String, String), Arc<Route>>,
    services: Changes<String, Service>,
    accounts: Changes<String, Account>,
}

impl Patch {
    fn between(old: &Config, new: &Config) -> Patch {
        Patch {
            version: new.version,
            limits: new.limits,
            routes: Changes::between(&old.routes(), &new.routes()),
            services: Changes::between(&old.services(), &new.services()),
            accounts: Changes::between(&old.accounts(), &new.accounts()),
        }
    }

    fn apply(self, old: Option<&Arc<Config>>, digest: &mut u64) -> Config {
        let empty = Arc::default();
        if let Some(old) = old {
            *digest = digest.wrapping_sub(view::hash_header(old.version, &old.limits));
        }
        let old = old.unwrap_or(&empty);
        *digest = digest.wrapping_add(view::hash_header(self.version, &self.limits));
        let routes = self.routes.apply(&old.routes(), digest);
        let services = self.services.apply(&old.services(), digest);
        let accounts = self.accounts.apply(&old.accounts(), digest);
        let mut config = Config::new(self.version, self.limits);
        for route in routes {
            config = config.with_route(route);
        }
        for service in services {
            config = config.with_service(service);
        }
        for Account { organisation, keys } in accounts {
            config = config.with_organisation(organisation, keys);
        }
        config
    }
}

/// The difference between two views.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Delta {
    from: Digest,
    to: Digest,
    /// `None` if the configuration is unchanged or does not exist.
    config: Option<Patch>,
    replicas: Changes<String, Listing>,
    gateways: Changes<String, Entry>,
}

impl Delta {
    /// The difference that changes `old` into `new`.
    pub fn between(old: Base<'_>, new: &Snapshot) -> Delta {
        let empty = Arc::default();
        let (from, to) = (old.digest, new.digest);
        let config = new.view.config.as_ref().filter(|_| from.config != to.config);
        Delta {
            from,
            to,
            config: config.map(|config| Patch::between(old.config.unwrap_or(&empty), config)),
            replicas: Changes::between(old.replicas, &new.view.replicas),
            gateways: Changes::between(old.gateways, &new.view.gateways),
        }
    }

    /// Whether the base is the empty view, so that the difference holds a full view.
    pub fn is_full(&self) -> bool {
        self.from == Digest::default()
    }

    /// Applies the difference to `known`. Parts with an empty base replace the known parts.
    ///
    /// # Errors
    ///
    /// [`Error::BaseMismatch`] if `known` is not the base, [`Error::ResultMismatch`] if the result
    /// has another digest than the stated one.
    pub fn apply(self, known: Option<&Snapshot>) -> Result<Snapshot, Error> {
        let current = known.map(Snapshot::base).unwrap_or_default();
        let (from, to) = (self.from, self.to);
        let matches = |from: u64, own: u64| from == 0 || from == own;
        let matches = matches(from.config, current.digest.config)
            && matches(from.replicas, current.digest.replicas)
            && matches(from.gateways, current.digest.gateways);
        if !matches {
            return Err(Error::BaseMismatch);
        }
        let mut digest = from;
        let replicas = if from.replicas == 0 { &[] } else { current.replicas };
        let replicas = self.replicas.apply(replicas, &mut digest.replicas);
        let gateways = if from.gateways == 0 { &[] } else { current.gateways };
        let gateways = self.gateways.apply(gateways, &mut digest.gateways);
        let old = current.config.filter(|_| from.config != 0);
        let config = match self.config {
            Some(patch) => Some(Arc::new(patch.apply(old, &mut digest.config))),
            None if to.config == 0 => {
                digest.config = 0;
                None
            }
            None => old.cloned(),
        };
        if digest != to {
            return Err(Error::ResultMismatch);
        }
        Ok(Snapshot { view: Arc::new(View { config, replicas, gateways }), digest })
    }

    /// Encodes the difference.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`], which does not occur for a result of [`Delta::between`].
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        postcard::to_stdvec(self).map_err(|e| Error::Malformed(e.to_string()))
    }

    /// Decodes a difference. The decoder allocates list entries as it reads them, so a false length
    /// takes at most a megabyte of memory.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the bytes are no difference or more bytes follow it.
    pub fn decode(bytes: &[u8]) -> Result<Delta, Error> {
        match postcard::take_from_bytes(bytes) {
            Ok((delta, [])) => Ok(delta),
            Ok((_, rest)) => Err(Error::Malformed(format!("{} trailing bytes", rest.len()))),
            Err(e) => Err(Error::Malformed(e.to_string())),
        }
    }
}
