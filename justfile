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

# Fuzz claims and leases for longer, with another seed: `just fuzz 20000 7`.
fuzz cases="20000" seed="20":
    PROPTEST_CASES={{ cases }} FUZZ_SEED={{ seed }} cargo test --release --package claim --test once_fuzz --package lease --test lease_fuzz
