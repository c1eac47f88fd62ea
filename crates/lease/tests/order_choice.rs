//! Model loads stay within the rate of the weight store.

use {
    lease::WeightBudget,
    std::time::{Duration, Instant},
};

#[test]
fn loads_keep_to_the_rate_of_the_weight_store() {
    let now = Instant::now();
    let mut budget = WeightBudget::new(now, 10.0, 100.0);
    assert_eq!(budget.spend(now, 60.0), Ok(()));
    assert_eq!(budget.spend(now, 60.0), Err(Duration::from_secs(2)));
    assert_eq!(budget.spend(now + Duration::from_secs(2), 60.0), Ok(()));
    let full = now + Duration::from_secs(12);
    assert_eq!(budget.spend(full, 400.0), Ok(()));
    assert_eq!(budget.spend(full, 1.0), Err(Duration::from_secs_f64(30.1)));
}
