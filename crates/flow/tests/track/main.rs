//! Recovery of an entry instance and a cell's allocator after one of them lost track of a request.

mod lost_prefill;
mod track_cases;
mod track_fuzz;
mod track_world;
