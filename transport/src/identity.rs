//! Identity of a process: its certificate, its key and the authority that it trusts.

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

/// DNS name in each certificate. Peers are reached by IP number, which may change, so the certificate
/// names the deployment and the VM instead of an address.
pub(crate) const DEPLOYMENT_NAME: &str = "peer.primrosepin";

/// Application protocol negotiated by TLS.
const ALPN: &[u8] = b"primrosepin/1";

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// An entry process.
    Entry,
    /// A control process.
    Control,
}

impl Role {
    /// Returns the form used in certificates and on the command line.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Control => "control",
        }
    }

    /// Parses the form used in certificates and on the command line.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "entry" => Some(Self::Entry),
            "control" => Some(Self::Control),
            _ => None,
        }
    }
}

/// Certificates and key of a process, in PEM.
#[derive(Clone, PartialEq, Eq)]
pub struct Identity {
    /// Certificates of the deployment's authorities; several during a rotation.
    pub authority: String,
    /// Certificate of the process.
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
    /// Reads the three PEM files.
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
            bail!("the authority file holds no certificate");
        }
        Ok(roots)
    }

    fn chain(&self) -> eyre::Result<Vec<CertificateDer<'static>>> {
        let chain: Vec<_> = CertificateDer::pem_slice_iter(self.certificate.as_bytes())
            .collect::<Result<_, _>>()
            .wrap_err("the certificate file is not valid PEM")?;
        if chain.is_empty() {
            bail!("the certificate file holds no certificate");
        }
        Ok(chain)
    }

    fn private_key(&self) -> eyre::Result<PrivateKeyDer<'static>> {
        // The PEM error is dropped, since its text could quote parts of the key.
        PrivateKeyDer::from_pem_slice(self.key.as_bytes())
            .ok()
            .ok_or_eyre("the key file holds no private key")
    }
}

/// VM and role that a certificate names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Subject {
    pub(crate) vm: String,
    pub(crate) role: Role,
}

impl Subject {
    /// Returns the DNS name that carries the subject in a certificate.
    pub(crate) fn dns_name(vm: &str, role: Role) -> String {
        format!("{vm}.{}.primrosepin", role.as_str())
    }

    /// Reads the subject of a connection's peer.
    pub(crate) fn of(connection: &quinn::Connection) -> eyre::Result<Self> {
        let identity = connection
            .peer_identity()
            .ok_or_eyre("peer sent no certificate")?;
        let chain = identity
            .downcast::<Vec<CertificateDer<'static>>>()
            .ok()
            .ok_or_eyre("peer certificate has an unexpected form")?;
        let first = chain
            .first()
            .ok_or_eyre("peer sent an empty certificate chain")?;
        Self::of_certificate(first)
    }

    pub(crate) fn of_certificate(certificate: &CertificateDer<'_>) -> eyre::Result<Self> {
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
        bail!("certificate names no VM and role")
    }
}
