//! Keys and certificates of an instance.

use {
    crate::peer_error::{KeysSnafu, PeerError},
    rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// What an instance shows its peers and what it believes of theirs, as PEM text. The certificate has the instance's
/// name as a DNS subject alternative name.
#[derive(Clone, Deserialize, Serialize)]
pub struct PeerKeys {
    /// The certificates of the authorities that peers' certificates are checked against; two during a rotation.
    pub authorities: Arc<str>,
    /// The instance's certificate, then those of intermediate authorities.
    pub certificate: Arc<str>,
    /// The instance's private key.
    pub private_key: Arc<str>,
}

impl PeerKeys {
    /// New keys with a certificate that is signed by itself: peers know it by itself, from where it is published.
    ///
    /// # Errors
    ///
    /// When the name can't stand in a certificate.
    pub fn self_signed(instance: &str) -> Result<Self, PeerError> {
        let pair = KeyPair::generate().map_err(keys_error)?;
        let mut params = CertificateParams::new(vec![instance.to_owned()]).map_err(keys_error)?;
        // Authorities are looked up by this name, so that a check takes one of many.
        params.distinguished_name.push(DnType::CommonName, instance);
        let certificate: Arc<str> = params.self_signed(&pair).map_err(keys_error)?.pem().into();
        Ok(Self {
            authorities: certificate.clone(),
            certificate,
            private_key: pair.serialize_pem().into(),
        })
    }

    /// The same keys with other certificates to believe.
    pub fn with_authorities(&self, authorities: Arc<str>) -> Self {
        Self {
            authorities,
            ..self.clone()
        }
    }
}

impl std::fmt::Debug for PeerKeys {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("PeerKeys").finish_non_exhaustive()
    }
}

/// An authority that signs the keys of tests, benches and the demo.
pub struct TestAuthority {
    issuer: Issuer<'static, KeyPair>,
    pem: Arc<str>,
}

impl TestAuthority {
    /// Keys for one instance.
    ///
    /// # Errors
    ///
    /// When the name can't stand in a certificate.
    pub fn issue(&self, instance: &str) -> Result<PeerKeys, PeerError> {
        let pair = KeyPair::generate().map_err(keys_error)?;
        let params = CertificateParams::new(vec![instance.to_owned()]).map_err(keys_error)?;
        let certificate = params.signed_by(&pair, &self.issuer).map_err(keys_error)?;
        Ok(PeerKeys {
            authorities: self.pem.clone(),
            certificate: certificate.pem().into(),
            private_key: pair.serialize_pem().into(),
        })
    }

    /// A new authority.
    ///
    /// # Errors
    ///
    /// When the system gives no random numbers.
    pub fn new() -> Result<Self, PeerError> {
        let pair = KeyPair::generate().map_err(keys_error)?;
        let mut params = CertificateParams::new(Vec::new()).map_err(keys_error)?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let certificate = params.self_signed(&pair).map_err(keys_error)?;
        Ok(Self {
            issuer: Issuer::new(params, pair),
            pem: certificate.pem().into(),
        })
    }

    /// The authority's certificate as PEM text.
    pub fn pem(&self) -> Arc<str> {
        self.pem.clone()
    }
}

/// Makes an authority and keys for each instance, in the order given. For tests, benches and the demo.
///
/// # Errors
///
/// When a name can't stand in a certificate.
pub fn make_test_keys(instances: &[&str]) -> Result<(TestAuthority, Vec<PeerKeys>), PeerError> {
    let authority = TestAuthority::new()?;
    let mut keys = Vec::with_capacity(instances.len());
    for instance in instances {
        keys.push(authority.issue(instance)?);
    }
    Ok((authority, keys))
}

fn keys_error(error: rcgen::Error) -> PeerError {
    KeysSnafu {
        detail: error.to_string(),
    }
    .build()
}
