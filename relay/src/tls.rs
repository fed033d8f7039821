//! TLS for the push front, with rustls: the server and client configurations, and a certificate authority for tests.
//!
//! Certificates and keys are PEM files. They are read at startup and on SIGHUP. Open connections keep the configuration
//! that they were opened with, so that none is dropped when the files change.
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use rustls::crypto::CryptoProvider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig, SupportedProtocolVersion};
use serde::{Deserialize, Serialize};
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The ALPN protocol id of HTTP/2, the only protocol that the push front supports.
const ALPN_H2: &[u8] = b"h2";

/// TLS settings for submitters' connections.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServerTlsTable {
    /// The certificate chain of the push front.
    pub certificate: PathBuf,
    pub key: PathBuf,
    /// Certificate authorities of submitters. If set, every submitter must present a certificate issued by one of them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub clients: Option<PathBuf>,
    #[serde(rename = "least", default)]
    pub min_version: MinTlsVersion,
}

/// TLS settings for connections to gateways.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClientTlsTable {
    /// The trusted certificate authorities.
    pub trust: PathBuf,
    /// The client certificate chain, for gateways that request one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub certificate: Option<PathBuf>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<PathBuf>,
    #[serde(rename = "least", default)]
    pub min_version: MinTlsVersion,
}

/// The minimum TLS version.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
pub enum MinTlsVersion {
    #[default]
    #[serde(rename = "1.2")]
    Tls12,
    #[serde(rename = "1.3")]
    Tls13,
}

impl MinTlsVersion {
    fn versions(self) -> Vec<&'static SupportedProtocolVersion> {
        match self {
            MinTlsVersion::Tls12 => vec![&rustls::version::TLS13, &rustls::version::TLS12],
            MinTlsVersion::Tls13 => vec![&rustls::version::TLS13],
        }
    }
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

/// Reads the certificates in a file; `key` is the settings key for error messages.
fn certificates(key: &str, path: &Path) -> Result<Vec<CertificateDer<'static>>, String> {
    let error = |e: rustls::pki_types::pem::Error| format!("{key}: {}: {e}", path.display());
    let all: Vec<_> =
        CertificateDer::pem_file_iter(path).map_err(error)?.collect::<Result<_, _>>().map_err(error)?;
    if all.is_empty() { Err(format!("{key}: {} contains no certificate", path.display())) } else { Ok(all) }
}

fn private_key(key: &str, path: &Path) -> Result<PrivateKeyDer<'static>, String> {
    PrivateKeyDer::from_pem_file(path).map_err(|e| format!("{key}: {}: {e}", path.display()))
}

fn authorities(key: &str, path: &Path) -> Result<Arc<RootCertStore>, String> {
    let mut roots = RootCertStore::empty();
    for certificate in certificates(key, path)? {
        roots.add(certificate).map_err(|e| format!("{key}: {}: {e}", path.display()))?;
    }
    Ok(Arc::new(roots))
}

/// Builds the configuration for submitters' connections. Every error names its key.
pub fn server_config(table: &ServerTlsTable) -> Result<Arc<ServerConfig>, String> {
    let versions =
        ServerConfig::builder_with_provider(provider()).with_protocol_versions(&table.min_version.versions());
    let builder = versions.map_err(|e| format!("push.tls.least: {e}"))?;
    let builder = match &table.clients {
        Some(path) => {
            let roots = authorities("push.tls.clients", path)?;
            let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider()).build();
            builder.with_client_cert_verifier(verifier.map_err(|e| format!("push.tls.clients: {e}"))?)
        }
        None => builder.with_no_client_auth(),
    };
    let chain = certificates("push.tls.certificate", &table.certificate)?;
    let key = private_key("push.tls.key", &table.key)?;
    let config = builder.with_single_cert(chain, key);
    let mut config =
        config.map_err(|e| format!("push.tls.key: the key does not match the certificate: {e}"))?;
    config.alpn_protocols = vec![ALPN_H2.to_vec()];
    Ok(Arc::new(config))
}

/// Builds the configuration for connections to gateways. Every error names its key.
pub fn client_config(table: &ClientTlsTable) -> Result<Arc<ClientConfig>, String> {
    let versions =
        ClientConfig::builder_with_provider(provider()).with_protocol_versions(&table.min_version.versions());
    let builder = versions.map_err(|e| format!("gateways.tls.least: {e}"))?;
    let builder = builder.with_root_certificates(authorities("gateways.tls.trust", &table.trust)?);
    let mut config = match (&table.certificate, &table.key) {
        (None, None) => builder.with_no_client_auth(),
        (Some(certificate), Some(key)) => {
            let chain = certificates("gateways.tls.certificate", certificate)?;
            let key = private_key("gateways.tls.key", key)?;
            let config = builder.with_client_auth_cert(chain, key);
            config.map_err(|e| format!("gateways.tls.key: the key does not match the certificate: {e}"))?
        }
        (Some(_), None) => {
            return Err(
                "gateways.tls.key: the key is missing although gateways.tls.certificate is set".into()
            );
        }
        (None, Some(_)) => {
            return Err(
                "gateways.tls.certificate: the certificate is missing although gateways.tls.key is set"
                    .into(),
            );
        }
    };
    config.alpn_protocols = vec![ALPN_H2.to_vec()];
    Ok(Arc::new(config))
}

/// Whether the handshake negotiated HTTP/2. A peer without ALPN is not assumed to use HTTP/2 by prior knowledge.
pub fn negotiated_h2(alpn: Option<&[u8]>) -> bool {
    alpn == Some(ALPN_H2)
}

/// Generates a certificate authority for tests, a server certificate for `names`, localhost and 127.0.0.1, and a client
/// certificate for submitters, as files in a folder. All keys are new on each call.
pub fn generate_certificates(folder: &Path, names: &[String]) -> Result<Vec<PathBuf>, String> {
    let error = |context: &str, e: rcgen::Error| format!("{context}: {e}");
    let mut params = CertificateParams::default();
    params.distinguished_name.push(DnType::CommonName, "onyxglade's authority for trying things out");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    let authority_key = KeyPair::generate().map_err(|e| error("cannot generate a key", e))?;
    let authority = params
        .self_signed(&authority_key)
        .map_err(|e| error("cannot create the authority certificate", e))?;
    let issuer = Issuer::new(params, authority_key);
    fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let mut written = Vec::new();
    let mut write = |name: String, text: String| -> Result<(), String> {
        let path = folder.join(name);
        fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        written.push(path);
        Ok(())
    };
    write("authority.pem".into(), authority.pem())?;
    let roles =
        [("server", ExtendedKeyUsagePurpose::ServerAuth), ("client", ExtendedKeyUsagePurpose::ClientAuth)];
    for (role, usage) in roles {
        let subject_names: Vec<String> =
            names.iter().cloned().chain(["localhost".into(), "127.0.0.1".into()]).collect();
        let mut params = CertificateParams::new(subject_names).map_err(|e| error("invalid names", e))?;
        params.distinguished_name.push(DnType::CommonName, role);
        params.extended_key_usages = vec![usage];
        let key = KeyPair::generate().map_err(|e| error("cannot generate a key", e))?;
        let certificate =
            params.signed_by(&key, &issuer).map_err(|e| error("cannot create a certificate", e))?;
        write(format!("{role}.pem"), certificate.pem())?;
        write(format!("{role}.key"), key.serialize_pem())?;
    }
    Ok(written)
}

#[cfg(test)]
mod tests;
