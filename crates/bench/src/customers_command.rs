//! `bench customers`: what the decisions on a request's key and quota cost.

use {
    crate::bench_error::BenchError,
    clap::Args,
    policy::{
        CallerKey, CustomerLimit, KeyHasher, KeySalt, QuotaRule, QuotaTable, QuotaUnit, UsageTotals,
    },
    relay::{CustomerInfo, CustomerRow, CustomerTable},
    std::{
        hint::black_box,
        process::ExitCode,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Measures the wall-clock time of looking a key up and of taking a request out of a quota: for information, not for a bound.
#[derive(Args, Debug)]
pub struct CustomersCommand {
    /// The customers; each has a key.
    #[arg(default_value_t = 16, long)]
    customers: usize,
    /// The requests.
    #[arg(default_value_t = 1_000_000, long)]
    requests: u32,
}

impl CustomersCommand {
    /// Prints the mean times.
    ///
    /// # Errors
    /// There is no randomness for the digests of keys.
    pub fn run(self) -> Result<ExitCode, BenchError> {
        let Some(salt) = KeySalt::random() else {
            println!("the system has no randomness");
            return Ok(ExitCode::FAILURE);
        };
        let keys: Vec<CallerKey> = (0..self.customers).map(key).collect();
        let book = book(salt, &keys);
        let mut table = QuotaTable::new(QuotaRule::default(), false, Instant::now());
        let now = Instant::now() + Duration::from_secs(10);
        table.note_synced(now);
        let others: UsageTotals = book.customers().map(|info| (info.id.clone(), 0)).collect();
        table.set_limits(
            book.customers()
                .filter_map(|info| Some((&info.id, info.limit?))),
            now,
        );
        table.note_others(&others, &UsageTotals::new(), now);
        let began = Instant::now();
        for number in 0..self.requests {
            let key = &keys[number as usize % keys.len()];
            black_box(book.find(key));
        }
        let finding = began.elapsed();
        let began = Instant::now();
        for number in 0..self.requests {
            let key = &keys[number as usize % keys.len()];
            let Some(customer) = book.find(key) else {
                continue;
            };
            let Some(limit) = &customer.limit else {
                continue;
            };
            if let Ok(amount) = table.take(&customer.id, limit, Some(5_300), now) {
                table.give_back(&customer.id, black_box(amount));
            }
        }
        let both = began.elapsed();
        let each = |all: Duration| all.as_secs_f64() * 1e6 / f64::from(self.requests.max(1));
        println!(
            "{} customers: a key {:.3} us, key and quota {:.3} us",
            self.customers,
            each(finding),
            each(both)
        );
        Ok(ExitCode::SUCCESS)
    }
}

fn key(number: usize) -> CallerKey {
    CallerKey::new(format!("key-of-customer-{number:08}").as_bytes())
}

fn book(salt: KeySalt, keys: &[CallerKey]) -> CustomerTable {
    let hasher = KeyHasher::new(salt);
    let mut rows = Vec::new();
    for (number, key) in keys.iter().enumerate() {
        let info = CustomerInfo {
            id: Arc::from(format!("customer-{number}")),
            limit: Some(CustomerLimit {
                burst: 1e9,
                rate: 1e6,
                unit: QuotaUnit::Tokens { plain: 200 },
            }),
            rank: None,
            regions: None,
        };
        rows.push(CustomerRow {
            info,
            keys: vec![hasher.digest(key)],
        });
    }
    CustomerTable::new(salt, rows)
}
