//! Keys and certificates for mutual TLS between instances.

use {
    crate::peer_error::{KeysSnafu, PeerError},
    rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// An instance's certificate and private key and the authorities that it trusts, as PEM text. The certificate has the
/// instance's name as a DNS subject alternative name.
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
    /// Generates keys with a self-signed certificate, for use until an authority certifies them.
    ///
    /// # Errors
    ///
    /// When the name can't be encoded in a certificate.
    pub fn self_signed(instance: &str) -> Result<Self, PeerError> {
        let pair = KeyPair::generate().map_err(keys_error)?;
        let mut params = CertificateParams::new(vec![instance.to_owned()]).map_err(keys_error)?;
        params.distinguished_name.push(DnType::CommonName, instance);
        let certificate: Arc<str> = params.self_signed(&pair).map_err(keys_error)?.pem().into();
        Ok(Self {
            authorities: certificate.clone(),
            certificate,
            private_key: pair.serialize_pem().into(),
        })
    }
}

impl std::fmt::Debug for PeerKeys {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("PeerKeys").finish_non_exhaustive()
    }
}

/// The issuer name of all certificates. It is constant, so that an authority recreated from its private key is the same
/// issuer.
const AUTHORITY_NAME: &str = "trestlewalk instances";

/// A certificate authority for instances. Its private key is its whole identity: whoever holds it can sign.
pub struct KeyAuthority {
    issuer: Issuer<'static, KeyPair>,
    pem: Arc<str>,
    private_key: Arc<str>,
}

impl KeyAuthority {
    /// Signs a certificate for an instance's existing keys.
    ///
    /// # Errors
    ///
    /// When the name can't be encoded in a certificate, or the private key can't be read.
    pub fn certify(&self, instance: &str, keys: &PeerKeys) -> Result<PeerKeys, PeerError> {
        let pair = KeyPair::from_pem(&keys.private_key).map_err(keys_error)?;
        self.sign(instance, &pair)
    }

    /// Recreates an authority from its private key, as PEM text.
    ///
    /// # Errors
    ///
    /// When the text is not a private key.
    pub fn from_private_key(private_key: &str) -> Result<Self, PeerError> {
        Self::from_pair(KeyPair::from_pem(private_key).map_err(keys_error)?)
    }

    /// Generates and certifies keys for one instance.
    ///
    /// # Errors
    ///
    /// When the name can't be encoded in a certificate.
    pub fn issue(&self, instance: &str) -> Result<PeerKeys, PeerError> {
        let pair = KeyPair::generate().map_err(keys_error)?;
        self.sign(instance, &pair)
    }

    /// Generates a new authority.
    ///
    /// # Errors
    ///
    /// When the system's random number generator fails.
    pub fn new() -> Result<Self, PeerError> {
        Self::from_pair(KeyPair::generate().map_err(keys_error)?)
    }

    /// The authority's certificate, as PEM text.
    pub fn pem(&self) -> Arc<str> {
        self.pem.clone()
    }

    /// The authority's private key, as PEM text.
    pub fn private_key(&self) -> Arc<str> {
        self.private_key.clone()
    }

    fn from_pair(pair: KeyPair) -> Result<Self, PeerError> {
        let mut params = CertificateParams::new(Vec::new()).map_err(keys_error)?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params
            .distinguished_name
            .push(DnType::CommonName, AUTHORITY_NAME);
        let certificate = params.self_signed(&pair).map_err(keys_error)?;
        let private_key = pair.serialize_pem().into();
        Ok(Self {
            issuer: Issuer::new(params, pair),
            pem: certificate.pem().into(),
            private_key,
        })
    }

    fn sign(&self, instance: &str, pair: &KeyPair) -> Result<PeerKeys, PeerError> {
        let params = CertificateParams::new(vec![instance.to_owned()]).map_err(keys_error)?;
        let certificate = params.signed_by(pair, &self.issuer).map_err(keys_error)?;
        Ok(PeerKeys {
            authorities: self.pem.clone(),
            certificate: certificate.pem().into(),
            private_key: pair.serialize_pem().into(),
        })
    }
}

/// Generates an authority and keys for each instance, in the given order. For tests, benchmarks and the demo.
///
/// # Errors
///
/// When a name can't be encoded in a certificate.
pub fn make_test_keys(instances: &[&str]) -> Result<(KeyAuthority, Vec<PeerKeys>), PeerError> {
    let authority = KeyAuthority::new()?;
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
