//! The mutual TLS configuration of the links.

use {
    crate::{
        keys::PeerKeys,
        peer_error::{KeysSnafu, PeerError},
        peer_settings::PeerSettings,
    },
    quinn::{
        ClientConfig, IdleTimeout, ServerConfig, TransportConfig,
        crypto::rustls::{QuicClientConfig, QuicServerConfig},
    },
    rustls::{
        RootCertStore,
        crypto::{CryptoProvider, ring},
        pki_types::{CertificateDer, PrivateKeyDer, UnixTime, pem::PemObject},
        server::{WebPkiClientVerifier, danger::ClientCertVerifier},
    },
    std::{any::Any, sync::Arc, time::Duration},
};

/// The assumed round-trip time of a new connection: the path between zones of a region plus processing on both ends on
/// small hosts. A first packet that is lost, or arrives before its receiver listens, is resent after three times this.
const INITIAL_RTT: Duration = Duration::from_millis(25);
/// What may be sent over a connection and not acknowledged, bytes. The peer's windows are the smaller bound.
const SEND_WINDOW: u64 = 1 << 24;
const APPLICATION_PROTOCOL: &[u8] = b"trestlewalk-peer/1";

/// The QUIC configurations derived from one set of keys.
#[derive(Clone, Debug)]
pub struct TlsConfig {
    /// For outgoing connections.
    pub client: ClientConfig,
    /// For accepted connections.
    pub server: ServerConfig,
    verifier: Arc<dyn ClientCertVerifier>,
}

impl TlsConfig {
    /// Parses the keys and builds the configurations.
    ///
    /// # Errors
    ///
    /// When the PEM text can't be parsed, or key and certificate don't match.
    pub fn new(keys: &PeerKeys, settings: &PeerSettings) -> Result<Self, PeerError> {
        let provider = Arc::new(ring::default_provider());
        let roots = Arc::new(read_roots(keys)?);
        let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
            .build()
            .map_err(|error| keys_error(&error))?;
        let transport = Arc::new(transport_config(settings)?);
        Ok(Self {
            client: client_config(keys, roots, provider.clone(), transport.clone())?,
            server: server_config(keys, verifier.clone(), provider, transport)?,
            verifier,
        })
    }

    /// Whether the current authorities accept a peer's certificate chain.
    pub fn accepts(&self, identity: Option<Box<dyn Any>>) -> bool {
        let Some(chain) = certificate_chain(identity) else {
            return false;
        };
        let Some((first, rest)) = chain.split_first() else {
            return false;
        };
        self.verifier
            .verify_client_cert(first, rest, UnixTime::now())
            .is_ok()
    }
}

/// The certificate chain that a connection's peer presented.
pub fn certificate_chain(identity: Option<Box<dyn Any>>) -> Option<Vec<CertificateDer<'static>>> {
    let chain = identity?.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    Some(*chain)
}

fn client_config(
    keys: &PeerKeys,
    roots: Arc<RootCertStore>,
    provider: Arc<CryptoProvider>,
    transport: Arc<TransportConfig>,
) -> Result<ClientConfig, PeerError> {
    let mut config = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| keys_error(&error))?
        .with_root_certificates(roots)
        .with_client_auth_cert(read_chain(keys)?, read_private_key(keys)?)
        .map_err(|error| keys_error(&error))?;
    config.alpn_protocols = vec![APPLICATION_PROTOCOL.to_vec()];
    let config = QuicClientConfig::try_from(config).map_err(|error| keys_error(&error))?;
    let mut config = ClientConfig::new(Arc::new(config));
    config.transport_config(transport);
    Ok(config)
}

fn keys_error(error: &dyn std::fmt::Display) -> PeerError {
    KeysSnafu {
        detail: error.to_string(),
    }
    .build()
}

fn read_chain(keys: &PeerKeys) -> Result<Vec<CertificateDer<'static>>, PeerError> {
    read_certificates(&keys.certificate)
}

fn read_certificates(text: &str) -> Result<Vec<CertificateDer<'static>>, PeerError> {
    let mut certificates = Vec::new();
    for certificate in CertificateDer::pem_slice_iter(text.as_bytes()) {
        certificates.push(certificate.map_err(|error| keys_error(&error))?);
    }
    Ok(certificates)
}

fn read_private_key(keys: &PeerKeys) -> Result<PrivateKeyDer<'static>, PeerError> {
    PrivateKeyDer::from_pem_slice(keys.private_key.as_bytes()).map_err(|error| keys_error(&error))
}

fn read_roots(keys: &PeerKeys) -> Result<RootCertStore, PeerError> {
    let mut roots = RootCertStore::empty();
    for certificate in read_certificates(&keys.authorities)? {
        roots.add(certificate).map_err(|error| keys_error(&error))?;
    }
    Ok(roots)
}

fn server_config(
    keys: &PeerKeys,
    verifier: Arc<dyn ClientCertVerifier>,
    provider: Arc<CryptoProvider>,
    transport: Arc<TransportConfig>,
) -> Result<ServerConfig, PeerError> {
    let mut config = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| keys_error(&error))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(read_chain(keys)?, read_private_key(keys)?)
        .map_err(|error| keys_error(&error))?;
    config.alpn_protocols = vec![APPLICATION_PROTOCOL.to_vec()];
    let config = QuicServerConfig::try_from(config).map_err(|error| keys_error(&error))?;
    let mut config = ServerConfig::with_crypto(Arc::new(config));
    config.transport_config(transport);
    Ok(config)
}

fn transport_config(settings: &PeerSettings) -> Result<TransportConfig, PeerError> {
    let idle = IdleTimeout::try_from(settings.idle_timeout).map_err(|error| keys_error(&error))?;
    let mut config = TransportConfig::default();
    config
        .datagram_receive_buffer_size(Some(settings.datagram_buffer))
        .datagram_send_buffer_size(settings.datagram_buffer)
        .initial_rtt(INITIAL_RTT)
        .keep_alive_interval(Some(settings.keep_alive))
        .max_concurrent_bidi_streams(settings.stream_limit.into())
        .max_concurrent_uni_streams(settings.message_streams.into())
        .max_idle_timeout(Some(idle))
        .receive_window(settings.link_window.into())
        .send_window(SEND_WINDOW)
        .stream_receive_window(settings.stream_window.into());
    Ok(config)
}
