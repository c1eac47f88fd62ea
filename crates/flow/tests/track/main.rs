//! An entry instance and the allocator of a cell agree on each request again after one of them lost track of it.

mod track_cases;
mod track_fuzz;
mod track_world;
