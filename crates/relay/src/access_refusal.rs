//! Whose request it is, whether its key still holds, and whether its customer has quota left.

use {
    crate::{
        CallerDialect, CallerHead, CustomerAccess, ErrorResponse, KeyFault, QuotaCharge, RelayCore,
        RouteTable, WorkRoute,
    },
    http::HeaderMap,
    kernel::{CustomerId, ResultCode, TableVersion, steady_clock},
    std::{
        fmt::{self, Display, Formatter},
        time::Duration,
    },
};

/// What is left of the bound on revocations for the request's way to its upstream and for clocks that differ a little.
const REVOCATION_MARGIN: Duration = Duration::from_millis(250);
/// When to come back to another instance, after one whose declaration is too old: the others most often have a newer one,
/// and one that reads the store hears of it within a second.
const STALE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Why a request may not go on.
#[derive(Clone, Debug)]
pub struct AccessRefusal {
    /// The customer, if it is known.
    pub customer: Option<CustomerId>,
    /// The answer.
    pub error: ErrorResponse,
    /// What decided it.
    pub reason: RefusalReason,
}

/// What decided that a request may not go on.
#[derive(Clone, Copy, Debug)]
pub enum RefusalReason {
    /// No customer holds the key by this version.
    KeyUnknown(TableVersion),
    /// There is no key to look up.
    NoKey(KeyFault),
    /// The customer's bucket has no room.
    QuotaSpent {
        /// What the request takes, units.
        cost: u64,
        /// What is in the bucket, units.
        room: f64,
    },
    /// The version in force was last known to be the newest so long ago, if ever.
    Stale(TableVersion, Option<Duration>),
}

impl Display for RefusalReason {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::KeyUnknown(version) => write!(formatter, "key unknown to version {version}"),
            Self::NoKey(fault) => write!(formatter, "key {fault}"),
            Self::QuotaSpent { cost, room } => {
                write!(formatter, "takes {cost}, {room:.0} in the bucket")
            }
            Self::Stale(version, Some(age)) => {
                let age = age.as_millis();
                write!(formatter, "version {version} was the newest {age} ms ago")
            }
            Self::Stale(version, None) => {
                write!(formatter, "version {version} is not known to be the newest")
            }
        }
    }
}

impl<D: CallerDialect> RelayCore<D> {
    /// The customer of a request; none on public routes without a key, and where no customers are declared.
    ///
    /// # Errors
    ///
    /// The request needs a key, and shows none that is known to hold.
    pub fn identify(
        &self,
        table: &RouteTable,
        route: &WorkRoute,
        headers: &HeaderMap,
    ) -> Result<Option<CustomerAccess>, AccessRefusal> {
        let Some(customers) = &table.customers else {
            return Ok(None);
        };
        let key = self.dialect.caller_key(headers);
        if route.is_public {
            // A key that holds tells who it is; any other is not asked for.
            let access = key.ok().and_then(|key| {
                let customer = customers.find(&key)?.clone();
                Some(CustomerAccess::new(customer, key, table.version))
            });
            return Ok(access);
        }
        let key = key.map_err(|fault| AccessRefusal::unknown(RefusalReason::NoKey(fault)))?;
        if let Some(refusal) = self.stale(table, None) {
            return Err(refusal);
        }
        let Some(customer) = customers.find(&key) else {
            return Err(AccessRefusal::unknown(RefusalReason::KeyUnknown(
                table.version,
            )));
        };
        Ok(Some(CustomerAccess::new(
            customer.clone(),
            key,
            table.version,
        )))
    }

    /// Takes a request out of its customer's quota.
    ///
    /// # Errors
    ///
    /// The quota is spent.
    pub fn charge(
        &self,
        access: Option<&CustomerAccess>,
        route: &WorkRoute,
        head: &CallerHead,
    ) -> Result<Option<QuotaCharge>, AccessRefusal> {
        let Some(access) = access.filter(|_| !route.is_public) else {
            return Ok(None);
        };
        let prompt = head.prompt.as_ref();
        let tokens = prompt.map(|prompt| prompt.tokens.saturating_add(prompt.output));
        let customer = &access.customer;
        let taken = self.quotas.take(customer, tokens, &self.counts);
        taken.map_err(|refusal| AccessRefusal {
            customer: Some(customer.id.clone()),
            error: ErrorResponse::with_retry_after(ResultCode::QuotaSpent, refusal.wait),
            reason: RefusalReason::QuotaSpent {
                cost: refusal.cost,
                room: refusal.balance,
            },
        })
    }
}

impl<D> RelayCore<D> {
    /// Checks the key of a request again, at the last moment before a call: the declaration may have changed, or grown old,
    /// while the request waited or the machine was suspended. None when it still holds.
    pub fn recheck_access(
        &self,
        access: &CustomerAccess,
        route: &WorkRoute,
    ) -> Option<AccessRefusal> {
        if route.is_public {
            return None;
        }
        let table = self.routes.load();
        let table = table.as_ref()?;
        let customer = Some(&access.customer.id);
        if let Some(refusal) = self.stale(table, customer) {
            return Some(refusal);
        }
        if table.version == access.version {
            return None;
        }
        let holder = table.customers.as_ref()?.find(&access.key);
        let holds = holder.is_some_and(|holder| holder.id == access.customer.id);
        (!holds).then(|| AccessRefusal::unknown(RefusalReason::KeyUnknown(table.version)))
    }

    /// Whether requests with keys may be served: the declaration is known to be new enough, or need not be.
    pub fn can_check_keys(&self) -> bool {
        let table = self.routes.load();
        let Some(table) = table.as_ref() else {
            return false;
        };
        table.customers.is_none() || self.stale(table, None).is_none()
    }

    fn stale(&self, table: &RouteTable, customer: Option<&CustomerId>) -> Option<AccessRefusal> {
        let bound = self.settings.load().revoked_within?;
        let as_of = self.freshness.as_of(table.version);
        let age = as_of.map(steady_clock::elapsed);
        if age.is_some_and(|age| age < bound.saturating_sub(REVOCATION_MARGIN)) {
            return None;
        }
        Some(AccessRefusal {
            customer: customer.cloned(),
            error: ErrorResponse::with_retry_after(ResultCode::TableStale, STALE_RETRY_AFTER),
            reason: RefusalReason::Stale(table.version, age),
        })
    }
}

impl AccessRefusal {
    fn unknown(reason: RefusalReason) -> Self {
        Self {
            customer: None,
            error: ErrorResponse::new(ResultCode::KeyUnknown),
            reason,
        }
    }
}
