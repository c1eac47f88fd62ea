//! Tests of the allocator, of the plan of cells, and the stateful fuzz.

mod early_refusal;
mod fuzz_step;
mod grant_chain;
mod grant_oracle;
mod patience;
mod row_plan;
mod small_cell;
mod stateful_fuzz;
