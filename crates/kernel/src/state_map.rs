//! The shared state of one process, by type. Meant for dumps and metrics; the request path does not use it.

use std::{
    any::{Any, TypeId},
    collections::HashMap,
    sync::{Arc, RwLock},
};

/// Holds one value of each type.
#[derive(Clone, Default)]
pub struct StateMap {
    values: Arc<RwLock<HashMap<TypeId, Arc<dyn Any + Send + Sync>>>>,
}

impl StateMap {
    /// The value of type `T`; `None` if none was inserted.
    pub fn get<T: Any + Send + Sync>(&self) -> Option<Arc<T>> {
        let values = self
            .values
            .read()
            .unwrap_or_else(|poison| poison.into_inner());
        let value = values.get(&TypeId::of::<T>())?.clone();
        value.downcast::<T>().ok()
    }

    /// Inserts a value, replacing an earlier one of its type.
    pub fn insert<T: Any + Send + Sync>(&self, value: Arc<T>) {
        let mut values = self
            .values
            .write()
            .unwrap_or_else(|poison| poison.into_inner());
        values.insert(TypeId::of::<T>(), value);
    }

    /// Creates an empty map.
    pub fn new() -> Self {
        Self::default()
    }
}
