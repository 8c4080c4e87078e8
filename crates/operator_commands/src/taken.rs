//! Memory of the configuration orders that were taken, by which one that is sent again is recognised.

use crate::order::OrderKind;
use sha2::{Digest, Sha256};
use speedy::{Readable, Writable};

/// Taken orders that are remembered. At 24 bytes each they add 12 KiB at most to the register's value. At one change
/// every 80 ms this spans 41 s, ten times the 4 s within which an order must be acknowledged. An older order that is
/// sent again is left unclear, so no promise depends on this number.
pub const TAKEN_MAX: usize = 512;
/// Bytes of SHA-256 that are kept. Only orders with the same base and version are ever compared by digest; 128 bits
/// leave a second preimage out of reach and a chance collision at 2^-128 for each pair.
const DIGEST_BYTES: usize = 16;

/// Identity of a configuration order: SHA-256, truncated to 128 bits, over kind, base, version and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct OrderDigest([u8; DIGEST_BYTES]);

impl OrderDigest {
    /// The digest of an order. White space around the body, which means nothing in JSON, does not count.
    pub fn of(kind: &OrderKind, base: u64, version: u64, body: &[u8]) -> Self {
        let kind: u8 = match kind {
            OrderKind::Read => 0,
            OrderKind::Replace => 1,
            OrderKind::Update => 2,
            OrderKind::BeginEvacuation(_) => 3,
            OrderKind::FinishEvacuation(_) => 4,
        };
        let mut hash = Sha256::new();
        hash.update([kind]);
        hash.update(base.to_le_bytes());
        hash.update(version.to_le_bytes());
        hash.update(body.trim_ascii());
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hash.finalize()[..DIGEST_BYTES]);
        Self(digest)
    }
}

/// An order that was taken.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct TakenOrder {
    /// The version that it put in place.
    pub version: u64,
    /// Its identity.
    pub digest: OrderDigest,
}

/// What the memory says about an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// It was taken.
    Taken,
    /// It was never taken.
    NeverTaken,
    /// It may have been taken so long ago that it was forgotten.
    Forgotten,
}

/// The newest taken orders. Each was taken on top of the version of the one before it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct TakenOrders {
    /// The version on which the oldest remembered order was taken; 0 while nothing is forgotten.
    floor: u64,
    /// Remembered orders with strictly rising versions, the newest last.
    orders: Vec<TakenOrder>,
}

impl TakenOrders {
    /// Adds the newest order, and forgets the oldest ones beyond the bound.
    pub fn remember(&mut self, order: TakenOrder) {
        self.orders.push(order);
        let surplus = self.orders.len().saturating_sub(TAKEN_MAX);
        if let Some(forgotten) = self.orders.drain(..surplus).next_back() {
            self.floor = forgotten.version;
        }
    }

    /// Whether an order with this base, version and identity was taken.
    ///
    /// Taken orders form a chain in which each builds on the version of the one before. An order that was forgotten
    /// therefore has a base below the floor and a version not above it; every other one is known exactly.
    pub fn look_up(&self, base: u64, version: u64, digest: OrderDigest) -> Lookup {
        let place = self
            .orders
            .binary_search_by_key(&version, |order| order.version);
        if place.is_ok_and(|place| self.orders[place].digest == digest) {
            return Lookup::Taken;
        }
        if base < version && version <= self.floor {
            return Lookup::Forgotten;
        }
        Lookup::NeverTaken
    }

    /// Orders that are remembered.
    pub fn len(&self) -> usize {
        self.orders.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }
}
