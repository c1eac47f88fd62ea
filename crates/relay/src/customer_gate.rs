//! Whose request it is, whether its key still holds, and whether its customer has quota left.

use {
    crate::{
        CallerDialect, CallerHead, CustomerAccess, KeyFault, OwnAnswer, QuotaCharge, RelayCore,
        RouteBook, WorkRoute,
    },
    http::HeaderMap,
    kernel::{CustomerId, ResultCode, TableVersion, steady_clock},
    std::{
        fmt::{self, Display, Formatter},
        time::Duration,
    },
};

/// What is left of the bound on revocations for the request's way to its upstream and for clocks that differ a little.
const REVOKE_MARGIN: Duration = Duration::from_millis(250);
/// When to come back to another instance, after one whose declaration is too old: the others most often have a newer one,
/// and one that reads the store hears of it within a second.
const STALE_PAUSE: Duration = Duration::from_millis(300);

/// Why a request may not go on.
#[derive(Clone, Debug)]
pub struct GateRefusal {
    /// The customer, if it is known.
    pub customer: Option<CustomerId>,
    /// The answer.
    pub own: OwnAnswer,
    /// What decided it.
    pub reason: GateReason,
}

/// What decided that a request may not go on.
#[derive(Clone, Copy, Debug)]
pub enum GateReason {
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

impl Display for GateReason {
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
        book: &RouteBook,
        route: &WorkRoute,
        headers: &HeaderMap,
    ) -> Result<Option<CustomerAccess>, GateRefusal> {
        let Some(customers) = &book.customers else {
            return Ok(None);
        };
        let key = self.dialect.caller_key(headers);
        if route.is_public {
            // A key that holds tells who it is; any other is not asked for.
            let access = key.ok().and_then(|key| {
                let customer = customers.find(&key)?.clone();
                Some(CustomerAccess::new(customer, key, book.version))
            });
            return Ok(access);
        }
        let key = key.map_err(|fault| GateRefusal::unknown(GateReason::NoKey(fault)))?;
        if let Some(refusal) = self.stale(book, None) {
            return Err(refusal);
        }
        let Some(customer) = customers.find(&key) else {
            return Err(GateRefusal::unknown(GateReason::KeyUnknown(book.version)));
        };
        Ok(Some(CustomerAccess::new(
            customer.clone(),
            key,
            book.version,
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
    ) -> Result<Option<QuotaCharge>, GateRefusal> {
        let Some(access) = access.filter(|_| !route.is_public) else {
            return Ok(None);
        };
        let prompt = head.prompt.as_ref();
        let tokens = prompt.map(|prompt| prompt.tokens.saturating_add(prompt.output));
        let customer = &access.customer;
        let taken = self.quotas.take(customer, tokens, &self.counts);
        taken.map_err(|refusal| GateRefusal {
            customer: Some(customer.id.clone()),
            own: OwnAnswer::later(ResultCode::QuotaSpent, refusal.wait),
            reason: GateReason::QuotaSpent {
                cost: refusal.cost,
                room: refusal.balance,
            },
        })
    }
}

impl<D> RelayCore<D> {
    /// Checks the key of a request again, at the last moment before a call: the declaration may have changed, or grown old,
    /// while the request waited or the machine was suspended. None when it still holds.
    pub fn barred(&self, access: &CustomerAccess, route: &WorkRoute) -> Option<GateRefusal> {
        if route.is_public {
            return None;
        }
        let book = self.book.load();
        let book = book.as_ref()?;
        let customer = Some(&access.customer.id);
        if let Some(refusal) = self.stale(book, customer) {
            return Some(refusal);
        }
        if book.version == access.version {
            return None;
        }
        let holder = book.customers.as_ref()?.find(&access.key);
        let holds = holder.is_some_and(|holder| holder.id == access.customer.id);
        (!holds).then(|| GateRefusal::unknown(GateReason::KeyUnknown(book.version)))
    }

    /// Whether requests with keys may be served: the declaration is known to be new enough, or need not be.
    pub fn knows_keys(&self) -> bool {
        let book = self.book.load();
        let Some(book) = book.as_ref() else {
            return false;
        };
        book.customers.is_none() || self.stale(book, None).is_none()
    }

    fn stale(&self, book: &RouteBook, customer: Option<&CustomerId>) -> Option<GateRefusal> {
        let bound = self.settings.load().revoked_within?;
        let as_of = self.freshness.as_of(book.version);
        let age = as_of.map(steady_clock::elapsed);
        if age.is_some_and(|age| age < bound.saturating_sub(REVOKE_MARGIN)) {
            return None;
        }
        Some(GateRefusal {
            customer: customer.cloned(),
            own: OwnAnswer::later(ResultCode::TableStale, STALE_PAUSE),
            reason: GateReason::Stale(book.version, age),
        })
    }
}

impl GateRefusal {
    fn unknown(reason: GateReason) -> Self {
        Self {
            customer: None,
            own: OwnAnswer::new(ResultCode::KeyUnknown),
            reason,
        }
    }
}
