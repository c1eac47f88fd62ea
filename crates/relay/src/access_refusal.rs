//! Authenticates a request by its key, checks that the key is still valid, and charges the quota of its customer.

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

/// Subtracted from the revocation bound to cover the request's way to its upstream and small clock differences.
const REVOCATION_MARGIN: Duration = Duration::from_millis(250);
/// Retry delay sent with a refusal for a stale table: most other instances have a newer one, and an instance that reads
/// the store gets it within a second.
const STALE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// A refusal of a request for its key or its quota.
#[derive(Clone, Debug)]
pub struct AccessRefusal {
    /// The customer; `None` when the key identifies nobody.
    pub customer: Option<CustomerId>,
    /// The response to the caller.
    pub error: ErrorResponse,
    /// What led to the refusal.
    pub reason: RefusalReason,
}

/// What led to the refusal of a request.
#[derive(Clone, Copy, Debug)]
pub enum RefusalReason {
    /// No customer holds the key in this version of the table.
    KeyUnknown(TableVersion),
    /// The request carries no usable key.
    NoKey(KeyFault),
    /// The customer's token bucket has too few units left.
    QuotaSpent {
        /// Cost of the request, units.
        cost: u64,
        /// Units left in the bucket.
        room: f64,
    },
    /// The version in force, and the time since it was last confirmed to be the newest; `None` when it never was.
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
    /// The customer of a request. `None` on public routes without a valid key, and where the operators declare no
    /// customers.
    ///
    /// # Errors
    ///
    /// The route requires a key and the request carries no valid one, or the table is too stale to check it.
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
            // A valid key identifies the customer; a missing or invalid one is no error on a public route.
            let access = key.ok().and_then(|key| {
                let customer = customers.find(&key)?.clone();
                Some(CustomerAccess::new(customer, key, table.version))
            });
            return Ok(access);
        }
        let key = key.map_err(|fault| AccessRefusal::unknown(RefusalReason::NoKey(fault)))?;
        if let Some(refusal) = self.check_freshness(table, None) {
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

    /// Charges a request to the quota of its customer.
    ///
    /// # Errors
    ///
    /// The quota is exhausted.
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
    /// Checks the key of a request again right before each call, since the table may have changed or become stale while
    /// the request waited or the host was suspended. `None` when the key is still valid.
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
        if let Some(refusal) = self.check_freshness(table, customer) {
            return Some(refusal);
        }
        if table.version == access.version {
            return None;
        }
        let Some(key) = &access.key else {
            // A newer table may have taken the key away, and only the other instance has it.
            return (table.version > access.version).then(|| {
                AccessRefusal::stale(customer, RefusalReason::Stale(table.version, None))
            });
        };
        let holder = table.customers.as_ref()?.find(key);
        let holds = holder.is_some_and(|holder| holder.id == access.customer.id);
        (!holds).then(|| AccessRefusal::unknown(RefusalReason::KeyUnknown(table.version)))
    }

    /// Whether requests with keys can be served: the table is fresh enough, or no customers are declared.
    pub fn can_check_keys(&self) -> bool {
        let table = self.routes.load();
        let Some(table) = table.as_ref() else {
            return false;
        };
        table.customers.is_none() || self.check_freshness(table, None).is_none()
    }

    fn check_freshness(
        &self,
        table: &RouteTable,
        customer: Option<&CustomerId>,
    ) -> Option<AccessRefusal> {
        let bound = self.settings.load().revoked_within?;
        let as_of = self.freshness.as_of(table.version);
        let age = as_of.map(steady_clock::elapsed);
        if age.is_some_and(|age| age < bound.saturating_sub(REVOCATION_MARGIN)) {
            return None;
        }
        let reason = RefusalReason::Stale(table.version, age);
        Some(AccessRefusal::stale(customer, reason))
    }
}

impl AccessRefusal {
    fn stale(customer: Option<&CustomerId>, reason: RefusalReason) -> Self {
        Self {
            customer: customer.cloned(),
            error: ErrorResponse::with_retry_after(ResultCode::TableStale, STALE_RETRY_AFTER),
            reason,
        }
    }

    fn unknown(reason: RefusalReason) -> Self {
        Self {
            customer: None,
            error: ErrorResponse::new(ResultCode::KeyUnknown),
            reason,
        }
    }
}
