//! TLS identity of a process: its certificate, its private key and the authorities that it trusts.

use std::fmt;
use std::path::Path;
use std::sync::Arc;

use eyre::{Context, OptionExt, bail};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::RootCertStore;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use x509_parser::prelude::{FromDer, GeneralName, X509Certificate};

/// DNS name that every certificate contains and that clients verify. Peers are reached by IP address, which
/// may change, so certificates name the deployment and the VM instead of an address.
pub(crate) const DEPLOYMENT_NAME: &str = "peer.primrosepin";

/// Application protocol negotiated by TLS (ALPN).
const ALPN: &[u8] = b"primrosepin/1";

/// Role of a process, as named in its certificate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Process of an entry VM.
    Entry,
    /// Process of a control VM.
    Control,
}

impl Role {
    /// Returns the name used in certificates and on the command line.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Control => "control",
        }
    }

    /// Parses the name used in certificates and on the command line.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "entry" => Some(Self::Entry),
            "control" => Some(Self::Control),
            _ => None,
        }
    }
}

/// Certificates and private key of a process, in PEM.
#[derive(Clone, PartialEq, Eq)]
pub struct Identity {
    /// Certificates of the trusted authorities; more than one while the authority is being replaced.
    pub authority: String,
    /// Certificate chain of the process, its own certificate first.
    pub certificate: String,
    /// Private key of the process.
    pub key: String,
}

impl fmt::Debug for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The private key must not reach logs.
        f.debug_struct("Identity").finish_non_exhaustive()
    }
}

impl Identity {
    /// Reads the identity from three PEM files. Their contents are validated when the identity is used.
    pub fn read(authority: &Path, certificate: &Path, key: &Path) -> eyre::Result<Self> {
        let read = |path: &Path| {
            std::fs::read_to_string(path)
                .wrap_err_with(|| format!("cannot read {}", path.display()))
        };
        Ok(Self {
            authority: read(authority)?,
            certificate: read(certificate)?,
            key: read(key)?,
        })
    }

    pub(crate) fn server_config(&self) -> eyre::Result<quinn::ServerConfig> {
        let verifier = WebPkiClientVerifier::builder_with_provider(
            Arc::new(self.roots()?),
            Arc::new(rustls::crypto::ring::default_provider()),
        )
        .build()?;
        let mut tls = rustls::ServerConfig::builder_with_provider(Arc::new(
            rustls::crypto::ring::default_provider(),
        ))
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier)
        .with_single_cert(self.chain()?, self.private_key()?)?;
        tls.alpn_protocols = vec![ALPN.to_vec()];
        Ok(quinn::ServerConfig::with_crypto(Arc::new(
            QuicServerConfig::try_from(tls)?,
        )))
    }

    pub(crate) fn client_config(&self) -> eyre::Result<quinn::ClientConfig> {
        let mut tls = rustls::ClientConfig::builder_with_provider(Arc::new(
            rustls::crypto::ring::default_provider(),
        ))
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_root_certificates(self.roots()?)
        .with_client_auth_cert(self.chain()?, self.private_key()?)?;
        tls.alpn_protocols = vec![ALPN.to_vec()];
        Ok(quinn::ClientConfig::new(Arc::new(
            QuicClientConfig::try_from(tls)?,
        )))
    }

    fn roots(&self) -> eyre::Result<RootCertStore> {
        let mut roots = RootCertStore::empty();
        for certificate in CertificateDer::pem_slice_iter(self.authority.as_bytes()) {
            roots.add(certificate?)?;
        }
        if roots.is_empty() {
            bail!("authority file contains no certificate");
        }
        Ok(roots)
    }

    fn chain(&self) -> eyre::Result<Vec<CertificateDer<'static>>> {
        let chain: Vec<_> = CertificateDer::pem_slice_iter(self.certificate.as_bytes())
            .collect::<Result<_, _>>()
            .wrap_err("certificate file is not valid PEM")?;
        if chain.is_empty() {
            bail!("certificate file contains no certificate");
        }
        Ok(chain)
    }

    fn private_key(&self) -> eyre::Result<PrivateKeyDer<'static>> {
        // The PEM error is discarded because its text could contain parts of the key.
        PrivateKeyDer::from_pem_slice(self.key.as_bytes())
            .ok()
            .ok_or_eyre("key file contains no valid private key")
    }
}

/// VM and role named in a certificate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Subject {
    pub(crate) vm: String,
    pub(crate) role: Role,
}

impl Subject {
    /// Returns the DNS name that represents the subject in a certificate.
    pub(crate) fn dns_name(vm: &str, role: Role) -> String {
        format!("{vm}.{}.primrosepin", role.as_str())
    }

    /// Reads the subject from the certificate of the connection's peer.
    pub(crate) fn from_connection(connection: &quinn::Connection) -> eyre::Result<Self> {
        let identity = connection
            .peer_identity()
            .ok_or_eyre("peer presented no certificate")?;
        let chain = identity
            .downcast::<Vec<CertificateDer<'static>>>()
            .ok()
            .ok_or_eyre("peer identity is not a chain of X.509 certificates")?;
        let first = chain
            .first()
            .ok_or_eyre("peer presented an empty certificate chain")?;
        Self::from_certificate(first)
    }

    pub(crate) fn from_certificate(certificate: &CertificateDer<'_>) -> eyre::Result<Self> {
        let (_, certificate) = X509Certificate::from_der(certificate)?;
        let names = certificate
            .subject_alternative_name()?
            .ok_or_eyre("certificate has no subject alternative name")?;
        for name in &names.value.general_names {
            let GeneralName::DNSName(name) = name else {
                continue;
            };
            let Some(rest) = name.strip_suffix(".primrosepin") else {
                continue;
            };
            let Some((vm, role)) = rest.rsplit_once('.') else {
                continue;
            };
            let Some(role) = Role::parse(role) else {
                continue;
            };
            return Ok(Self {
                vm: vm.to_owned(),
                role,
            });
        }
        bail!("certificate has no DNS name of the form VM.ROLE.primrosepin")
    }
}
