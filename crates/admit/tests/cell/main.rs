//! Tests of the allocator and of the cell plan, and a stateful fuzz test.

mod early_refusal;
mod fuzz_step;
mod grant_chain;
mod grant_oracle;
mod patience;
mod row_plan;
mod small_cell;
mod stateful_fuzz;
