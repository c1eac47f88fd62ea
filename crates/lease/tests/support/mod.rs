//! What the tests of this crate share.

pub(crate) mod lease_world;
