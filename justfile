# List the recipes.
default:
    @just --list

# What CI runs.
ci:
    bash .ci/run

# Format the code.
fmt:
    cargo fmt --all

# Lint the code.
lint:
    cargo clippy --workspace --all-targets -- --deny warnings

# Run the tests.
test:
    cargo test --workspace
