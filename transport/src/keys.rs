//! Certificate authority of a deployment.

use eyre::Context;
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};

use crate::Identity;
use crate::identity::{DEPLOYMENT_NAME, Role, Subject};

/// Certificate authority that issues the certificates of a deployment.
#[derive(Debug)]
pub struct Authority {
    certificate: String,
    key: KeyPair,
}

impl Authority {
    /// Creates an authority with a new key and a self-signed certificate.
    pub fn new() -> eyre::Result<Self> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(Vec::new())?;
        params
            .distinguished_name
            .push(DnType::CommonName, "primrosepin authority");
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        let certificate = params.self_signed(&key)?.pem();
        Ok(Self { certificate, key })
    }

    /// Loads an authority from its certificate and private key in PEM.
    pub fn from_pem(certificate: &str, key: &str) -> eyre::Result<Self> {
        // The PEM error is discarded because its text could contain parts of the key.
        let key = KeyPair::from_pem(key).ok();
        let key =
            key.ok_or_else(|| eyre::eyre!("authority key file contains no valid private key"))?;
        Ok(Self {
            certificate: certificate.to_owned(),
            key,
        })
    }

    /// Returns the authority's certificate in PEM.
    pub fn certificate(&self) -> &str {
        &self.certificate
    }

    /// Returns the authority's private key in PEM.
    pub fn key(&self) -> String {
        self.key.serialize_pem()
    }

    /// Issues a certificate with a new key for the process of `role` on `vm`.
    pub fn issue(&self, vm: &str, role: Role) -> eyre::Result<Identity> {
        let names = vec![DEPLOYMENT_NAME.to_owned(), Subject::dns_name(vm, role)];
        let mut params = CertificateParams::new(names)
            .wrap_err_with(|| format!("VM name {vm:?} is not valid in a certificate"))?;
        params.distinguished_name.push(DnType::CommonName, vm);
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let issuer = Issuer::from_ca_cert_pem(&self.certificate, &self.key)?;
        let key = KeyPair::generate()?;
        let certificate = params.signed_by(&key, &issuer)?.pem();
        Ok(Identity {
            authority: self.certificate.clone(),
            certificate,
            key: key.serialize_pem(),
        })
    }
}
