//! RPC between routers, agents and entry hosts: `tarpc` services over TCP, encoded as MessagePack.
//!
//! MessagePack writes struct fields by position and enum variants by name; the order of fields and the
//! names of variants are part of the protocol. The transport is private to this crate: callers use the
//! clients in [`link`] and the servers in [`serve`].

pub mod agent;
pub mod host;
pub mod link;
pub mod operator;
pub mod router;
pub mod serve;
