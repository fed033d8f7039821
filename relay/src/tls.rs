//! TLS for the second front, with rustls: what it presents, whom it trusts, and the authority for trying it out.
//!
//! Certificates and keys are files in PEM. They are read at the start and with SIGHUP; a connection keeps what it was
//! opened with, so that nothing is dropped when they change.
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

/// The protocol that is agreed on; no other is spoken here.
const H2: &[u8] = b"h2";

/// What the front presents to submitters.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServerTlsTable {
    /// Its certificate, with those between it and the authority's.
    pub certificate: PathBuf,
    pub key: PathBuf,
    /// Authorities of submitters; where it is given, each must present a certificate of theirs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub clients: Option<PathBuf>,
    #[serde(rename = "least", default)]
    pub min_version: MinTlsVersion,
}

/// What is asked of gateways that are reached by TLS, and presented to them.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClientTlsTable {
    /// Authorities that are trusted.
    pub trust: PathBuf,
    /// What is presented to gateways that ask for it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub certificate: Option<PathBuf>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<PathBuf>,
    #[serde(rename = "least", default)]
    pub min_version: MinTlsVersion,
}

/// The least version that is spoken.
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

/// Reads the certificates of a file; `key` names where it was given.
fn certificates(key: &str, path: &Path) -> Result<Vec<CertificateDer<'static>>, String> {
    let fault = |e: rustls::pki_types::pem::Error| format!("{key}: {}: {e}", path.display());
    let all: Vec<_> =
        CertificateDer::pem_file_iter(path).map_err(fault)?.collect::<Result<_, _>>().map_err(fault)?;
    if all.is_empty() { Err(format!("{key}: {} has no certificate", path.display())) } else { Ok(all) }
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

/// Reads what the front presents. Every fault names its key.
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
    let mut config = config.map_err(|e| format!("push.tls.key: it does not fit the certificate: {e}"))?;
    config.alpn_protocols = vec![H2.to_vec()];
    Ok(Arc::new(config))
}

/// Reads what gateways are held to. Every fault names its key.
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
            config.map_err(|e| format!("gateways.tls.key: it does not fit the certificate: {e}"))?
        }
        (Some(_), None) => return Err("gateways.tls.key: it is missing beside the certificate".into()),
        (None, Some(_)) => return Err("gateways.tls.certificate: it is missing beside the key".into()),
    };
    config.alpn_protocols = vec![H2.to_vec()];
    Ok(Arc::new(config))
}

/// Whether a handshake ended with HTTP/2; peers that name no protocol do not speak it by prior agreement here.
pub fn negotiated_h2(agreed: Option<&[u8]>) -> bool {
    agreed == Some(H2)
}

/// Makes an authority for trying things out, and a certificate of it for each name, for 127.0.0.1 and for submitters,
/// as files in a folder. Keys are made anew each time.
pub fn generate_certificates(folder: &Path, names: &[String]) -> Result<Vec<PathBuf>, String> {
    let fault = |what: &str, e: rcgen::Error| format!("{what}: {e}");
    let mut params = CertificateParams::default();
    params.distinguished_name.push(DnType::CommonName, "onyxglade's authority for trying things out");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    let authority_key = KeyPair::generate().map_err(|e| fault("a key", e))?;
    let authority = params.self_signed(&authority_key).map_err(|e| fault("the authority", e))?;
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
    let ends =
        [("server", ExtendedKeyUsagePurpose::ServerAuth), ("client", ExtendedKeyUsagePurpose::ClientAuth)];
    for (end, usage) in ends {
        let alternatives: Vec<String> =
            names.iter().cloned().chain(["localhost".into(), "127.0.0.1".into()]).collect();
        let mut params = CertificateParams::new(alternatives).map_err(|e| fault("names", e))?;
        params.distinguished_name.push(DnType::CommonName, end);
        params.extended_key_usages = vec![usage];
        let key = KeyPair::generate().map_err(|e| fault("a key", e))?;
        let certificate = params.signed_by(&key, &issuer).map_err(|e| fault("a certificate", e))?;
        write(format!("{end}.pem"), certificate.pem())?;
        write(format!("{end}.key"), key.serialize_pem())?;
    }
    Ok(written)
}

#[cfg(test)]
mod tests;
